#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "state/configuration.h"
#include "state/group_view.h"
#include "transport/target_connection.h"

namespace hornbeamhook::proxy {

/** The results of one exchange with a target, or why it failed. */
using exchange_result =
    std::variant<std::vector<transport::target_result>, transport::target_error>;

/**
 * A connection to a target that one request holds alone. Destroying it gives the connection back
 * when it is sound and no transaction is open, and closes it otherwise.
 */
class target_session {
public:
    target_session() = default;
    virtual ~target_session() = default;
    target_session(const target_session&) = delete;
    target_session& operator=(const target_session&) = delete;

    /** Runs statements as one pipelined exchange. Blocks until `deadline` at most. */
    virtual exchange_result run(const std::vector<transport::target_statement>& statements,
                                state::time_point deadline) = 0;

    /** The transaction state that the target reported last. */
    virtual transport::transaction_state get_transaction_state() const = 0;

    /** Whether the connection must not be used any more. */
    virtual bool is_broken() const = 0;
};

/** A session, or why none could be had; no statement of a caller was sent in that case. */
using session_result = std::variant<std::unique_ptr<target_session>, transport::target_error>;

/** Where the data path gets its connections from. Thread safe. */
class session_source {
public:
    session_source() = default;
    virtual ~session_source() = default;
    session_source(const session_source&) = delete;
    session_source& operator=(const session_source&) = delete;

    /**
     * Takes a connection to a target of `pool`; one that was idle for long answered a probe.
     * Blocks until `deadline` at most.
     */
    virtual session_result acquire(const std::string& pool, const state::target_description& target,
                                   state::time_point deadline) = 0;

    /** Connections this process may open to the target at the moment. */
    virtual int get_quota(const std::string& pool, const state::target_description& target) = 0;
};

}  // namespace hornbeamhook::proxy
