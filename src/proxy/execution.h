#pragma once

#include <string>
#include <vector>

#include "coordination/exchange_failure.h"
#include "coordination/freshness.h"
#include "protocol/execute_message.h"
#include "proxy/target_session.h"

namespace hornbeamhook::proxy {

/** How one request ended at its target, before the group acknowledged anything. */
struct execution {
    state::outcome outcome = state::outcome::not_run;
    protocol::error_code code = protocol::error_code::unavailable;
    std::string message;
    bool was_sent = false;
    bool is_behind = false;
    bool is_primary_lost = false;
    std::vector<transport::target_result> results;
    state::log_point point;
    bool is_primary = false;
    /// The group must hold `point` before outcome and code may be told to the caller.
    bool needs_acknowledgement = false;
};

/** Runs requests on connections; blocking. Thread safe, as long as each session has one user. */
class executor {
public:
    /** `sessions` must outlive this. */
    explicit executor(session_source& sessions) : sessions_(sessions) {}

    /** A read as one exchange; its answer is discarded when the target is behind `required`. */
    execution run_read(const protocol::execute_request& request,
                       const state::target_description& target,
                       const coordination::required_points& required, state::time_point deadline);

    /** A write in one database transaction, with its idempotency key when there is one. After
     * `commit_by` no commit is sent. */
    execution run_write(const protocol::execute_request& request,
                        const state::target_description& target, state::time_point commit_by,
                        state::time_point deadline);

    /** Runs COMMIT on `session`, with the key when there is one. */
    execution run_commit(target_session& session, const protocol::execute_request& request,
                         const state::target_description& target, state::time_point deadline);

    /** Describes a failed exchange. */
    static execution make_failure(coordination::exchange_phase phase,
                                  const transport::target_error& error,
                                  std::size_t commit_index = 0);

private:
    /** How an attempt to insert and run ended. */
    enum class write_step { done, key_exists, table_missing };

    write_step try_write(const protocol::execute_request& request,
                         const state::target_description& target, state::time_point commit_by,
                         state::time_point deadline, execution& result);
    execution finish_commit(target_session& session,
                            std::vector<transport::target_statement> statements,
                            std::size_t commit_index, state::time_point deadline);
    execution read_stored(const protocol::execute_request& request,
                          const state::target_description& target, state::time_point deadline);
    bool create_table(const protocol::execute_request& request,
                      const state::target_description& target, state::time_point deadline,
                      execution& failure);

    session_source& sessions_;
};

}  // namespace hornbeamhook::proxy
