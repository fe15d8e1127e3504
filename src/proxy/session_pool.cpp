#include "proxy/session_pool.h"

#include <algorithm>
#include <utility>

#include "protocol/target_calls.h"

namespace hornbeamhook::proxy {

namespace leaf = boost::leaf;

namespace {

using transport::target_connection;
using transport::target_error;
using transport::target_failure_kind;
using transport::target_result;
using transport::target_statement;

// A connection that was idle this long may have gone silent without notice.
constexpr std::chrono::milliseconds probe_after{1000};
constexpr std::chrono::milliseconds probe_timeout{300};
constexpr std::chrono::milliseconds connect_timeout{1000};
constexpr std::chrono::seconds max_idle{60};
// A quota lowered by a refused connection rises by one per interval, so that the limit of the
// target is probed slowly.
constexpr std::chrono::seconds raise_interval{10};

exchange_result run_exchange(target_connection& connection,
                             const std::vector<target_statement>& statements,
                             state::time_point deadline) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<exchange_result> {
            BOOST_LEAF_AUTO(results, connection.run(statements, deadline));
            return exchange_result(std::move(results));
        },
        [](const target_error& error) { return exchange_result(error); },
        [] {
            return exchange_result(target_error{.kind = target_failure_kind::closed,
                                                .was_sent = true,
                                                .message = "unexpected failure"});
        });
}

bool is_alive(target_connection& connection, state::time_point deadline) {
    const exchange_result answer =
        run_exchange(connection, {protocol::make_status_statement()}, deadline);
    return std::holds_alternative<std::vector<target_result>>(answer);
}

}  // namespace

/** A connection taken from the pool. */
class pooled_session : public target_session {
public:
    pooled_session(session_pool& owner, std::string key,
                   std::unique_ptr<target_connection> connection)
        : owner_(owner), key_(std::move(key)), connection_(std::move(connection)) {}

    ~pooled_session() override { owner_.give_back(key_, std::move(connection_)); }

    exchange_result run(const std::vector<target_statement>& statements,
                        state::time_point deadline) override {
        return run_exchange(*connection_, statements, deadline);
    }

    transport::transaction_state get_transaction_state() const override {
        return connection_->get_transaction_state();
    }

    bool is_broken() const override { return connection_->is_broken(); }

private:
    session_pool& owner_;
    const std::string key_;
    std::unique_ptr<target_connection> connection_;
};

session_pool::session_pool(const protocol::proxy_settings& settings, group_source& groups)
    : settings_(settings), groups_(groups) {}

session_pool::~session_pool() = default;

std::string session_pool::get_key(const std::string& pool, const std::string& target) {
    return pool + "/" + target;
}

int session_pool::get_base_quota(const state::target_description& target) const {
    const int usable = std::max(1, target.connection_limit - settings_.reserved_connections);
    if (settings_.layout == protocol::connection_layout::fixed_split) {
        const auto proxies = static_cast<int>(groups_.get_view()->live_members.size());
        return std::max(1, usable / std::max(1, proxies));
    }
    // Proxies that disagree about the homes for a moment must not exceed the limit together.
    return std::max(1, usable / (settings_.homes_per_target + 1));
}

int session_pool::get_quota_locked(const shelf& from,
                                   const state::target_description& target) const {
    const int base = get_base_quota(target);
    return from.lowered_quota == 0 ? base : std::min(base, from.lowered_quota);
}

int session_pool::get_quota(const std::string& pool, const state::target_description& target) {
    const std::scoped_lock lock(mutex_);
    return get_quota_locked(shelves_[get_key(pool, target.name)], target);
}

void session_pool::drop(const std::string& key) {
    {
        const std::scoped_lock lock(mutex_);
        --shelves_[key].open;
    }
    returned_.notify_all();
}

void session_pool::give_back(const std::string& key,
                             std::unique_ptr<target_connection> connection) {
    // Only the target's own word that no transaction is open makes a connection usable again.
    const bool is_usable = !connection->is_broken() && connection->get_transaction_state() ==
                                                           transport::transaction_state::idle;
    if (!is_usable) {
        connection.reset();
        drop(key);
        return;
    }
    {
        const std::scoped_lock lock(mutex_);
        shelves_[key].idle.push_back(
            {std::move(connection), std::chrono::steady_clock::now(), false});
    }
    returned_.notify_all();
}

void session_pool::lower_quota(const std::string& key, state::time_point now) {
    const std::scoped_lock lock(mutex_);
    shelf& from = shelves_[key];
    from.lowered_quota = std::max(1, from.open - 1);
    from.raised_at = now;
}

session_result session_pool::open(const std::string& key, const state::target_description& target,
                                  state::time_point deadline) {
    const state::time_point now = std::chrono::steady_clock::now();
    session_result result = leaf::try_handle_all(
        [&]() -> leaf::result<session_result> {
            BOOST_LEAF_AUTO(
                connection,
                target_connection::open(target.address, std::min(deadline, now + connect_timeout)));
            return session_result(std::unique_ptr<target_session>(
                std::make_unique<pooled_session>(*this, key, std::move(connection))));
        },
        [](const target_error& error) { return session_result(error); },
        [] { return session_result(target_error{.kind = target_failure_kind::unreachable}); });
    if (const auto* error = std::get_if<target_error>(&result)) {
        if (error->kind == target_failure_kind::connection_limit) {
            lower_quota(key, now);
        }
        drop(key);
    }
    return result;
}

session_result session_pool::acquire(const std::string& pool,
                                     const state::target_description& target, bool /*is_write*/,
                                     state::time_point deadline) {
    const std::string key = get_key(pool, target.name);
    while (true) {
        idle_connection taken;
        {
            std::unique_lock lock(mutex_);
            shelf& from = shelves_[key];
            const bool is_available = returned_.wait_until(lock, deadline, [&] {
                return !from.idle.empty() || from.open < get_quota_locked(from, target);
            });
            if (!is_available) {
                return target_error{.kind = target_failure_kind::connection_limit,
                                    .message = "no connection became free in time"};
            }
            if (!from.idle.empty()) {
                taken = std::move(from.idle.back());
                from.idle.pop_back();
            } else {
                ++from.open;
            }
        }
        if (!taken.connection) {
            return open(key, target, deadline);
        }
        const state::time_point now = std::chrono::steady_clock::now();
        const bool needs_probe = taken.must_probe || now - taken.last_used > probe_after;
        if (!needs_probe || is_alive(*taken.connection, std::min(deadline, now + probe_timeout))) {
            return std::unique_ptr<target_session>(
                std::make_unique<pooled_session>(*this, key, std::move(taken.connection)));
        }
        taken.connection.reset();
        drop(key);
        report_silent(pool, target.name);
    }
}

void session_pool::report_silent(const std::string& pool, const std::string& target) {
    const std::scoped_lock lock(mutex_);
    for (idle_connection& each : shelves_[get_key(pool, target)].idle) {
        each.must_probe = true;
    }
}

void session_pool::maintain(state::time_point now) {
    std::vector<idle_connection> closed;
    const std::shared_ptr<const state::fleet_view> view = groups_.get_view();
    {
        const std::scoped_lock lock(mutex_);
        for (auto& [key, each] : shelves_) {
            if (each.lowered_quota > 0 && now - each.raised_at > raise_interval) {
                ++each.lowered_quota;
                each.raised_at = now;
            }
            const auto homes = view->homes.find(key);
            const bool is_home =
                settings_.layout == protocol::connection_layout::fixed_split ||
                (homes != view->homes.end() &&
                 std::any_of(homes->second.begin(), homes->second.end(),
                             [&](const state::member& home) { return home.vm == settings_.vm; }));
            const auto first_kept = std::partition(
                each.idle.begin(), each.idle.end(),
                [&](const auto& entry) { return !is_home || now - entry.last_used > max_idle; });
            each.open -= static_cast<int>(first_kept - each.idle.begin());
            std::move(each.idle.begin(), first_kept, std::back_inserter(closed));
            each.idle.erase(each.idle.begin(), first_kept);
        }
    }
    returned_.notify_all();
}

}  // namespace hornbeamhook::proxy
