#include "proxy/session_pool.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "protocol/target_calls.h"

namespace hornbeamhook::proxy {

namespace leaf = boost::leaf;

namespace {

using transport::target_error;
using transport::target_failure_kind;

/** A connection lent by a target_pool. */
class leased_session : public target_session {
public:
    explicit leased_session(target_pool::lease lease) : lease_(std::move(lease)) {}

    ~leased_session() override {
        // Only the target's own word that no transaction is open makes a connection usable again.
        const bool is_usable = !lease_.get().is_broken() &&
                               get_transaction_state() == transport::transaction_state::idle;
        if (!is_usable) {
            lease_.release(release_kind::broken);
        } else {
            lease_.release(is_reset_ ? release_kind::clean : release_kind::after_transaction);
        }
    }

    exchange_result run(const std::vector<transport::target_statement>& statements,
                        state::time_point deadline) override {
        // A reset that the target refused leaves a broken connection.
        is_reset_ = !statements.empty() && statements.back() == protocol::make_reset_statement();
        return leaf::try_handle_all(
            [&]() -> leaf::result<exchange_result> {
                BOOST_LEAF_AUTO(results, lease_.get().run(statements, deadline));
                return exchange_result(std::move(results));
            },
            [](const target_error& error) { return exchange_result(error); },
            [] {
                return exchange_result(target_error{.kind = target_failure_kind::closed,
                                                    .was_sent = true,
                                                    .message = "unexpected failure"});
            });
    }

    transport::transaction_state get_transaction_state() const override {
        return lease_.get().get_transaction_state();
    }

    bool is_broken() const override { return lease_.get().is_broken(); }

private:
    mutable target_pool::lease lease_;
    bool is_reset_ = true;  // The session holds nothing of this user.
};

target_error make_error(const pool_error& error) {
    switch (error.failure) {
        case pool_failure::unreachable:
            return error.cause;
        case pool_failure::not_home:
            return {.kind = target_failure_kind::connection_limit,
                    .message = "this proxy opens no connections to the target"};
        case pool_failure::deadline:
            break;
    }
    return {.kind = target_failure_kind::connection_limit,
            .message = "no connection became free in time"};
}

}  // namespace

connection_usage make_connection_usage(const std::string& target,
                                       const coordination::connection_pool& pool) {
    using phase = coordination::pooled_connection::phase;
    connection_usage usage;
    usage.target = target;
    usage.quota = pool.limits.quota;
    usage.allowed = pool.allowed;
    usage.waiting = pool.waiters.size();
    for (const auto& [id, connection] : pool.connections) {
        switch (connection.current_phase) {
            case phase::opening:
                ++usage.opening;
                break;
            case phase::idle:
            case phase::testing:
                ++usage.idle;
                break;
            case phase::lent:
                ++usage.in_use;
                break;
        }
    }
    return usage;
}

session_pool::session_pool(const protocol::proxy_settings& settings, group_source& groups)
    : settings_(settings), groups_(groups) {}

session_pool::~session_pool() = default;

int session_pool::get_share(const state::target_description& target) const {
    const int usable = std::max(1, target.connection_limit - settings_.reserved_connections);
    if (settings_.layout == protocol::connection_layout::fixed_split) {
        const auto proxies = static_cast<int>(groups_.get_view()->live_members.size());
        return std::max(1, usable / std::max(1, proxies));
    }
    // Proxies that disagree about the homes for a moment must not exceed the limit together.
    return std::max(1, usable / (settings_.homes_per_target + 1));
}

bool session_pool::is_home(const state::fleet_view& view, const std::string& key) const {
    if (settings_.layout == protocol::connection_layout::fixed_split) {
        return true;
    }
    const auto homes = view.homes.find(key);
    return homes != view.homes.end() &&
           std::any_of(homes->second.begin(), homes->second.end(),
                       [&](const state::member& home) { return home.vm == settings_.vm; });
}

std::shared_ptr<target_pool> session_pool::get_pool(const std::string& pool,
                                                    const state::target_description& target) {
    const int share = get_share(target);
    std::shared_ptr<target_pool> replaced;  // Ends its threads after the lock is released.
    const std::scoped_lock lock(mutex_);
    entry& found = entries_[pool + "/" + target.name];
    if (!found.pool || found.address != target.address) {
        target_pool_options options;
        options.address = target.address;
        options.limits.quota = share;
        replaced = std::move(found.pool);
        found = {target.address, std::make_shared<target_pool>(options), share};
    }
    return found.pool;
}

session_result session_pool::acquire(const std::string& pool,
                                     const state::target_description& target,
                                     state::time_point deadline) {
    const std::shared_ptr<target_pool> from = get_pool(pool, target);
    // Reads ask like writes: a probe after a second of idleness costs one round trip, while a
    // read sent on a silent connection would wait for half of its deadline.
    return leaf::try_handle_all(
        [&]() -> leaf::result<session_result> {
            BOOST_LEAF_AUTO(lease, from->acquire(deadline, true));
            return session_result(std::unique_ptr<target_session>(
                std::make_unique<leased_session>(std::move(lease))));
        },
        [](const pool_error& error) { return session_result(make_error(error)); },
        [] { return session_result(target_error{.kind = target_failure_kind::unreachable}); });
}

int session_pool::get_quota(const std::string& pool, const state::target_description& target) {
    const int share = get_share(target);
    const std::scoped_lock lock(mutex_);
    const auto it = entries_.find(pool + "/" + target.name);
    return it == entries_.end() || it->second.allowed == 0 ? share
                                                           : std::min(share, it->second.allowed);
}

std::vector<std::pair<std::string, std::shared_ptr<target_pool>>> session_pool::get_pools() {
    std::vector<std::pair<std::string, std::shared_ptr<target_pool>>> pools;
    const std::scoped_lock lock(mutex_);
    for (const auto& [key, each] : entries_) {
        pools.emplace_back(key, each.pool);
    }
    return pools;
}

std::vector<connection_usage> session_pool::get_usage() {
    std::vector<connection_usage> result;
    for (const auto& [key, each] : get_pools()) {
        result.push_back(make_connection_usage(key, each->get_state()));
    }
    return result;
}

void session_pool::maintain() {
    const std::shared_ptr<const state::fleet_view> view = groups_.get_view();
    for (const auto& [key, each] : get_pools()) {
        const std::size_t slash = key.find('/');
        const state::pool_description* pool = view->config->find_pool(key.substr(0, slash));
        const state::target_description* target =
            pool == nullptr ? nullptr : pool->find_target(key.substr(slash + 1));
        const bool is_served = target != nullptr && is_home(*view, key);
        each->set_quota(is_served ? get_share(*target) : 0);
        const int allowed = each->get_state().allowed;
        const std::scoped_lock lock(mutex_);
        if (target == nullptr) {
            entries_.erase(key);
        } else if (const auto it = entries_.find(key); it != entries_.end()) {
            it->second.allowed = allowed;
        }
    }
}

}  // namespace hornbeamhook::proxy
