#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <variant>
#include <vector>

#include "state/group_view.h"

namespace hornbeamhook::coordination {

using connection_id = std::uint64_t;
using waiter_id = std::uint64_t;

/** Limits of the pool of connections to one target. */
struct connection_pool_limits {
    int quota = 1;  ///< Connections this home may open; 0 when it is no longer a home.
    /// A connection idle for longer is probed before it carries a write.
    std::chrono::milliseconds probe_after{1000};
    /// Pause before the next connection is opened after the target refused one over its limit.
    std::chrono::milliseconds refusal_pause{100};
    /// After such a refusal the lowered quota rises by one per interval without another refusal.
    std::chrono::milliseconds raise_interval{5000};

    bool operator==(const connection_pool_limits&) const = default;
};

/** State of one connection of the pool. */
struct pooled_connection {
    enum class phase { opening, idle, testing, lent };

    phase current_phase = phase::opening;
    state::time_point idle_since{};

    bool operator==(const pooled_connection&) const = default;
};

/** Event counts, for tests and metrics. */
struct connection_pool_counters {
    std::uint64_t opened = 0;
    std::uint64_t open_failures = 0;
    std::uint64_t limit_refusals = 0;  ///< SQLSTATE 53300.
    std::uint64_t reused = 0;
    std::uint64_t tested = 0;
    std::uint64_t closed = 0;
    int peak = 0;  ///< Highest number of connections at a time, including those being opened.

    bool operator==(const connection_pool_counters&) const = default;
};

/** Immutable state of the pool of one target. */
struct connection_pool {
    connection_pool_limits limits;
    int allowed = 1;  ///< Effective quota, lowered when the target refuses connections.
    std::map<connection_id, pooled_connection> connections;
    std::deque<waiter_id> waiters;  ///< In the order of service.
    state::time_point open_not_before{};
    state::time_point raise_at{};
    connection_id next_id = 1;
    connection_pool_counters counters;

    bool operator==(const connection_pool&) const = default;
};

namespace pool_event {
/** A thread requests a connection. `is_returning`: it was served before and lost the connection. */
struct waiter_arrived {
    waiter_id waiter = 0;
    bool is_returning = false;
};
/** A thread stopped waiting. */
struct waiter_left {
    waiter_id waiter = 0;
};
/** The connection is open and lent to the waiter that opened it. */
struct opened {
    connection_id connection = 0;
};
struct open_failed {
    connection_id connection = 0;
    bool is_limit_refusal = false;
};
/**
 * Only a connection in the idle transaction state is reusable. `is_suspect`: it failed in a way
 * that may affect other connections too, such as a missing answer.
 */
struct released {
    connection_id connection = 0;
    bool is_reusable = false;
    bool is_suspect = false;
};
struct tested {
    connection_id connection = 0;
    bool is_good = false;
};
struct quota_set {
    int quota = 0;
};
struct time_passed {};
}  // namespace pool_event

using connection_pool_event =
    std::variant<pool_event::waiter_arrived, pool_event::waiter_left, pool_event::opened,
                 pool_event::open_failed, pool_event::released, pool_event::tested,
                 pool_event::quota_set, pool_event::time_passed>;

namespace pool_action {
/** Lends an idle connection to a waiter, which probes it first if required. */
struct lend {
    waiter_id waiter = 0;
    connection_id connection = 0;
    bool was_idle_long = false;

    bool operator==(const lend&) const = default;
};
/** Lets a waiter open a connection for itself. */
struct open {
    waiter_id waiter = 0;
    connection_id connection = 0;

    bool operator==(const open&) const = default;
};
struct close {
    connection_id connection = 0;

    bool operator==(const close&) const = default;
};
/** Tests an idle connection; the result is the event `tested`. */
struct test {
    connection_id connection = 0;

    bool operator==(const test&) const = default;
};
/** Tells a waiter that this pool opens no connections. */
struct refuse {
    waiter_id waiter = 0;

    bool operator==(const refuse&) const = default;
};
}  // namespace pool_action

using connection_pool_action =
    std::variant<pool_action::lend, pool_action::open, pool_action::close, pool_action::test,
                 pool_action::refuse>;

/** The state after an event and the actions to take, in this order. */
struct connection_pool_step {
    connection_pool next;
    std::vector<connection_pool_action> actions;
};

/** Returns an empty pool. */
connection_pool make_connection_pool(const connection_pool_limits& limits);

/** Applies one event. Pure. Events of unknown connections are ignored. */
connection_pool_step step_connection_pool(connection_pool pool, const connection_pool_event& event,
                                          state::time_point now);

}  // namespace hornbeamhook::coordination
