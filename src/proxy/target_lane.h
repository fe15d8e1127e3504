#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "coordination/admission_queue.h"
#include "coordination/concurrency_limit.h"
#include "state/configuration.h"

namespace hornbeamhook::proxy {

/** Why a request was not given to a target. */
enum class lane_refusal { full, too_late, expired };

/**
 * The queue and the concurrency limit of one target at this home, with the requests themselves.
 * Thread safe; callbacks run without its lock.
 */
class target_lane {
public:
    using start_function = std::function<void()>;
    using refuse_function = std::function<void(lane_refusal)>;

    target_lane(std::size_t queue_length, int slots, int quota);

    /** Queues a request; calls `refuse` at once or later, or hands out `start` from take(). */
    void offer(coordination::admission_entry entry, start_function start, refuse_function refuse,
               state::time_point now);

    /** Whether a request offered now would be refused; used before waiting for a proof. */
    bool would_refuse(bool is_write, state::time_point deadline, state::time_point now);

    /** Requests that may start now; each of them must be ended with finish(). */
    std::vector<start_function> take(state::time_point now);

    /** Ends the use of a place. `latency` is empty when the exchange was lost. */
    void finish(std::optional<std::chrono::microseconds> latency, state::time_point now);

    /** Requests that may hold a place. */
    int get_limit();

    /** Takes a place beyond the limit, for an open transaction. */
    void enter();

    /** Ends the use of a place without judging the target. */
    void leave();

    /** Refuses requests past their deadline. */
    void expire(state::time_point now);

    /** Follows the configuration and the quota of connections. */
    void update(std::size_t queue_length, int quota);

    /** Waiting requests of a kind. */
    std::size_t get_queued(bool is_write);

    /** Requests that hold a place. */
    int get_in_flight();

private:
    struct waiting_request {
        start_function start;
        refuse_function refuse;
    };

    coordination::service_rate get_rate() const;
    void refuse_all(const std::vector<coordination::admission_entry>& entries, lane_refusal reason);

    std::mutex mutex_;
    coordination::admission_queue queue_;
    coordination::concurrency_limit limit_;
    std::map<std::uint64_t, waiting_request> waiting_;
    std::uint64_t next_id_ = 1;
    int in_flight_ = 0;
};

}  // namespace hornbeamhook::proxy
