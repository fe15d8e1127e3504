#include "proxy/target_pool.h"

#include <atomic>
#include <condition_variable>
#include <list>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "protocol/target_calls.h"

namespace hornbeamhook::proxy {

namespace leaf = boost::leaf;

namespace {

using coordination::connection_id;
using coordination::waiter_id;
using std::chrono::steady_clock;
using transport::target_connection;
using transport::target_error;
using transport::transaction_state;

namespace pool_event = coordination::pool_event;
namespace pool_action = coordination::pool_action;

using connection_pointer = std::unique_ptr<target_connection>;

/** Whether one exchange succeeds before `deadline`. */
bool succeeds(target_connection& connection, const transport::target_statement& statement,
              state::time_point deadline) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(connection.run({statement}, deadline));
            return true;
        },
        [] { return false; });
}

}  // namespace

struct target_pool::implementation {
    /** What the decisions gave to one waiting thread. */
    struct grant {
        enum class kind { refused, lent, may_open };

        kind what = kind::refused;
        connection_id id = 0;
        connection_pointer connection;
        bool was_idle_long = false;
    };

    struct tester {
        std::thread thread;
        std::atomic<bool> is_finished = false;
    };

    explicit implementation(target_pool_options value)
        : options(std::move(value)), pool(coordination::make_connection_pool(options.limits)) {}

    /** Feeds an event to the decisions and carries out what they say. */
    void handle(const coordination::connection_pool_event& event);
    void handle_locked(const coordination::connection_pool_event& event,
                       std::vector<connection_pointer>& closing);
    void give_back(connection_id id, connection_pointer connection, release_kind kind);
    std::optional<grant> wait_for_grant(waiter_id waiter, bool is_returning,
                                        state::time_point deadline);
    /** A new connection, or null and the reason in `failure`. */
    connection_pointer open(connection_id id, state::time_point deadline, target_error& failure);
    void start_test(connection_id id);
    void run_test(connection_id id, connection_pointer connection);
    void stop();

    const target_pool_options options;
    mutable std::mutex mutex;
    std::condition_variable is_changed;
    coordination::connection_pool pool;
    std::map<connection_id, connection_pointer> idle;
    std::map<waiter_id, grant> grants;
    waiter_id next_waiter = 1;
    std::list<tester> testers;
};

void target_pool::implementation::handle(const coordination::connection_pool_event& event) {
    // Connections are closed after the lock is released, because closing may block on the socket.
    std::vector<connection_pointer> closing;
    const std::scoped_lock lock(mutex);
    handle_locked(event, closing);
}

void target_pool::implementation::handle_locked(const coordination::connection_pool_event& event,
                                                std::vector<connection_pointer>& closing) {
    coordination::connection_pool_step step =
        coordination::step_connection_pool(std::move(pool), event, steady_clock::now());
    pool = std::move(step.next);
    const auto take_idle = [this](connection_id id) {
        const auto it = idle.find(id);
        if (it == idle.end()) {
            return connection_pointer();
        }
        connection_pointer connection = std::move(it->second);
        idle.erase(it);
        return connection;
    };
    for (const coordination::connection_pool_action& action : step.actions) {
        if (const auto* lend = std::get_if<pool_action::lend>(&action)) {
            grants[lend->waiter] = {grant::kind::lent, lend->connection,
                                    take_idle(lend->connection), lend->was_idle_long};
        } else if (const auto* open = std::get_if<pool_action::open>(&action)) {
            grants[open->waiter] = {grant::kind::may_open, open->connection, nullptr, false};
        } else if (const auto* refuse = std::get_if<pool_action::refuse>(&action)) {
            grants[refuse->waiter] = {};
        } else if (const auto* close = std::get_if<pool_action::close>(&action)) {
            closing.push_back(take_idle(close->connection));
        } else if (const auto* test = std::get_if<pool_action::test>(&action)) {
            start_test(test->connection);
        }
    }
    is_changed.notify_all();
}

void target_pool::implementation::start_test(connection_id id) {
    testers.remove_if([](tester& value) {
        if (value.is_finished) {
            value.thread.join();
            return true;
        }
        return false;
    });
    // Silence of one connection is rare, and all others have to be tested at the same time.
    tester& value = testers.emplace_back();
    connection_pointer connection = std::move(idle.at(id));
    idle.erase(id);
    value.thread = std::thread([this, id, &value, taken = std::move(connection)]() mutable {
        run_test(id, std::move(taken));
        value.is_finished = true;
    });
}

void target_pool::implementation::run_test(connection_id id, connection_pointer connection) {
    const bool is_good = succeeds(*connection, protocol::make_status_statement(),
                                  steady_clock::now() + options.probe_timeout);
    std::vector<connection_pointer> closing;
    const std::scoped_lock lock(mutex);
    if (is_good) {
        idle.emplace(id, std::move(connection));
    } else {
        closing.push_back(std::move(connection));
    }
    handle_locked(pool_event::tested{id, is_good}, closing);
}

void target_pool::implementation::give_back(connection_id id, connection_pointer connection,
                                            release_kind kind) {
    bool is_reusable = kind != release_kind::broken && !connection->is_broken() &&
                       connection->get_transaction_state() == transaction_state::idle;
    bool is_suspect = kind == release_kind::broken && connection->is_broken();
    if (is_reusable && kind == release_kind::after_transaction) {
        is_reusable =
            succeeds(*connection, {"DISCARD ALL", {}}, steady_clock::now() + options.probe_timeout);
        is_suspect = connection->is_broken();
    }
    std::vector<connection_pointer> closing;
    const std::scoped_lock lock(mutex);
    if (is_reusable) {
        idle.emplace(id, std::move(connection));
    } else {
        closing.push_back(std::move(connection));
    }
    handle_locked(pool_event::released{id, is_reusable, is_suspect}, closing);
}

std::optional<target_pool::implementation::grant> target_pool::implementation::wait_for_grant(
    waiter_id waiter, bool is_returning, state::time_point deadline) {
    std::vector<connection_pointer> closing;
    std::unique_lock lock(mutex);
    handle_locked(pool_event::waiter_arrived{waiter, is_returning}, closing);
    for (;;) {
        closing.clear();
        if (const auto it = grants.find(waiter); it != grants.end()) {
            grant value = std::move(it->second);
            grants.erase(it);
            return value;
        }
        const state::time_point now = steady_clock::now();
        if (now >= deadline) {
            handle_locked(pool_event::waiter_left{waiter}, closing);
            return std::nullopt;
        }
        // The pause after a refusal ends, and the quota rises, without any other event.
        state::time_point until = deadline;
        for (const state::time_point due : {pool.open_not_before, pool.raise_at}) {
            until = due > now ? std::min(until, due) : until;
        }
        if (is_changed.wait_until(lock, until) == std::cv_status::timeout) {
            handle_locked(pool_event::time_passed{}, closing);
        }
    }
}

connection_pointer target_pool::implementation::open(connection_id id, state::time_point deadline,
                                                     target_error& failure) {
    const state::time_point open_deadline =
        std::min(deadline, steady_clock::now() + options.open_timeout);
    connection_pointer connection = leaf::try_handle_all(
        [&] { return target_connection::open(options.address, open_deadline); },
        [&](const target_error& error) {
            failure = error;
            return connection_pointer();
        },
        [] { return connection_pointer(); });
    if (connection) {
        handle(pool_event::opened{id});
    } else {
        handle(pool_event::open_failed{
            id, failure.kind == transport::target_failure_kind::connection_limit});
    }
    return connection;
}

void target_pool::implementation::stop() {
    handle(pool_event::quota_set{0});
    std::list<tester> ending;
    {
        const std::scoped_lock lock(mutex);
        ending.swap(testers);
    }
    for (tester& value : ending) {
        value.thread.join();
    }
}

target_pool::lease::lease(std::shared_ptr<implementation> pool, connection_id id,
                          connection_pointer connection, bool was_idle_long)
    : pool_(std::move(pool)),
      id_(id),
      connection_(std::move(connection)),
      was_idle_long_(was_idle_long) {}

target_pool::lease::lease(lease&& other) noexcept = default;

target_pool::lease& target_pool::lease::operator=(lease&& other) noexcept {
    if (this != &other) {
        release(release_kind::broken);
        pool_ = std::move(other.pool_);
        id_ = other.id_;
        connection_ = std::move(other.connection_);
        was_idle_long_ = other.was_idle_long_;
    }
    return *this;
}

target_pool::lease::~lease() {
    release(release_kind::broken);
}

void target_pool::lease::release(release_kind kind) {
    if (connection_) {
        pool_->give_back(id_, std::move(connection_), kind);
    }
}

target_pool::target_pool(target_pool_options options)
    : implementation_(std::make_shared<implementation>(std::move(options))) {}

target_pool::~target_pool() {
    implementation_->stop();
}

leaf::result<target_pool::lease> target_pool::acquire(state::time_point deadline, bool is_write) {
    implementation& self = *implementation_;
    const waiter_id waiter = [&] {
        const std::scoped_lock lock(self.mutex);
        return self.next_waiter++;
    }();
    for (bool is_returning = false;; is_returning = true) {
        std::optional<implementation::grant> grant =
            self.wait_for_grant(waiter, is_returning, deadline);
        if (!grant) {
            return leaf::new_error(pool_error{.failure = pool_failure::deadline});
        }
        if (grant->what == implementation::grant::kind::refused) {
            return leaf::new_error(pool_error{.failure = pool_failure::not_home});
        }
        if (grant->what == implementation::grant::kind::lent) {
            lease value(implementation_, grant->id, std::move(grant->connection),
                        grant->was_idle_long);
            const state::time_point probe_deadline =
                std::min(deadline, steady_clock::now() + self.options.probe_timeout);
            if (!is_write || !grant->was_idle_long ||
                succeeds(value.get(), protocol::make_status_statement(), probe_deadline)) {
                return value;
            }
            continue;
        }
        target_error failure;
        connection_pointer opened = self.open(grant->id, deadline, failure);
        if (opened) {
            return lease(implementation_, grant->id, std::move(opened), false);
        }
        // Over the target's limit, another connection of this pool may become free in time.
        if (failure.kind != transport::target_failure_kind::connection_limit) {
            return leaf::new_error(
                pool_error{.failure = pool_failure::unreachable, .cause = std::move(failure)});
        }
    }
}

void target_pool::set_quota(int quota) {
    implementation_->handle(pool_event::quota_set{quota});
}

coordination::connection_pool target_pool::get_state() const {
    const std::scoped_lock lock(implementation_->mutex);
    return implementation_->pool;
}

}  // namespace hornbeamhook::proxy
