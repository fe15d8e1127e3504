#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "proxy/usage_recorder.h"
#include "state/usage_row.h"

namespace hornbeamhook::proxy {

/** A usage row to be written. */
struct usage_write {
    state::usage_row row;
    /// Version of the stored row, empty when absent; only valid when `is_version_known`.
    std::optional<std::uint64_t> version;
    bool is_version_known = true;  ///< False: read the row before writing it.
    std::uint64_t generation = 0;  ///< State of the counters that this write carries.
};

/**
 * Cumulative usage counters per row, with what is known of the stored rows. Each write names the
 * stored version it replaces, so that a write that arrives late cannot undo a later one. Not thread
 * safe.
 */
class usage_ledger {
public:
    /** Rows carry `place`, `vm` and `incarnation`; at most `max_rows` are held. */
    usage_ledger(std::string place, std::string vm, std::uint64_t incarnation,
                 std::size_t max_rows);

    /** Counts one request in `hour`. */
    void record(const usage_sample& sample, const std::string& hour);

    /** Up to `limit` rows that changed since they were written, after `after` in key order. */
    std::vector<usage_write> get_changed(std::size_t limit,
                                         const std::optional<state::usage_key>& after) const;

    /** The writes are stored with `version`. Rows of hours before `hour` are forgotten. */
    void confirm(const std::vector<usage_write>& writes, std::uint64_t version,
                 const std::string& hour);

    /** Whether the writes took effect is not known. */
    void mark_uncertain(const std::vector<usage_write>& writes);

    /** How many rows are held. */
    std::size_t get_size() const { return entries_.size(); }

private:
    struct entry {
        state::usage_counters counters;
        std::uint64_t generation = 0;
        std::uint64_t stored_generation = 0;
        std::optional<std::uint64_t> version;
        bool is_version_known = true;
    };

    std::string place_;
    std::string vm_;
    std::uint64_t incarnation_;
    std::size_t max_rows_;
    std::map<state::usage_key, entry> entries_;
};

}  // namespace hornbeamhook::proxy
