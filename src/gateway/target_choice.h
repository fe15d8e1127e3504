#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gateway/pending_statement.h"
#include "gateway/target_group.h"

namespace hornbeamhook::gateway {

// Which targets of a group may run a statement, and in which order they are tried. Pure, given the
// states of the targets; loop thread only. `now` is in ms.

/** Round trip from this VM to a data centre. */
using round_trip_function = std::function<std::int64_t(const std::string& place)>;

/** A target that may run a read. */
struct read_candidate {
    target_state* target = nullptr;
    bool is_primary = false;  ///< By this VM's lease; it needs no position.
    double cost_ms = 0;       ///< Expected answer time, weighted by how scarce its slots are.
};

/** The log position that a target other than the primary must have reached to run the read; empty
 * while none is known. */
std::optional<state::log_point> get_required_position(const target_group& group,
                                                      const pending_statement& pending);

/** Whether the lease or a known log position allows a target to run the statement. */
bool is_runnable(const target_group& group, const pending_statement& pending, std::int64_t now);

/** Whether the statement has failed at each usable target. */
bool is_every_target_avoided(const target_group& group, const pending_statement& pending);

/** The targets that may run the read, best first: those that fail, lag, leave or have failed this
 * statement are left out. `required` is the result of get_required_position(). */
std::vector<read_candidate> list_read_candidates(target_group& group,
                                                 const pending_statement& pending,
                                                 const std::optional<state::log_point>& required,
                                                 const round_trip_function& get_round_trip_ms,
                                                 std::int64_t now);

}  // namespace hornbeamhook::gateway
