#pragma once

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "standin/target/target_context.h"

namespace hornbeamhook::standin::target {

/** Streams the log to one peer while this target is an unfenced primary. */
class replication_sender {
public:
    /** Starts the thread. `context` outlives this. */
    replication_sender(target_context& context, std::string peer, std::string address);
    ~replication_sender();
    replication_sender(const replication_sender&) = delete;
    replication_sender& operator=(const replication_sender&) = delete;

private:
    using time_point = std::chrono::steady_clock::time_point;

    void run();
    void stream(int fd, const stream_header& header);
    /** Sends what is due; false when the stream must end. */
    bool send_due(int fd, state::term_number term, state::log_position& next,
                  time_point& heartbeat_at);
    bool is_cut() const;

    target_context& context_;
    const std::string peer_;
    const std::string address_;
    std::atomic<bool> is_stopping_ = false;
    std::thread thread_;
};

}  // namespace hornbeamhook::standin::target
