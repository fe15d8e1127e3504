#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "coordination/configuration_confirmation.h"
#include "coordination/configuration_log.h"
#include "coordination/home_assignment.h"
#include "coordination/membership.h"
#include "support/seed.h"

namespace hornbeamhook::coordination {
namespace {

using state::member;
using state::time_point;
using std::chrono::milliseconds;

constexpr std::size_t node_count = 8;
constexpr milliseconds fault_time{15'000};
/// Bound of docs/design.md section 1 for an accepted change to be in force everywhere.
constexpr milliseconds in_force_bound{3000};

/** How a node adopts changes; a wrong one shows that the checks detect it. */
using adopt_function = state::configuration (*)(
    const state::configuration& base, const std::vector<state::configuration_change>& changes);

state::configuration adopt_in_order(const state::configuration& base,
                                    const std::vector<state::configuration_change>& changes) {
    return adopt_changes(base, changes).config;
}

/** Deliberately wrong: adopts any version, also an older one. */
state::configuration adopt_last(const state::configuration& base,
                                const std::vector<state::configuration_change>& changes) {
    state::configuration result = base;
    if (!changes.empty()) {
        result.version = changes.back().version;
    }
    return result;
}

/**
 * Proxies that exchange digests and configuration changes in virtual time, with loss, delay,
 * partitions, crashes, pauses, and a store that only some can reach.
 */
class fleet_simulation {
public:
    fleet_simulation(std::uint64_t seed, adopt_function rule, milliseconds contact_timeout)
        : random_(seed), adopt_(rule), contact_timeout_(contact_timeout) {
        for (std::size_t i = 0; i < node_count; ++i) {
            restart(i);
        }
        at(milliseconds(500), [this] { commit(); });
    }

    void run_until(milliseconds end) {
        while (!events_.empty() && events_.top().time <= origin_ + end) {
            const scheduled next = events_.top();
            events_.pop();
            now_ = next.time;
            next.run();
        }
        now_ = origin_ + end;
    }

    void at(milliseconds delay, std::function<void()> run) {
        events_.push({now_ + delay, ++sequence_, std::move(run)});
    }

    int pick(int limit) { return static_cast<int>(random_() % static_cast<unsigned>(limit)); }
    bool chance(double share) { return static_cast<double>(random_() % 1'000'000) < share * 1e6; }

    void add_faults() {
        for (int i = 0; i < 25; ++i) {
            at(milliseconds(pick(static_cast<int>(fault_time.count()))), [this] {
                const auto p = static_cast<std::size_t>(pick(node_count));
                const auto q = static_cast<std::size_t>(pick(node_count));
                switch (pick(8)) {
                    case 0:
                        cut_store_[p] = true;
                        break;
                    case 1:
                        is_store_down_ = !is_store_down_;
                        break;
                    case 2:
                        // Two partitions that cannot reach each other.
                        for (std::size_t a = 0; a < node_count; ++a) {
                            for (std::size_t b = 0; b < node_count; ++b) {
                                cut_[a][b] = (a < p) != (b < p);
                            }
                        }
                        break;
                    case 3:
                        cut_[p][q] = cut_[q][p] = p != q;
                        break;
                    case 4:
                        restart(p);
                        break;
                    case 6:
                        cut_store_[p] = true;
                        for (std::size_t other = 0; other < node_count; ++other) {
                            cut_[p][other] = cut_[other][p] = other != p;
                        }
                        break;
                    case 5:
                        nodes_[p]->paused_until = now_ + milliseconds(pick(4000));
                        break;
                    default:
                        loss_ = 0.1 * pick(5);
                }
                update_isolation();
            });
        }
    }

    void heal() {
        cut_ = {};
        cut_store_ = {};
        is_store_down_ = false;
        loss_ = 0;
        is_committing_ = false;
        update_isolation();
        for (const auto& node : nodes_) {
            node->paused_until = time_point{};
        }
    }

    bool is_converged() const {
        return std::ranges::all_of(nodes_, [&](const auto& node) {
            return node->config.version == log_.size() && node->members.live.size() == node_count &&
                   node->confirmation.is_confirmed;
        });
    }

    std::uint64_t get_head() const { return log_.size(); }

    /** The longest time from the commit of a change until every node had adopted it. */
    milliseconds get_slowest_adoption() const { return slowest_adoption_; }

    /** Only the first `count` nodes read the store. */
    void limit_store_readers(std::size_t count) {
        for (std::size_t p = count; p < node_count; ++p) {
            cut_store_[p] = true;
        }
        update_isolation();
    }
    int count_violations() const { return violations_; }

    /** Checks in which a confirmed node missed a change older than the bound. */
    int count_stale() const { return stale_; }

private:
    struct scheduled {
        time_point time;
        std::uint64_t sequence;
        std::function<void()> run;
        bool operator<(const scheduled& other) const {
            return std::pair(time, sequence) > std::pair(other.time, other.sequence);
        }
    };

    struct node_model {
        membership_state members;
        configuration_confirmation_state confirmation;
        state::configuration config;
        time_point paused_until{};
    };
    using node_pointer = std::shared_ptr<node_model>;

    void restart(std::size_t p) {
        if (nodes_.size() <= p) {
            nodes_.resize(p + 1);
        }
        auto value = std::make_shared<node_model>();
        value->members.self.vm = "vm" + std::to_string(p);
        value->members.self.address = value->members.self.vm;
        value->members.self.place = p % 2 == 0 ? "cairo" : "aswan";
        value->members.self.incarnation = ++sequence_;
        value->members.random = random_();
        value->confirmation.last_contact = now_;
        value->confirmation.contact_timeout = contact_timeout_;
        nodes_[p] = value;
        exchange(p, value);
        read_store(p, value);
    }

    void on_node(std::size_t p, const node_pointer& instance, std::function<void()> run) {
        if (nodes_[p] != instance) {
            return;
        }
        if (instance->paused_until > now_) {
            at(std::chrono::duration_cast<milliseconds>(instance->paused_until - now_) +
                   milliseconds(1),
               [this, p, instance, run = std::move(run)] { on_node(p, instance, run); });
            return;
        }
        run();
    }

    void exchange(std::size_t p, const node_pointer& instance) {
        on_node(p, instance, [this, p, instance] {
            at(milliseconds(1000), [this, p, instance] { exchange(p, instance); });
            step_members(p, exchange_due{});
            step_confirmation(p, confirmation_check_due{});
            check(p);
        });
    }

    void read_store(std::size_t p, const node_pointer& instance) {
        on_node(p, instance, [this, p, instance] {
            at(milliseconds(1000), [this, p, instance] { read_store(p, instance); });
            if (is_store_down_ || cut_store_[p]) {
                return;
            }
            std::vector<member> vms;
            for (const auto& other : nodes_) {
                vms.push_back(other->members.self);
            }
            step_members(p, vm_list_received{vms});
            step_confirmation(p, other_vms_listed{count_listed_others(instance->members)});
            step_confirmation(p, version_reported{now_, log_.size()});
            adopt(p, log_);
        });
    }

    void adopt(std::size_t p, const std::vector<state::configuration_change>& changes) {
        node_model& value = *nodes_[p];
        const std::uint64_t before = value.config.version;
        value.config = adopt_(value.config, changes);
        violations_ += value.config.version < before ? 1 : 0;
        // The content must match the log up to the version, whichever way it arrived.
        violations_ += value.config.pools.size() != value.config.version ? 1 : 0;
        for (std::uint64_t version = before + 1; version <= value.config.version; ++version) {
            if (++adoptions_[version] == node_count) {
                slowest_adoption_ = std::max(
                    slowest_adoption_,
                    std::chrono::duration_cast<milliseconds>(now_ - committed_at_[version - 1]));
            }
        }
        step_members(p, version_adopted{value.config.version});
        step_confirmation(p, configuration_adopted{value.config.version});
    }

    bool is_lost(std::size_t p, std::size_t q) { return cut_[p][q] || chance(loss_); }

    static std::size_t get_index(const member& value) {
        return static_cast<std::size_t>(std::stoi(value.vm.substr(2)));
    }

    void step_members(std::size_t p, const membership_event& event) {
        const node_pointer instance = nodes_[p];
        membership_step step = step_membership(std::move(instance->members), event, now_);
        instance->members = std::move(step.state);
        for (const membership_action& action : step.actions) {
            if (const auto* send = std::get_if<send_probe>(&action)) {
                send_to(p, instance, *send);
            } else if (const auto* answer = std::get_if<send_answer>(&action)) {
                answer_ = answer->message;
            } else if (const auto* ask = std::get_if<ask_probe>(&action)) {
                ask_helper(p, instance, *ask);
            } else if (const auto* list = std::get_if<fetch_members>(&action)) {
                fetch_list(p, instance, get_index(list->peer));
            } else if (const auto* newer = std::get_if<newer_version_seen>(&action)) {
                fetch(p, instance, get_index(newer->peer));
            }
        }
    }

    void step_confirmation(std::size_t p, const confirmation_event& event) {
        nodes_[p]->confirmation =
            step_configuration_confirmation(nodes_[p]->confirmation, event, now_).state;
    }

    void ask_helper(std::size_t p, const node_pointer& instance, const ask_probe& ask) {
        const std::size_t helper = get_index(ask.helper);
        const std::size_t q = get_index(ask.member);
        const bool is_reached =
            !is_lost(p, helper) && !is_lost(helper, q) && nodes_[q]->paused_until <= now_;
        at(milliseconds(300), [this, p, instance, peer = ask.member, is_reached] {
            on_node(p, instance, [this, p, peer, is_reached] {
                step_members(p, indirect_probe_ended{peer.vm, peer.incarnation, is_reached});
            });
        });
    }

    void fetch_list(std::size_t p, const node_pointer& instance, std::size_t q) {
        member_list_received event;
        if (!is_lost(p, q)) {
            event.members = list_members(nodes_[q]->members);
        }
        at(milliseconds(30), [this, p, instance, event] {
            on_node(p, instance, [this, p, event] { step_members(p, event); });
        });
    }

    void send_to(std::size_t p, const node_pointer& instance, const send_probe& send) {
        const std::size_t q = get_index(send.peer);
        const time_point requested_at = now_;
        const auto fail = [this, p, instance, send] {
            at(milliseconds(500), [this, p, instance, send] {
                on_node(p, instance, [this, p, send] {
                    step_members(
                        p, probe_failed{send.peer.vm, send.peer.incarnation, false, send.attempt});
                });
            });
        };
        if (is_lost(p, q)) {
            fail();
            return;
        }
        const node_pointer peer = nodes_[q];
        at(milliseconds(pick(30)), [this, p, instance, q, peer, message = send.message,
                                    requested_at, fail] {
            on_node(q, peer, [this, p, instance, q, message, requested_at, fail] {
                step_members(q, message_received{message});
                if (is_lost(q, p)) {
                    fail();
                    return;
                }
                at(milliseconds(pick(30)), [this, p, instance, answer = answer_, requested_at] {
                    on_node(p, instance, [this, p, answer, requested_at] {
                        step_members(p, message_received{answer, true});
                        step_confirmation(
                            p, version_reported{requested_at, answer.sender.configuration_version});
                    });
                });
            });
        });
    }

    void fetch(std::size_t p, const node_pointer& instance, std::size_t q) {
        if (is_lost(p, q)) {
            return;
        }
        const std::uint64_t after = instance->config.version;
        at(milliseconds(pick(30)), [this, p, instance, q, after] {
            std::vector<state::configuration_change> changes;
            for (std::uint64_t version = after + 1; version <= nodes_[q]->config.version;
                 ++version) {
                changes.push_back(log_[version - 1]);
            }
            // Answers may arrive out of order.
            at(milliseconds(pick(400)), [this, p, instance, changes] {
                on_node(p, instance, [this, p, changes] { adopt(p, changes); });
            });
        });
    }

    void commit() {
        at(milliseconds(100 + pick(1500)), [this] { commit(); });
        if (!is_committing_ || is_store_down_) {
            return;
        }
        const std::uint64_t version = log_.size() + 1;
        log_.push_back({version,
                        "id" + std::to_string(version),
                        "test",
                        1,
                        {{"pool", "pool" + std::to_string(version), nlohmann::json::object()}},
                        {}});
        committed_at_.push_back(now_);
    }

    /**
     * Records since when each node reaches neither the store nor a peer. Called at every change of
     * the links, because a contact between two checks of a node confirms its configuration.
     */
    void update_isolation() {
        for (std::size_t p = 0; p < node_count; ++p) {
            // Whether peers can relay the store depends on its side of a partition; only a node
            // that reaches no other is required to refuse.
            bool is_isolated = cut_store_[p] || is_store_down_;
            for (std::size_t q = 0; q < node_count; ++q) {
                is_isolated = is_isolated && (q == p || cut_[p][q]);
            }
            isolated_since_[p] =
                is_isolated ? std::min(isolated_since_[p], now_) : time_point::max();
        }
    }

    /** A node that may serve must not miss a change that is older than the bound. */
    void check(std::size_t p) {
        const node_model& value = *nodes_[p];
        const std::uint64_t next = value.config.version;
        const bool misses = next < committed_at_.size() &&
                            now_ - committed_at_[next] > in_force_bound + milliseconds(500);
        const bool was_long_isolated =
            isolated_since_[p] <= now_ - in_force_bound - milliseconds(500);
        stale_ += misses && was_long_isolated && value.config.version > 0 &&
                          value.confirmation.is_confirmed && value.confirmation.other_vms > 0
                      ? 1
                      : 0;
    }

    std::mt19937_64 random_;
    adopt_function adopt_;
    const milliseconds contact_timeout_;
    const time_point origin_{std::chrono::hours(1)};
    time_point now_{std::chrono::hours(1)};
    std::uint64_t sequence_ = 0;
    std::priority_queue<scheduled> events_;
    std::vector<node_pointer> nodes_;
    std::vector<state::configuration_change> log_;
    std::vector<time_point> committed_at_;
    std::array<std::array<bool, node_count>, node_count> cut_{};
    std::array<bool, node_count> cut_store_{};
    std::array<time_point, node_count> isolated_since_ = [] {
        std::array<time_point, node_count> never{};
        never.fill(time_point::max());
        return never;
    }();
    membership_message answer_;  ///< Answer to the probe of the last step.
    bool is_store_down_ = false;
    bool is_committing_ = true;
    double loss_ = 0;
    int violations_ = 0;
    int stale_ = 0;
    std::map<std::uint64_t, std::size_t> adoptions_;
    milliseconds slowest_adoption_{0};
};

struct exploration_result {
    int violations = 0;
    int stale = 0;
    int not_converged = 0;
    std::uint64_t versions = 0;
    milliseconds slowest{0};
    std::string first;
};

exploration_result explore(std::uint64_t seed, int runs, adopt_function adopt,
                           milliseconds contact_timeout = in_force_bound) {
    exploration_result result;
    for (int i = 0; i < runs; ++i) {
        fleet_simulation run(seed + static_cast<std::uint64_t>(i), adopt, contact_timeout);
        run.add_faults();
        run.run_until(fault_time);
        run.heal();
        milliseconds end = fault_time;
        // Suspicions and the timeout of members believed dead add to the bound of a change.
        while (!run.is_converged() && end < fault_time + milliseconds(20'000)) {
            end += milliseconds(100);
            run.run_until(end);
        }
        result.slowest = std::max(result.slowest, end - fault_time);
        result.violations += run.count_violations();
        result.stale += run.count_stale();
        result.not_converged += run.is_converged() ? 0 : 1;
        result.versions += run.get_head();
        if (result.first.empty() &&
            (!run.is_converged() || run.count_violations() > 0 || run.count_stale() > 0)) {
            result.first = "; first failed run: seed " + std::to_string(seed + i);
        }
    }
    std::cout << runs << " runs, " << result.versions << " changes, " << result.violations
              << " violations, " << result.stale << " stale, " << result.not_converged
              << " not converged, slowest convergence " << result.slowest.count() << " ms"
              << result.first << '\n';
    return result;
}

// Guards against versions that revert or are skipped, changes that never arrive, and an isolated
// proxy that keeps serving. With seed 436327939 a peer's message that had waited in a socket during
// a pause counted as recent; since then only answers to own calls confirm the configuration.
TEST(configuration_exploration, versions_only_rise_and_converge) {
    const exploration_result result = explore(tests::get_seed(), 300, adopt_in_order);
    EXPECT_EQ(result.violations, 0);
    EXPECT_EQ(result.stale, 0);
    EXPECT_EQ(result.not_converged, 0);
    EXPECT_GT(result.versions, 300U);
}

// Guards against a check that considers a node isolated although a peer was reachable for 230 ms
// between two of its checks.
TEST(configuration_exploration, a_short_contact_confirms_the_configuration) {
    EXPECT_EQ(explore(643667791, 1, adopt_in_order).stale, 0);
}

// Guards against a check that misses versions that revert.
TEST(configuration_exploration, detects_an_adoption_of_older_versions) {
    EXPECT_GT(explore(tests::get_seed(), 20, adopt_last).violations, 0);
}

// Guards against a change that takes longer than 3 s to be in force, with two readers of the store.
TEST(configuration_exploration, a_change_is_in_force_within_the_bound) {
    const std::uint64_t seed = tests::get_seed();
    milliseconds slowest(0);
    for (int i = 0; i < 50; ++i) {
        fleet_simulation run(seed + static_cast<std::uint64_t>(i), adopt_in_order, in_force_bound);
        run.run_until(milliseconds(2000));
        run.limit_store_readers(2);
        run.run_until(milliseconds(30'000));
        ASSERT_GT(run.get_head(), 10U);
        slowest = std::max(slowest, run.get_slowest_adoption());
    }
    std::cout << "slowest adoption by all: " << slowest.count() << " ms in virtual time\n";
    EXPECT_LE(slowest, in_force_bound);
}

// Guards against a check that misses an isolated proxy that does not stop in time.
TEST(configuration_exploration, detects_an_isolated_proxy_that_keeps_serving) {
    EXPECT_GT(explore(tests::get_seed(), 100, adopt_in_order, milliseconds(20'000)).stale, 0);
}

}  // namespace
}  // namespace hornbeamhook::coordination
