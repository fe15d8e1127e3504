#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "state/group_view.h"

namespace hornbeamhook::coordination {

/**
 * Allows retries up to 10 % of the requests of the last 10 s, plus 10, so that retries cannot
 * multiply the load on a component that is already failing. Not thread safe.
 */
class retry_budget {
public:
    /** Counts a request at its first send. */
    void count_request(state::time_point now);

    /** Takes one retry; false when the budget is exhausted. */
    bool try_take(state::time_point now);

private:
    struct bucket {
        std::int64_t second = -1;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    static constexpr std::size_t window_seconds = 10;

    bucket& get_bucket(state::time_point now);

    std::array<bucket, window_seconds> buckets_{};
};

}  // namespace hornbeamhook::coordination
