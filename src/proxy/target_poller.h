#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "coordination/group_monitor.h"
#include "coordination/poll_schedule.h"
#include "proxy/control_traffic.h"
#include "transport/target_connection.h"

namespace hornbeamhook::proxy {

/** A fence or promote call to a target. */
struct term_command {
    bool is_promote = false;
    state::term_number term = 0;
    std::string claimant;
};

/** How a term_command ended. */
struct term_result {
    enum class kind { accepted, refused, failed };

    std::string target;
    term_command command;
    kind outcome = kind::failed;
    std::optional<state::target_status> status;  ///< Only when accepted.
    state::time_point began;
    state::time_point ended;
};

/** What a poller needs to know. */
struct poller_options {
    std::string target;
    std::string address;  ///< To dial.
    std::chrono::milliseconds heartbeat_interval{250};
    std::chrono::milliseconds probe_timeout{300};
};

/**
 * One thread with one control connection to one target: polls its status on a schedule and on
 * demand, and carries fence and promote calls.
 */
class target_poller {
public:
    using event_sink = std::function<void(coordination::group_event)>;
    using result_sink = std::function<void(term_result)>;

    /** Starts the thread. The sinks run on it; `waiters` says whether readers wait. `traffic` must
     * outlive this. */
    target_poller(poller_options options, std::shared_ptr<std::atomic<int>> waiters,
                  event_sink on_event, result_sink on_result, control_traffic& traffic);
    ~target_poller();
    target_poller(const target_poller&) = delete;
    target_poller& operator=(const target_poller&) = delete;

    /** Asks for a poll that begins after this call. Thread safe, does not block. */
    void request();

    /** Sets the interval of idle polls, at once. Thread safe, does not block. */
    void set_heartbeat(std::chrono::milliseconds interval);

    /** Queues a fence or promote call, ahead of the next poll. Thread safe, does not block. */
    void submit(term_command command);

    /** Tells the thread to end; the destructor waits for it. Thread safe. */
    void stop();

private:
    void run();
    bool is_due(const std::vector<coordination::schedule_action>& actions);
    bool connect(state::time_point deadline, coordination::poll_failure& failure);
    void poll();
    coordination::group_event poll_once(bool& is_retry_allowed);
    void execute(const term_command& command);

    const poller_options options_;
    const std::shared_ptr<std::atomic<int>> waiters_;
    const event_sink on_event_;
    const result_sink on_result_;
    control_traffic& traffic_;
    std::mutex mutex_;
    std::condition_variable changed_;
    coordination::poll_schedule_state schedule_;
    std::deque<term_command> commands_;
    bool must_begin_ = false;
    bool is_stopping_ = false;
    std::unique_ptr<transport::target_connection> connection_;  ///< Used by the thread only.
    std::thread thread_;
};

}  // namespace hornbeamhook::proxy
