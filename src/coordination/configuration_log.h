#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "state/configuration.h"

namespace hornbeamhook::coordination {

/** A range of versions that must be read before later ones can be adopted. */
struct version_gap {
    std::uint64_t first = 0;
    std::uint64_t last = 0;

    bool operator==(const version_gap&) const = default;
};

/** Result of adopt_changes(). */
struct adoption_result {
    state::configuration config;                       ///< The highest version that was reached.
    std::vector<state::configuration_change> adopted;  ///< In order.
    std::optional<version_gap> gap;  ///< Missing versions before the remaining changes.
    std::string error;               ///< Why the change after `config` is invalid, or empty.
};

/**
 * Adopts changes on top of `base`: only higher versions, in order, each exactly once. `changes` may
 * be in any order; those at or below the base version are ignored, so the configuration never
 * reverts.
 */
adoption_result adopt_changes(const state::configuration& base,
                              const std::vector<state::configuration_change>& changes);

/** The version of an object that a change was based on; 0 if it was absent. */
struct object_base {
    std::string kind;
    std::string name;
    std::uint64_t version = 0;

    auto operator<=>(const object_base&) const = default;
};

/** A change that is not committed yet. `change.version` is set when it is sent. */
struct change_draft {
    state::configuration_change change;
    std::vector<object_base> bases;
    std::vector<object_base> required;  ///< Pools that must still exist for new targets.

    bool operator==(const change_draft&) const = default;
};

/** The version of the last change of an object, or 0 when it is absent. */
std::uint64_t get_object_version(const state::configuration& config, const std::string& kind,
                                 const std::string& name);

/**
 * Returns a draft whose bases are the versions in `base` of all objects that the change touches.
 * Deleting a pool also touches its targets.
 */
change_draft make_draft(const state::configuration& base, state::configuration_change change);

/** An object that another change modified after the draft's base. */
struct object_conflict {
    std::string kind;
    std::string name;
    std::uint64_t base_version = 0;
    std::uint64_t current_version = 0;

    bool operator==(const object_conflict&) const = default;
};

/** The objects of `draft` whose version in `current` differs from their base. */
std::vector<object_conflict> find_conflicts(const change_draft& draft,
                                            const state::configuration& current);

/** The change is in the log at this version. */
struct commit_succeeded {
    std::uint64_t version = 0;

    bool operator==(const commit_succeeded&) const = default;
};

/** Another operator's change to the same objects was committed first; nothing was changed. */
struct commit_conflict {
    std::vector<object_conflict> conflicts;

    bool operator==(const commit_conflict&) const = default;
};

/** The change is invalid; nothing was changed. */
struct commit_rejected {
    std::string message;

    bool operator==(const commit_rejected&) const = default;
};

/** The store did not answer in time; nothing was changed. */
struct commit_unavailable {
    std::string message;

    bool operator==(const commit_unavailable&) const = default;
};

/**
 * An answer was lost and the outcome could not be determined in time; look up the change id later.
 */
struct commit_unknown {
    std::string message;

    bool operator==(const commit_unknown&) const = default;
};

using commit_result = std::variant<commit_succeeded, commit_conflict, commit_rejected,
                                   commit_unavailable, commit_unknown>;

/** Progress of committing one draft. */
struct commit_state {
    state::configuration current;  ///< Newest configuration read.
    change_draft draft;
    bool is_uncertain = false;            ///< An answer was lost and the outcome is not known yet.
    std::uint64_t uncertain_version = 0;  ///< The version the lost commit would have created.
    std::optional<commit_result> result;  ///< Set when finished.
    std::string last_error;               ///< Last failure of the store.
};

/** The head row and all changes after the current version up to the head were read. */
struct log_read_completed {
    std::uint64_t head_version = 0;
    std::optional<std::uint64_t> head_row_version;  ///< Empty when the head row is absent.
    std::vector<state::configuration_change> changes;
};

/** Reading failed. */
struct log_read_failed {
    std::string message;
};

/** The table service answered the commit. */
struct commit_answered {
    bool is_committed = false;
    std::uint64_t version = 0;  ///< The version that was sent.
};

/** The commit call failed. */
struct commit_call_failed {
    bool may_have_taken_effect = false;
    std::uint64_t version = 0;  ///< The version that was sent.
    std::string message;
};

struct commit_deadline_passed {};

using commit_event = std::variant<log_read_completed, log_read_failed, commit_answered,
                                  commit_call_failed, commit_deadline_passed>;

/** Reads the head row, then the changes after `after` up to the head. */
struct read_log {
    std::uint64_t after = 0;
    bool after_failure = false;  ///< Pause before reading, because the store just failed.

    bool operator==(const read_log&) const = default;
};

/** Sends the change on the condition that the head row is still at `head_row_version`. */
struct send_commit {
    state::configuration_change change;
    std::optional<std::uint64_t> head_row_version;

    bool operator==(const send_commit&) const = default;
};

/** The commit is finished; see commit_state::result. */
struct finish_commit {
    bool operator==(const finish_commit&) const = default;
};

using commit_action = std::variant<read_log, send_commit, finish_commit>;

/** State and next action. Each step has exactly one action. */
struct commit_step {
    commit_state state;
    commit_action action;
};

/** Starts to commit `draft` to a log whose newest known configuration is `current`. */
commit_step begin_commit(state::configuration current, change_draft draft);

/**
 * Returns the next step. A lost answer is resolved by reading the log: if it holds the change id,
 * the commit took effect; if another change has its version, the commit did not take effect and
 * never will; if the head has not moved, the same change is sent again, and the condition on the
 * head row lets at most one of the two copies take effect.
 */
commit_step advance_commit(commit_state state, const commit_event& event);

}  // namespace hornbeamhook::coordination
