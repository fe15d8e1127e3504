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

/** A request that wants to use a target. */
struct admission_entry {
    std::uint64_t id = 0;
    std::string caller;
    bool is_write = false;
    state::time_point deadline{};

    auto operator<=>(const admission_entry&) const = default;
};

/** What happens to a request on arrival. */
enum class admission_verdict {
    queued,
    full,      ///< The queue of its kind is full.
    too_late,  ///< It would wait past its deadline.
};

/** How fast the target works at the moment. */
struct service_rate {
    std::chrono::microseconds service_time{5000};
    int concurrency = 1;
};

/**
 * Waiting requests of one target: writes and reads apart, each bounded, callers served round
 * robin within a kind, the kinds in turn. Not thread safe.
 */
class admission_queue {
public:
    /** `length` bounds each kind. */
    explicit admission_queue(std::size_t length) : length_(length) {}

    /** What offer() would say of a request, without queueing it. */
    admission_verdict judge(bool is_write, state::time_point deadline, const service_rate& rate,
                            state::time_point now) const;

    /** Queues `entry`, or refuses it at once. */
    admission_verdict offer(admission_entry entry, const service_rate& rate, state::time_point now);

    /**
     * Takes the next request that can still meet its deadline. Requests that no longer can are
     * moved to `expired`.
     */
    std::optional<admission_entry> take(const service_rate& rate, state::time_point now,
                                        std::vector<admission_entry>& expired);

    /** Removes requests whose deadline has passed. */
    std::vector<admission_entry> expire(state::time_point now);

    /** Removes all requests. */
    std::vector<admission_entry> clear();

    /** Waiting requests of a kind. */
    std::size_t get_size(bool is_write) const { return lanes_[is_write ? 1 : 0].size; }

    /** Changes the bound; what waits stays. */
    void set_length(std::size_t length) { length_ = length; }

private:
    struct lane {
        std::map<std::string, std::deque<admission_entry>> callers;
        std::list<std::string> order;  ///< Callers with waiting requests, next one first.
        std::size_t size = 0;
    };

    static std::optional<admission_entry> pop(lane& from);

    std::array<lane, 2> lanes_;
    std::size_t length_;
    bool is_write_next_ = true;
};

}  // namespace hornbeamhook::coordination
