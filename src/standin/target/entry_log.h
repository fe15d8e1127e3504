#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "state/log_point.h"

namespace hornbeamhook::standin::target {

/** The committed statements of one transaction. */
struct log_entry {
    state::term_number term = 0;
    std::string statements;  ///< JSON array of `{"sql", "parameters"}`.
    std::chrono::steady_clock::time_point appended_at{};
};

/** Consecutive entries of one term: the first position and the term. */
struct term_run {
    state::log_position start = 0;
    state::term_number term = 0;

    bool operator==(const term_run&) const = default;
};

/** The log of one target, in memory. Not thread safe. */
class entry_log {
public:
    void push(std::shared_ptr<const log_entry> entry);

    /** Discards what follows `length`. */
    void truncate(state::log_position length);

    state::log_position get_length() const { return entries_.size(); }
    const std::vector<term_run>& get_runs() const { return runs_; }
    const std::vector<std::shared_ptr<const log_entry>>& get_entries() const { return entries_; }

    /**
     * Length of the prefix shared with the log described by `runs` and `length`.
     *
     * A term has one primary, which appends to a log verified entry by entry, so two logs that
     * hold an entry of the same term at the same position are equal up to it.
     */
    state::log_position get_common_prefix(const std::vector<term_run>& runs,
                                          state::log_position length) const;

private:
    std::vector<std::shared_ptr<const log_entry>> entries_;
    std::vector<term_run> runs_;
};

}  // namespace hornbeamhook::standin::target
