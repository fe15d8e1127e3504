#include "coordination/connection_pool.h"

#include <algorithm>
#include <utility>

namespace hornbeamhook::coordination {

namespace {

using phase = pooled_connection::phase;

/** Applies one event to a pool and collects the actions. */
class pool_transition {
public:
    pool_transition(connection_pool pool, state::time_point now)
        : pool_(std::move(pool)), now_(now) {}

    void operator()(const pool_event::waiter_arrived& event) {
        if (event.is_returning) {
            pool_.waiters.push_front(event.waiter);
        } else {
            pool_.waiters.push_back(event.waiter);
        }
    }

    void operator()(const pool_event::waiter_left& event) {
        std::erase(pool_.waiters, event.waiter);
    }

    void operator()(const pool_event::opened& event) {
        if (const auto it = pool_.connections.find(event.connection);
            it != pool_.connections.end()) {
            it->second.current_phase = phase::lent;
            ++pool_.counters.opened;
        }
    }

    void operator()(const pool_event::open_failed& event) {
        if (pool_.connections.erase(event.connection) == 0) {
            return;
        }
        ++pool_.counters.open_failures;
        if (!event.is_limit_refusal) {
            return;
        }
        ++pool_.counters.limit_refusals;
        // The established connections fit within the target's limit at this moment. One connection
        // is always retried, because others may use up the limit only for a while.
        pool_.allowed = std::min(pool_.allowed, std::max(1, count_established()));
        pool_.open_not_before = now_ + pool_.limits.refusal_pause;
        pool_.raise_at = now_ + pool_.limits.raise_interval;
    }

    void operator()(const pool_event::released& event) {
        finish_use(event.connection, event.is_reusable);
        if (event.is_suspect) {
            test_idle();
        }
    }

    void operator()(const pool_event::tested& event) {
        finish_use(event.connection, event.is_good);
    }

    void operator()(const pool_event::quota_set& event) {
        const bool is_lowered = pool_.allowed < pool_.limits.quota;
        pool_.limits.quota = std::max(0, event.quota);
        pool_.allowed =
            is_lowered ? std::min(pool_.allowed, pool_.limits.quota) : pool_.limits.quota;
    }

    void operator()(const pool_event::time_passed& /*event*/) {}

    connection_pool_step finish() {
        raise_quota();
        serve_waiters();
        close_surplus();
        pool_.counters.peak = std::max(pool_.counters.peak, count_all());
        return {std::move(pool_), std::move(actions_)};
    }

private:
    int count_established() const {
        return static_cast<int>(std::count_if(
            pool_.connections.begin(), pool_.connections.end(),
            [](const auto& entry) { return entry.second.current_phase != phase::opening; }));
    }

    int count_all() const { return static_cast<int>(pool_.connections.size()); }

    void finish_use(connection_id connection, bool is_reusable) {
        const auto it = pool_.connections.find(connection);
        if (it == pool_.connections.end()) {
            return;
        }
        if (is_reusable) {
            it->second = {.current_phase = phase::idle, .idle_since = now_};
        } else {
            close(connection);
        }
    }

    void close(connection_id connection) {
        pool_.connections.erase(connection);
        actions_.emplace_back(pool_action::close{connection});
        ++pool_.counters.closed;
    }

    void test_idle() {
        for (auto& [id, connection] : pool_.connections) {
            if (connection.current_phase == phase::idle) {
                connection.current_phase = phase::testing;
                actions_.emplace_back(pool_action::test{id});
                ++pool_.counters.tested;
            }
        }
    }

    void raise_quota() {
        while (pool_.allowed < pool_.limits.quota && now_ >= pool_.raise_at) {
            ++pool_.allowed;
            pool_.raise_at += pool_.limits.raise_interval;
        }
    }

    /** The most recently used idle connection, so that surplus connections stay idle. */
    std::map<connection_id, pooled_connection>::iterator find_idle() {
        auto best = pool_.connections.end();
        for (auto it = pool_.connections.begin(); it != pool_.connections.end(); ++it) {
            if (it->second.current_phase == phase::idle &&
                (best == pool_.connections.end() ||
                 it->second.idle_since > best->second.idle_since)) {
                best = it;
            }
        }
        return best;
    }

    void serve_waiters() {
        while (!pool_.waiters.empty()) {
            const waiter_id waiter = pool_.waiters.front();
            const auto idle = find_idle();
            if (pool_.limits.quota == 0) {
                actions_.emplace_back(pool_action::refuse{waiter});
            } else if (idle != pool_.connections.end()) {
                const bool was_idle_long =
                    now_ - idle->second.idle_since > pool_.limits.probe_after;
                idle->second.current_phase = phase::lent;
                ++pool_.counters.reused;
                actions_.emplace_back(pool_action::lend{waiter, idle->first, was_idle_long});
            } else if (count_all() < pool_.allowed && now_ >= pool_.open_not_before) {
                const connection_id id = pool_.next_id++;
                pool_.connections.emplace(id, pooled_connection{});
                actions_.emplace_back(pool_action::open{waiter, id});
            } else {
                return;
            }
            pool_.waiters.pop_front();
        }
    }

    void close_surplus() {
        while (count_all() > pool_.allowed) {
            const auto idle = find_idle();
            if (idle == pool_.connections.end()) {
                return;
            }
            close(idle->first);
        }
    }

    connection_pool pool_;
    const state::time_point now_;
    std::vector<connection_pool_action> actions_;
};

}  // namespace

connection_pool make_connection_pool(const connection_pool_limits& limits) {
    connection_pool pool;
    pool.limits = limits;
    pool.allowed = limits.quota;
    return pool;
}

connection_pool_step step_connection_pool(connection_pool pool, const connection_pool_event& event,
                                          state::time_point now) {
    pool_transition transition(std::move(pool), now);
    std::visit([&](const auto& value) { transition(value); }, event);
    return transition.finish();
}

}  // namespace hornbeamhook::coordination
