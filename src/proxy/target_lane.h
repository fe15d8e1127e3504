#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "coordination/admission_queue.h"
#include "coordination/concurrency_limit.h"
#include "coordination/service_estimate.h"
#include "coordination/write_concurrency.h"
#include "state/configuration.h"

namespace hornbeamhook::proxy {

/** Why a request was not given to a target. */
enum class lane_refusal {
    full,
    too_late,
    expired,
    unreachable,  ///< This home cannot reach the target.
};

/** A place at a target that a started request holds. */
struct lane_place {
    coordination::request_kind kind = coordination::request_kind::read;
    int number = 1;  ///< Places of this kind in use when it was taken, including this one.
    state::time_point taken_at{};
};

/**
 * The queues and the concurrency limits of one target at this home, with the requests themselves.
 * Reads, writes and open transactions wait and are limited apart, so that writes that wait for
 * locks of the target do not use up the places of reads. Together they hold at most as many places
 * as there are connections. Thread safe; callbacks run without its lock.
 */
class target_lane {
public:
    using start_function = std::function<void(const lane_place&)>;
    using refuse_function = std::function<void(lane_refusal)>;

    target_lane(std::size_t queue_length, int slots, int quota);

    /** Queues a request; calls `refuse` at once or later, or hands out `start` from take(). */
    void offer(coordination::admission_entry entry, start_function start, refuse_function refuse,
               state::time_point now);

    /** Whether a request offered now would be refused; used before waiting for a proof. */
    bool would_refuse(const coordination::admission_entry& entry, state::time_point now);

    /** Requests that may start now; each of them must be ended with finish() or leave(). */
    std::vector<std::function<void()>> take(state::time_point now);

    /** Ends the use of a place. `is_answered` is false when the exchange was lost. */
    void finish(const lane_place& place, bool is_answered, state::time_point now);

    /** Ends the use of a place without judging the target. */
    void leave(const lane_place& place);

    /** Refuses requests that can no longer meet their deadline. */
    void expire(state::time_point now);

    /** Refuses waiting writes and transactions because this home cannot reach the target. */
    void refuse_unreachable();

    /** Follows the configuration and the quota of connections. */
    void update(std::size_t queue_length, int quota);

    /** Waiting requests of a kind. */
    std::size_t get_queued(coordination::request_kind kind);

    /** The estimates for a kind, as admission uses them now. */
    coordination::service_rate get_service_rate(coordination::request_kind kind);

    /** Requests of a kind that may hold a place. */
    int get_limit(coordination::request_kind kind);

    /** Requests that hold a place. */
    int get_in_flight();

private:
    struct waiting_request {
        start_function start;
        refuse_function refuse;
    };

    int& get_in_use(coordination::request_kind kind) {
        return in_use_.at(static_cast<std::size_t>(kind));
    }
    int get_all_in_use() const;
    int find_limit(coordination::request_kind kind) const;
    coordination::service_rate get_rate(coordination::request_kind kind) const;
    std::optional<coordination::admission_entry> take_next(
        state::time_point now, std::vector<coordination::admission_entry>& expired);
    std::vector<refuse_function> remove(const std::vector<coordination::admission_entry>& entries);

    std::mutex mutex_;
    const int slots_;
    int quota_;
    coordination::admission_queue queue_;
    coordination::concurrency_limit read_limit_;
    coordination::service_estimate read_time_;
    coordination::write_concurrency write_limit_;
    coordination::service_estimate transaction_time_;
    std::map<std::uint64_t, waiting_request> waiting_;
    std::uint64_t next_id_ = 1;
    std::array<int, coordination::request_kind_count> in_use_{};
    std::size_t next_kind_ = 0;  ///< The kind whose turn it is when connections are short.
};

}  // namespace hornbeamhook::proxy
