#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "standin/target/session_control.h"

namespace hornbeamhook::standin::target {

/** Accepts connections on one address and serves each on its own thread. */
class connection_acceptor {
public:
    using handler = std::function<void(std::shared_ptr<session_control>)>;

    /** Binds and starts the thread. Throws std::runtime_error when the address is taken. */
    connection_acceptor(std::string address, handler serve);
    ~connection_acceptor();
    connection_acceptor(const connection_acceptor&) = delete;
    connection_acceptor& operator=(const connection_acceptor&) = delete;

    /** While true nobody listens, so that new connections are refused. Thread safe. */
    void set_refusing(bool is_refusing) { is_refusing_ = is_refusing; }

    /** Closes all connections and ends the threads. Safe to call twice. */
    void stop();

private:
    struct served_connection {
        std::shared_ptr<session_control> control;
        std::thread thread;
        std::atomic<bool> is_finished = false;
    };

    void run();
    void accept_one();
    void collect_finished();

    const std::string address_;
    const handler serve_;
    int listener_ = -1;
    std::atomic<bool> is_refusing_ = false;
    std::atomic<bool> is_stopping_ = false;
    std::uint64_t next_id_ = 1;
    std::list<served_connection> connections_;
    std::thread thread_;
};

}  // namespace hornbeamhook::standin::target
