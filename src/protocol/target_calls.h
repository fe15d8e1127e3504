#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <string>

#include "state/group_view.h"
#include "state/log_point.h"
#include "state/target_status.h"
#include "transport/target_connection.h"

namespace hornbeamhook::protocol {

/** SQLSTATE of a refused fence or promote: another claimant or a higher term was accepted. */
inline constexpr const char* sqlstate_term_refused = "HB001";

/** SQLSTATE of a write on a target that is not an unfenced primary; nothing ran. */
inline constexpr const char* sqlstate_read_only = "HB002";

/**
 * Makes the target end the open transaction when it hears nothing for `limit`. Without it, the
 * locks of a transaction whose connection went silent would be held for as long as the target's
 * own setting says.
 */
transport::target_statement make_idle_limit_statement(std::chrono::milliseconds limit);

/**
 * Ends an exchange after which the connection goes to another request: discards settings, temporary
 * tables, prepared statements and locks of the session. No transaction may be open.
 */
transport::target_statement make_reset_statement();

/** The statement whose single cell parse_status_cell() reads. */
transport::target_statement make_status_statement();

/** The statement whose single cell parse_commit_cell() reads. */
transport::target_statement make_last_commit_statement();

/** Parses the answer of make_status_statement(). Fails with state_error. */
boost::leaf::result<state::target_status> parse_status_result(
    const transport::target_result& result);

/** Parses the answer of make_last_commit_statement(). Fails with state_error. */
boost::leaf::result<state::log_point> parse_commit_result(const transport::target_result& result);

/** Reads the status. Fails with target_error or state_error. One thread per connection. */
boost::leaf::result<state::target_status> read_status(transport::target_connection& connection,
                                                      state::time_point deadline);

/**
 * Fences the target with `term` for `claimant`; idempotent. Fails with target_error (SQLSTATE
 * HB001 when refused) or state_error. One thread per connection.
 */
boost::leaf::result<state::target_status> fence(transport::target_connection& connection,
                                                state::term_number term,
                                                const std::string& claimant,
                                                state::time_point deadline);

/**
 * Makes the target the primary of `term`; idempotent. Fails with target_error (SQLSTATE HB001 when
 * refused) or state_error. One thread per connection.
 */
boost::leaf::result<state::target_status> promote(transport::target_connection& connection,
                                                  state::term_number term,
                                                  const std::string& claimant,
                                                  state::time_point deadline);

}  // namespace hornbeamhook::protocol
