#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "coordination/membership.h"
#include "protocol/peer_messages.h"
#include "support/seed.h"

namespace hornbeamhook::coordination {
namespace {

using state::member;
using state::member_state;
using state::time_point;
using std::chrono::milliseconds;

/// Test bounds in virtual time.
constexpr milliseconds converge_bound{40'000};
/// All members drop a killed proxy within 3 s in 99 of 100 cases.
constexpr milliseconds p99_killed_bound{3000};
/// The longest round of 2 probes per second to 7 members, 1 s of suspicion and one lost message.
constexpr milliseconds killed_bound{5500};
constexpr std::size_t message_bytes_bound = 1600;

/** Defects to inject, to show that each check detects its failure. */
enum class defect { none, no_dead_probes, single_observer, no_incarnations, whole_lists };

/** Simulates proxies in virtual time, with message loss, cut links, kills and restarts. */
class fleet_model {
public:
    fleet_model(std::uint64_t seed, std::size_t count, defect injected)
        : random_(seed), defect_(injected), nodes_(count), cut_(count, std::vector<bool>(count)) {
        std::vector<member> list;
        for (std::size_t p = 0; p < count; ++p) {
            start(p);
            list.push_back(nodes_[p]->members.self);
        }
        for (std::size_t p = 0; p < count; ++p) {
            on_node(p, nodes_[p], 10, [this, p, list] { step(p, vm_list_received{list}); });
        }
    }

    void run(milliseconds span) {
        const time_point end = now_ + span;
        while (!events_.empty() && events_.top().time <= end) {
            const scheduled next = events_.top();
            events_.pop();
            now_ = next.time;
            next.run();
        }
        now_ = end;
    }

    /** Starts a new instance of the VM's proxy. */
    void start(std::size_t p) {
        auto value = std::make_shared<node>();
        value->members.self = {
            "vm" + std::to_string(p), "127.0.100.200:" + std::to_string(20'000 + p), "alexandria",
            "alexandria-1",           1'796'000'000'000 + ++incarnation_count_,      0};
        value->members.random = random_();
        nodes_[p] = value;
        vm_list_.resize(nodes_.size());
        vm_list_[p] = value->members.self;
        const int phase = pick(1000);
        on_node(p, value, phase, [this, p, value] { exchange(p, value); });
        on_node(p, value, phase % 100, [this, p, value] { check_expiry(p, value); });
        // A restarted proxy reads the VM list once.
        std::vector<member> list(vm_list_.begin(), vm_list_.end());
        std::erase_if(list, [](const member& other) { return other.vm.empty(); });
        on_node(p, value, 20, [this, p, list] { step(p, vm_list_received{list}); });
    }

    void kill(std::size_t p) { nodes_[p] = nullptr; }

    void set_cut(std::size_t p, std::size_t q, bool is_cut) { cut_[p][q] = cut_[q][p] = is_cut; }

    void set_loss(double share) { loss_ = share; }
    void set_refusing(bool is_refusing) { is_refusing_ = is_refusing; }

    /** Whether all running nodes see exactly the running nodes with their current incarnations. */
    bool is_converged() const {
        return std::ranges::all_of(nodes_, [this](const auto& viewer) {
            if (viewer == nullptr) {
                return true;
            }
            std::size_t position = 0;
            std::vector<member> expected;
            for (const auto& other : nodes_) {
                if (other != nullptr) {
                    expected.push_back(other->members.self);
                }
            }
            std::ranges::sort(expected, {}, &member::vm);
            return viewer->members.live.size() == expected.size() &&
                   std::ranges::all_of(viewer->members.live, [&](const member& seen) {
                       const member& wanted = expected[position++];
                       return seen.vm == wanted.vm && seen.incarnation == wanted.incarnation;
                   });
        });
    }

    /** Time until converged, at most `limit`. */
    milliseconds converge(milliseconds limit) {
        const time_point began = now_;
        while (!is_converged() && now_ - began < limit) {
            run(milliseconds(20));
        }
        return std::chrono::duration_cast<milliseconds>(now_ - began);
    }

    /** Running nodes other than `p` that do not consider it live. */
    std::size_t count_viewers_without(std::size_t p) const {
        const std::string vm = "vm" + std::to_string(p);
        return std::ranges::count_if(nodes_, [&](const auto& viewer) {
            return viewer != nullptr && viewer != nodes_[p] &&
                   std::ranges::none_of(viewer->members.live,
                                        [&](const member& seen) { return seen.vm == vm; });
        });
    }

    std::size_t size() const { return nodes_.size(); }
    int pick(std::size_t limit) { return static_cast<int>(random_() % limit); }
    int count_stale_incarnations() const { return stale_incarnations_; }
    std::size_t get_largest_message() const { return largest_message_; }

private:
    struct scheduled {
        time_point time;
        std::uint64_t sequence;
        std::function<void()> run;
        bool operator<(const scheduled& other) const {
            return std::pair(time, sequence) > std::pair(other.time, other.sequence);
        }
    };
    struct node {
        membership_state members;
        std::map<std::string, std::uint64_t> incarnations;
        membership_message answer;
    };
    using node_pointer = std::shared_ptr<node>;

    void on_node(std::size_t p, const node_pointer& instance, int ms, std::function<void()> run) {
        events_.push(
            {now_ + milliseconds(ms), ++sequence_, [this, p, instance, run = std::move(run)] {
                 if (nodes_[p] == instance) {
                     run();
                 }
             }});
    }

    void exchange(std::size_t p, const node_pointer& instance) {
        on_node(p, instance, 1000, [this, p, instance] { exchange(p, instance); });
        step(p, exchange_due{});
    }

    void check_expiry(std::size_t p, const node_pointer& instance) {
        on_node(p, instance, 50, [this, p, instance] { check_expiry(p, instance); });
        if (instance->members.next_expiry && *instance->members.next_expiry <= now_) {
            step(p, expiry_due{});
        }
    }

    bool is_dropped(std::size_t p, std::size_t q) {
        return cut_[p][q] || static_cast<double>(random_() % 1'000'000) < loss_ * 1e6;
    }

    std::size_t get_index(const member& value) const { return std::stoul(value.vm.substr(2)); }

    membership_event inject(const membership_event& event, membership_state& members) const {
        const auto* received = std::get_if<message_received>(&event);
        if (defect_ == defect::no_incarnations && received != nullptr) {
            for (const member& update : received->message.updates) {
                if (members.others.contains(update.vm)) {
                    members.others[update.vm].value.incarnation = 0;
                }
            }
        }
        if (defect_ == defect::single_observer && received != nullptr) {
            message_received changed = *received;
            std::erase_if(changed.message.updates,
                          [&](const member& update) { return update.vm == members.self.vm; });
            return changed;
        }
        return event;
    }

    void step(std::size_t p, const membership_event& event) {
        const node_pointer instance = nodes_[p];
        const membership_event given = inject(event, instance->members);
        membership_step result = step_membership(std::move(instance->members), given, now_);
        instance->members = std::move(result.state);
        for (const auto& [vm, entry] : instance->members.others) {
            std::uint64_t& highest = instance->incarnations[vm];
            stale_incarnations_ += entry.is_seen && entry.value.incarnation < highest ? 1 : 0;
            highest = std::max(highest, entry.value.incarnation);
        }
        for (const membership_action& action : result.actions) {
            run_action(p, instance, action);
        }
    }

    void run_action(std::size_t p, const node_pointer& instance, const membership_action& action) {
        if (const auto* send = std::get_if<send_probe>(&action)) {
            const auto known = instance->members.others.find(send->peer.vm);
            const bool is_dead = known != instance->members.others.end() &&
                                 known->second.value.state == member_state::dead;
            if (defect_ != defect::no_dead_probes || !is_dead) {
                probe(p, instance, *send);
            }
        } else if (const auto* answer = std::get_if<send_answer>(&action)) {
            instance->answer = answer->message;
        } else if (const auto* ask = std::get_if<ask_probe>(&action)) {
            run_indirect_probe(p, instance, *ask);
        } else if (const auto* fetch = std::get_if<fetch_members>(&action)) {
            const std::size_t q = get_index(fetch->peer);
            member_list_received event;
            if (nodes_[q] != nullptr && !is_dropped(p, q)) {
                event.members = list_members(nodes_[q]->members);
            }
            on_node(p, instance, 50, [this, p, event] { step(p, event); });
        }
    }

    membership_message record_size(const node_pointer& instance, membership_message message) {
        if (defect_ == defect::whole_lists) {
            message.updates = list_members(instance->members);
        }
        largest_message_ = std::max(largest_message_, protocol::to_json(message).dump().size());
        return message;
    }

    void probe(std::size_t p, const node_pointer& instance, const send_probe& send) {
        const std::size_t q = get_index(send.peer);
        const auto fail = [this, p, instance, send](bool is_refused) {
            on_node(p, instance, is_refused ? 1 : 500, [this, p, send, is_refused] {
                step(p,
                     probe_failed{send.peer.vm, send.peer.incarnation, is_refused, send.attempt});
            });
        };
        const membership_message message = record_size(instance, send.message);
        const node_pointer peer = nodes_[q];
        if (peer == nullptr || is_dropped(p, q)) {
            fail(peer == nullptr || (cut_[p][q] && is_refusing_));
            return;
        }
        on_node(q, peer, 1 + pick(20), [this, p, instance, q, peer, message, fail] {
            step(q, message_received{message});
            const membership_message answer = record_size(peer, peer->answer);
            if (is_dropped(q, p)) {
                fail(false);
                return;
            }
            on_node(p, instance, 1 + pick(20), [this, p, answer] {
                step(p, message_received{answer, true});
            });
        });
    }

    void run_indirect_probe(std::size_t p, const node_pointer& instance, const ask_probe& ask) {
        const std::size_t helper = get_index(ask.helper);
        const std::size_t q = get_index(ask.member);
        const bool is_reached = defect_ != defect::single_observer && nodes_[helper] != nullptr &&
                                nodes_[q] != nullptr && !is_dropped(p, helper) &&
                                !is_dropped(helper, q);
        on_node(p, instance, is_reached ? 50 : 300, [this, p, ask, is_reached] {
            step(p, indirect_probe_ended{ask.member.vm, ask.member.incarnation, is_reached});
        });
    }

    std::mt19937_64 random_;
    const defect defect_;
    time_point now_{std::chrono::hours(1)};
    std::uint64_t sequence_ = 0;
    std::uint64_t incarnation_count_ = 0;
    std::priority_queue<scheduled> events_;
    std::vector<node_pointer> nodes_;
    std::vector<member> vm_list_;  ///< Indexed by VM number.
    std::vector<std::vector<bool>> cut_;
    double loss_ = 0;
    bool is_refusing_ = false;
    int stale_incarnations_ = 0;
    std::size_t largest_message_ = 0;
};

struct exploration_result {
    int not_converged = 0;
    int majority_deaths = 0;
    int stale_incarnations = 0;
    std::size_t largest_message = 0;
    milliseconds slowest{0};
};

/** Advances the fleet and counts members other than `isolated` that half of the others drop. */
void run_and_count_deaths(fleet_model& fleet, milliseconds span, std::size_t isolated,
                          exploration_result& result) {
    for (milliseconds passed{0}; passed < span; passed += milliseconds(100)) {
        fleet.run(milliseconds(100));
        for (std::size_t p = 0; p < fleet.size(); ++p) {
            const bool is_isolated = p == isolated;
            result.majority_deaths +=
                !is_isolated && 2 * fleet.count_viewers_without(p) >= fleet.size() - 1 ? 1 : 0;
        }
    }
}

void expect_convergence(fleet_model& fleet, const char* phase, exploration_result& result) {
    const milliseconds took = fleet.converge(converge_bound);
    result.slowest = std::max(result.slowest, took);
    if (!fleet.is_converged()) {
        ++result.not_converged;
        std::cout << "not converged after " << phase << ", " << fleet.size() << " proxies\n";
    }
}

void explore_one(std::uint64_t seed, std::size_t count, defect injected,
                 exploration_result& result) {
    fleet_model fleet(seed, count, injected);
    fleet.set_loss(0.03);
    const std::size_t none_isolated = count;
    expect_convergence(fleet, "start", result);
    const auto p = static_cast<std::size_t>(fleet.pick(count));
    const std::size_t q = (p + 1) % count;
    fleet.set_refusing(fleet.pick(2) == 0);
    fleet.set_cut(p, q, true);
    run_and_count_deaths(fleet, milliseconds(15'000), none_isolated, result);
    fleet.set_refusing(false);
    for (std::size_t other = 0; other < count; ++other) {
        fleet.set_cut(p, other, other != p);
    }
    run_and_count_deaths(fleet, milliseconds(10'000), p, result);
    for (std::size_t other = 0; other < count; ++other) {
        fleet.set_cut(p, other, false);
    }
    expect_convergence(fleet, "isolation", result);
    fleet.kill(q);
    fleet.run(milliseconds(fleet.pick(6000)));
    fleet.start(q);
    expect_convergence(fleet, "restart", result);
    for (std::size_t a = 0; a < count / 2; ++a) {
        for (std::size_t b = count / 2; b < count; ++b) {
            fleet.set_cut(a, b, true);
        }
    }
    fleet.run(milliseconds(15'000));
    for (std::size_t a = 0; a < count / 2; ++a) {
        for (std::size_t b = count / 2; b < count; ++b) {
            fleet.set_cut(a, b, false);
        }
    }
    expect_convergence(fleet, "partition", result);
    result.stale_incarnations += fleet.count_stale_incarnations();
    result.largest_message = std::max(result.largest_message, fleet.get_largest_message());
}

exploration_result explore(std::uint64_t seed, int runs, defect injected) {
    exploration_result result;
    for (int i = 0; i < runs; ++i) {
        const std::size_t count = std::size_t{8} << static_cast<unsigned>(i % 4);
        explore_one(seed + static_cast<std::uint64_t>(i), count, injected, result);
    }
    std::cout << runs << " runs: " << result.not_converged << " not converged, "
              << result.majority_deaths << " members dropped by a majority, "
              << result.stale_incarnations << " stale incarnations, largest message "
              << result.largest_message << " bytes, slowest convergence " << result.slowest.count()
              << " ms\n";
    return result;
}

// Guards against views that stay different, members declared dead because of one failed link, stale
// incarnations that return, and growing messages, with 8 to 64 proxies and 3 % loss.
TEST(membership_exploration, views_converge_and_no_failed_link_removes_a_member) {
    const exploration_result result = explore(tests::get_seed(), 24, defect::none);
    EXPECT_EQ(result.not_converged, 0);
    EXPECT_EQ(result.majority_deaths, 0);
    EXPECT_EQ(result.stale_incarnations, 0);
    EXPECT_LE(result.largest_message, message_bytes_bound);
}

// Guards against homes that stay at a killed proxy, whose address refuses connections.
TEST(membership_exploration, a_killed_proxy_is_dropped_by_all) {
    const std::uint64_t seed = tests::get_seed();
    std::vector<milliseconds> times;
    for (int i = 0; i < 400; ++i) {
        fleet_model fleet(seed + static_cast<std::uint64_t>(i), 8, defect::none);
        fleet.converge(converge_bound);
        fleet.run(milliseconds(fleet.pick(1000)));
        fleet.kill(static_cast<std::size_t>(fleet.pick(8)));
        times.push_back(fleet.converge(converge_bound));
    }
    std::ranges::sort(times);
    std::cout << "dropped by all: p50 " << times[200].count() << " ms, p99 " << times[396].count()
              << " ms, slowest " << times.back().count() << " ms in virtual time\n";
    EXPECT_LE(times[396], p99_killed_bound);
    EXPECT_LE(times.back(), killed_bound);
}

// Guards against checks that cannot fail.
TEST(membership_exploration, finds_each_injected_defect) {
    const std::uint64_t seed = tests::get_seed();
    EXPECT_GT(explore(seed, 4, defect::no_dead_probes).not_converged, 0);
    EXPECT_GT(explore(seed, 4, defect::single_observer).majority_deaths, 0);
    EXPECT_GT(explore(seed, 4, defect::no_incarnations).stale_incarnations, 0);
    EXPECT_GT(explore(seed, 4, defect::whole_lists).largest_message, message_bytes_bound);
}

}  // namespace
}  // namespace hornbeamhook::coordination
