#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/group_view.h"

namespace hornbeamhook::coordination {

/**
 * Kind of work at a target. Each kind has its own queue, limit and estimates, because the kinds
 * occupy a target for very different times.
 */
enum class request_kind {
    read,
    write,        ///< All statements of one write, until its commit.
    transaction,  ///< An open transaction, from its begin to its end.
};

constexpr std::size_t request_kind_count = 3;

/** A request that wants to use a target. */
struct admission_entry {
    std::uint64_t id = 0;
    std::string caller;
    request_kind kind = request_kind::read;
    state::time_point deadline{};

    auto operator<=>(const admission_entry&) const = default;
};

/** What happens to a request on arrival. */
enum class admission_decision {
    queued,
    full,      ///< The queue of its kind is full.
    too_late,  ///< It could not meet its deadline.
};

/** Speed and load of a target for one kind of request. */
struct service_rate {
    std::chrono::microseconds service_time{5000};  ///< Mean time in flight.
    std::chrono::microseconds needed_time{10000};  ///< To reserve for a request that starts.
    int concurrency = 1;                           ///< Limit of requests in flight.
    int in_use = 0;                                ///< Requests in flight.
};

/** Outcome of enqueue(). */
struct admission_result {
    admission_decision decision = admission_decision::queued;
    /// Requests removed from the queue, whatever the decision is: those that can no longer meet
    /// their deadline, by the current estimate or because the new one is served first, and, when
    /// the queue is full, one of a caller with more waiting requests than the caller of the new
    /// one.
    std::vector<admission_entry> displaced;
};

/**
 * Waiting requests of one target, with one bounded queue per kind. Callers are served round robin
 * within a kind. Every waiting request can meet its deadline by the estimate for its position; one
 * that no longer can is returned at once. While no request of a kind is in flight and none is
 * waiting, a request is accepted regardless of the estimate: otherwise an estimate that became too
 * high could never be corrected. Not thread safe.
 */
class admission_queue {
public:
    /** `length` bounds each kind. */
    explicit admission_queue(std::size_t length) : length_(length) {}

    /** What enqueue() would decide, without queueing the request. */
    admission_decision evaluate(const admission_entry& entry, const service_rate& rate,
                                state::time_point now) const;

    /** Queues `entry`, or refuses it at once. */
    admission_result enqueue(admission_entry entry, const service_rate& rate,
                             state::time_point now);

    /**
     * Removes and returns the next request of a kind that can still meet its deadline. Requests
     * that no longer can are moved to `expired`.
     */
    std::optional<admission_entry> dequeue(request_kind kind, const service_rate& rate,
                                           state::time_point now,
                                           std::vector<admission_entry>& expired);

    /** Removes requests of a kind that cannot meet their deadline even if they started now. */
    std::vector<admission_entry> expire(request_kind kind, const service_rate& rate,
                                        state::time_point now);

    /** Removes and returns all requests of a kind. */
    std::vector<admission_entry> clear(request_kind kind);

    /** Waiting requests of a kind. */
    std::size_t get_size(request_kind kind) const { return get_queue(kind).size; }

    /** Changes the bound; waiting requests stay. */
    void set_length(std::size_t length) { length_ = length; }

private:
    struct kind_queue {
        std::map<std::string, std::deque<admission_entry>> callers;
        std::list<std::string> order;  ///< Callers with waiting requests, next one first.
        std::size_t size = 0;
    };

    const kind_queue& get_queue(request_kind kind) const {
        return queues_.at(static_cast<std::size_t>(kind));
    }
    kind_queue& get_queue(request_kind kind) { return queues_.at(static_cast<std::size_t>(kind)); }

    static std::size_t get_position(const kind_queue& queue, const std::string& caller);
    static std::vector<admission_entry> find_displaced(const kind_queue& queue,
                                                       const service_rate& rate,
                                                       state::time_point now);
    /**
     * In a full queue, the last request of the caller with the most requests, if it has more than
     * `caller` would have with one more.
     */
    static std::optional<admission_entry> find_evictable(const kind_queue& queue,
                                                         const std::string& caller);
    static void remove(kind_queue& queue, const admission_entry& entry);
    static std::optional<admission_entry> pop(kind_queue& queue);

    std::array<kind_queue, request_kind_count> queues_;
    std::size_t length_;
};

}  // namespace hornbeamhook::coordination
