#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <queue>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "standin/fault/link_command.h"
#include "standin/fault/relay_connection.h"
#include "standin/fault/relay_link.h"
#include "standin/fault/relay_settings.h"

namespace hornbeamhook::standin::fault {

/** One thread that relays some links with epoll. */
class relay_loop {
public:
    /** Binds the listen addresses. Throws std::runtime_error when one is taken or malformed. */
    explicit relay_loop(const std::vector<relay_link_settings>& links);

    /** Calls stop(). */
    ~relay_loop();
    relay_loop(const relay_loop&) = delete;
    relay_loop& operator=(const relay_loop&) = delete;

    /** Starts the thread. */
    void start();

    /** Ends the thread and resets all connections. Safe to call twice. Not thread safe. */
    void stop();

    /** Applies a command and returns the names of the links it matched. Blocks until done. Thread
     * safe. */
    std::vector<std::string> apply(const link_command& command);

    /** One object per link. Blocks until the loop answered. Thread safe. */
    nlohmann::json get_status();

private:
    /** When to look at a stream again, or to tell the upstream process of a silence. */
    struct timer {
        time_point at;
        std::uint64_t connection;
        int stream;  ///< 0 or 1, or release_upstream.

        bool operator>(const timer& other) const { return at > other.at; }
    };

    void run();
    void run_on_loop(const std::function<void()>& task);
    void run_tasks();
    void run_timers();
    void handle_event(std::uint64_t tag, std::uint32_t events);

    void open_listener(relay_link& link);
    void close_listener(relay_link& link);
    void check_upstream(relay_link& link);
    void probe_down_links();
    void accept_all(std::size_t index);
    void connect_upstream(relay_connection& connection);
    void finish_connect(relay_connection& connection);

    void read_side(relay_connection& connection, int side);
    void receive_end(relay_connection& connection, int side, bool is_reset);
    void receive_data(relay_connection& connection, int stream, std::string data);
    bool apply_request_fault(relay_connection& connection, relay_chunk& chunk);
    bool apply_answer_fault(relay_connection& connection, relay_chunk& chunk);
    void cross(relay_connection& connection, std::string data);
    void enqueue(relay_connection& connection, int stream, relay_chunk chunk);
    void flush(relay_connection& connection, int stream);
    void update_interest(relay_connection& connection, int side);
    void close_side(relay_connection& connection, int side, bool is_reset);
    void make_silent(relay_connection& connection);
    void release_later(const relay_connection& connection,
                       std::optional<std::chrono::milliseconds> release);
    void drop_silent(const relay_link& link);
    void reset(relay_connection& connection);
    void remove_closed();

    void apply_to_link(relay_link& link, const link_action& action);
    void restore(relay_link& link);
    std::vector<relay_connection*> get_connections(const relay_link& link);

    int epoll_ = -1;
    int wake_ = -1;
    bool is_stopping_ = false;
    std::vector<std::unique_ptr<relay_link>> links_;
    std::unordered_map<std::uint64_t, std::unique_ptr<relay_connection>> connections_;
    std::vector<std::uint64_t> closed_;  ///< Removed after the current event.
    std::uint64_t next_connection_ = 1;
    std::priority_queue<timer, std::vector<timer>, std::greater<>> timers_;
    time_point next_probe_{};
    std::mutex mutex_;
    std::vector<std::function<void()>> tasks_;
    std::thread thread_;
};

}  // namespace hornbeamhook::standin::fault
