#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "state/group_view.h"

namespace hornbeamhook::coordination {

/** Request counts of one caller in one pool since its entry was created. */
struct caller_activity {
    std::string pool;
    std::string caller;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t refused = 0;
    state::time_point last_request{};

    bool operator==(const caller_activity&) const = default;
};

/** Contents of recent_callers at one time. */
struct caller_snapshot {
    std::vector<caller_activity> entries;  ///< Most recently seen caller first.
    std::uint64_t evicted = 0;             ///< Number of entries evicted so far.

    bool operator==(const caller_snapshot&) const = default;
};

/** How a request is counted. */
enum class caller_request_result { read, write, refused };

/**
 * Request counts of the most recently seen callers, in a table of fixed capacity. Sessions are
 * stored only in tokens, so this is all that a proxy knows of them. The caller whose last request
 * is the oldest is evicted for a new one. Not thread safe.
 */
class recent_callers {
public:
    /** Precondition: `capacity` > 0. */
    explicit recent_callers(std::size_t capacity) : capacity_(capacity) {}

    ~recent_callers() = default;
    recent_callers(const recent_callers&) = delete;
    recent_callers& operator=(const recent_callers&) = delete;

    /** Counts one request. */
    void record(const std::string& pool, const std::string& caller, caller_request_result result,
                state::time_point now);

    /** All entries and the number of evicted ones. */
    caller_snapshot get_snapshot() const;

private:
    using key = std::pair<std::string, std::string>;

    std::size_t capacity_;
    std::list<caller_activity> entries_;  ///< Most recently seen first.
    std::map<key, std::list<caller_activity>::iterator> index_;
    std::uint64_t evicted_ = 0;
};

}  // namespace hornbeamhook::coordination
