#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "coordination/promotion.h"
#include "coordination/store_version.h"
#include "gateway/fleet_membership.h"
#include "gateway/table_copy.h"
#include "support/seed.h"

// Simulates changes of the primary with the gateway's own promotion, primary_lease and
// fleet_membership and a simulated store, network and target group. VMs are suspended, partitioned
// and restarted; the simulation checks what callers could observe.

namespace hornbeamhook::tests {

using gateway::departure_notice;
using gateway::fleet_member;
using gateway::fleet_membership;
using gateway::peer_pong;
using gateway::record_promise;
using gateway::stored_row;
using gateway::table_copy;
using gateway::table_update;

using coordination::leadership_record;
using coordination::promotion_phase;

inline constexpr std::int64_t run_duration_ms = 40000;
inline constexpr std::int64_t poll_interval_ms = 700;
inline constexpr std::int64_t tick_interval_ms = 40;
inline constexpr std::int64_t promotion_ms = 300;
inline const std::string group_name = "g";

/** A rule that is broken on purpose, to show that the check detects it. */
enum class injected_fault {
    none,
    skips_lease_wait,
    omits_promise_version,
    ignores_lease_expiry,
    ignores_removed_members,
    uses_stale_members,
    ignores_relayed_age,
    counts_recent_members,
    departs_with_all_promises,
    departs_to_removed_members,
    trusts_restored_records,
    ignores_refused_reports,
    removes_next_process,
    extends_by_any_promise,
};

struct simulation;

/** One VM: the decisions of gateway::leadership_manager without its I/O. */
struct simulated_vm {
    simulated_vm(simulation& sim, int number, std::int64_t incarnation);

    void poll();
    /** Compares the rows with another VM's copy instead of reading the store. */
    void poll_hub();
    void apply_rows(std::int64_t requested_at);
    void extend_lease();
    void ping();
    void tick();
    /** Ends the process as planned until another one starts at `restart_at`. The store executes the
     * removal of its row at `removed_at`. */
    void depart(std::int64_t restart_at, std::int64_t removed_at);
    void step(const coordination::promotion_event& event);
    std::int64_t get_era() const { return coordination::get_era(rows.get_read_version()); }
    bool is_changing() const { return promotion.get_phase() != promotion_phase::watching; }
    /** The target that this VM would use as the primary; empty when it has no lease. */
    std::string get_used_primary(std::int64_t now) const;
    std::vector<record_promise> get_promises() const;

    simulation& sim;
    std::string name;
    std::string changer;
    fleet_membership fleet;
    coordination::primary_lease lease;
    coordination::promotion promotion;
    table_copy rows;
    std::int64_t rows_read_at = -1;  ///< Send time of the newest read; -1 before the first.
    std::int64_t store_read_at = -100000;
    std::int64_t seen_era = 0;
    std::int64_t era_since = 0;
    std::int64_t restored_at = -100000;
    std::int64_t suspended_until = 0;
    bool is_store_unreachable = false;
    bool is_partitioned = false;  ///< From all other VMs.
    int side = 0;                 ///< VMs reach only those of their side.
    bool reaches_all_sides = false;
    bool suspects_loss = false;
    bool has_departed = false;
};

struct simulated_target {
    bool is_up = true;
    bool is_primary = false;
    state::term_number term = 1;
    state::log_position position = 100;
};

/** The store's contents at some time. */
struct store_copy {
    std::map<std::string, stored_row> rows;
    std::int64_t version = 1;
};

struct simulation {
    simulation(std::uint64_t seed, injected_fault fault) : random(seed), injected(fault) {}

    void at(std::int64_t time, std::function<void()> action) {
        events.push({time, ++order, std::move(action)});
    }
    std::int64_t random_between(std::int64_t low, std::int64_t high) {
        return std::uniform_int_distribution<std::int64_t>(low, high)(random);
    }
    bool chance(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(random) < probability;
    }

    /** Runs `action` on the VM at `time`, or when it resumes; drops it if the VM has restarted. */
    void at_vm(const std::shared_ptr<simulated_vm>& vm, std::int64_t time,
               std::function<void()> action) {
        at(time, [this, vm, action] {
            if (vm->suspended_until > now) {
                at_vm(vm, vm->suspended_until, action);
            } else if (vms.at(vm->name) == vm) {
                action();
            }
        });
    }

    void send(const simulated_vm& from, const std::string& to,
              std::function<void(simulated_vm&)> action) {
        const auto target = vms.find(to);
        if (target == vms.end() ||
            (to != from.name && (from.is_partitioned || target->second->is_partitioned ||
                                 (from.side != target->second->side && !from.reaches_all_sides))) ||
            (to != from.name && chance(0.05))) {
            return;
        }
        const auto vm = target->second;
        at_vm(vm, now + random_between(1, 20), [vm, action] { action(*vm); });
    }

    void run() {
        while (!events.empty() && events.top().time <= run_duration_ms) {
            const event next = events.top();
            events.pop();
            now = next.time;
            next.action();
        }
    }

    /** Makes the store unavailable until `end` and continue from a copy `age_ms` old. */
    void restore_store(std::int64_t age_ms, std::int64_t end);
    void apply_promotion(const std::string& chosen);
    /** Makes the VMs for which `does_suspect` holds consider the primary lost, the others not. */
    template <typename predicate>
    void set_suspects(predicate does_suspect) {
        for (const auto& [name, each] : vms) {
            each->suspects_loss = does_suspect(*each);
        }
    }
    void set_all_suspect(bool value) {
        set_suspects([value](const simulated_vm&) { return value; });
    }
    /** Counts a violation if a replica holds commits that the chosen target lacks. `old` is the
     * primary that the promoter replaces; it does not answer. */
    void check_chosen(const std::string& chosen, const std::string& old);
    /** Counts a violation if the VM would use a primary other than the one promoted last. */
    void check_primary_use(const simulated_vm& vm);

    struct event {
        std::int64_t time;
        std::int64_t order;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    std::mt19937_64 random;
    injected_fault injected;
    bool relays_reads = false;
    /// Targets lose reports at random, and a replaced primary that was not told still answers.
    bool loses_reports = false;
    /// Targets refuse most reports, and the replicas' logs end at different positions.
    bool refuses_reports = false;
    bool reads_after_joining = false;  ///< VMs read the rows as soon as they are listed.
    std::int64_t now = 0;
    std::int64_t order = 0;
    std::priority_queue<event> events;
    std::map<std::string, std::shared_ptr<simulated_vm>> vms;
    std::map<std::string, stored_row> rows;
    std::int64_t version = 1;  ///< The store's number in its present era.
    std::int64_t era = 1;
    std::map<std::int64_t, store_copy> copies;  ///< By the time at which they were made.
    std::int64_t store_down_until = 0;
    bool drops_store_answers = false;
    std::map<std::string, simulated_target> targets;
    std::string newest_primary;
    std::int64_t newest_fence = 0;
    int unrecorded_claims = 0;  ///< Of a group without a record.
    int promotions = 0;
    int violations = 0;
    std::string detail;
};

inline void simulation::check_primary_use(const simulated_vm& vm) {
    const std::string used = vm.get_used_primary(now);
    if (!used.empty() && used != newest_primary) {
        ++violations;
        detail += vm.name + " uses " + used + " at " + std::to_string(now) + " while " +
                  newest_primary + " is the primary; ";
    }
}

inline void simulation::check_chosen(const std::string& chosen, const std::string& old) {
    if (chosen == newest_primary) {
        return;  // Promoted before and not recorded yet; the replicas follow it.
    }
    for (const auto& [id, target] : targets) {
        if (id != old && target.position > targets[chosen].position) {
            ++violations;
            detail.append(chosen).append(" was promoted at ").append(std::to_string(now));
            detail.append(" although ").append(id).append(" holds more; ");
        }
    }
}

inline void simulation::restore_store(std::int64_t age_ms, std::int64_t end) {
    const auto copy = copies.upper_bound(now - age_ms);
    if (copy != copies.begin()) {
        const store_copy& restored = std::prev(copy)->second;
        rows = restored.rows;
        version = restored.version;
        ++era;
    }
    store_down_until = end;
}

inline void simulation::apply_promotion(const std::string& chosen) {
    // The promotion of the present primary changes nothing, not even its term.
    if (!targets[chosen].is_up || chosen == newest_primary) {
        return;
    }
    state::term_number newest = 0;
    for (const auto& [id, target] : targets) {
        newest = std::max(newest, target.term);
    }
    ++promotions;
    targets[chosen].is_primary = true;
    targets[chosen].term = newest + 1;
    newest_primary = chosen;
    // No VM may use another primary any more: its commits would be acknowledged and lost, and its
    // reads would miss commits of the new primary.
    for (const auto& [name, vm] : vms) {
        check_primary_use(*vm);
    }
}

inline simulated_vm::simulated_vm(simulation& owner, int number, std::int64_t incarnation)
    : sim(owner),
      name("vm" + std::to_string(number)),
      changer(name + "/" + std::to_string(incarnation)),
      fleet({name, incarnation, {name, 1}, {name, 2}, "z"}) {}

inline std::string simulated_vm::get_used_primary(std::int64_t now) const {
    if (has_departed) {
        return "";
    }
    const bool ignores_expiry = sim.injected == injected_fault::ignores_lease_expiry;
    const auto& record = lease.get_record();
    if (ignores_expiry && record && !record->is_changing() && !lease.is_revoked()) {
        return record->target;
    }
    const auto usable = lease.get_usable(now);
    return usable ? usable->target : "";
}

inline std::vector<record_promise> simulated_vm::get_promises() const {
    const auto& record = lease.get_record();
    if (is_changing() || !record || record->is_changing() || lease.is_in_doubt() ||
        lease.is_revoked()) {
        return {};
    }
    const bool hides_version = sim.injected == injected_fault::omits_promise_version;
    return {{group_name, hides_version ? 0 : record->version}};
}

inline void simulated_vm::depart(std::int64_t restart_at, std::int64_t removed_at) {
    departure_notice notice{name, fleet.get_self().incarnation, get_promises()};
    if (sim.injected == injected_fault::departs_with_all_promises && lease.get_record()) {
        notice.promises = {{group_name, lease.get_record()->version}};
    }
    for (const fleet_member& member : fleet.get_departure_receivers()) {
        sim.send(*this, member.vm,
                 [notice](simulated_vm& other) { other.fleet.handle_departure(notice); });
    }
    const std::string key = "vm/" + name;
    const auto row = sim.rows.find(key);
    if (!is_store_unreachable && sim.now >= sim.store_down_until && row != sim.rows.end()) {
        sim.at(removed_at, [&owner = sim, key, version = row->second.version] {
            const auto present = owner.rows.find(key);
            const bool is_same = present != owner.rows.end() && present->second.version == version;
            if (is_same || owner.injected == injected_fault::removes_next_process) {
                owner.rows.erase(key);
                ++owner.version;
            }
        });
    }
    has_departed = true;
    suspended_until = restart_at + 1;  // Until the next process has replaced it.
}

inline void simulated_vm::poll() {
    if (sim.relays_reads && sim.chance(0.6)) {
        poll_hub();
        return;
    }
    if (is_store_unreachable || sim.now < sim.store_down_until) {
        return;
    }
    const std::int64_t requested_at = sim.now;
    const auto self = sim.vms.at(name);
    sim.at(sim.now + sim.random_between(1, 40), [this, self, requested_at] {
        std::vector<stored_row> read;
        for (const auto& [key, row] : sim.rows) {
            read.push_back(row);
            read.back().key = key;
            read.back().version = coordination::make_store_version(sim.era, row.version);
        }
        sim.at_vm(self, sim.now + sim.random_between(1, 40),
                  [this, read, requested_at,
                   version = coordination::make_store_version(sim.era, sim.version)] {
                      rows.apply_read(read, version);
                      rows_read_at = std::max(rows_read_at, requested_at);
                      apply_rows(requested_at);
                  });
    });
}

inline void simulated_vm::poll_hub() {
    const std::string hub = "vm" + std::to_string(sim.random_between(0, 4));
    const std::int64_t sent_at = sim.now;
    const fleet_member self = fleet.get_self();
    if (hub == name) {
        return;
    }
    sim.send(*this, hub, [sent_at, self](simulated_vm& other) {
        if (other.rows_read_at < 0) {
            return;
        }
        const std::int64_t age = other.sim.now - other.rows_read_at;
        const table_update update = other.rows.get_update(0);
        other.sim.send(other, self.vm, [update, age, sent_at, self](simulated_vm& requester) {
            if (!requester.fleet.is_self(self)) {
                return;
            }
            const bool ignores_age = requester.sim.injected == injected_fault::ignores_relayed_age;
            const std::int64_t requested_at = ignores_age ? requester.sim.now : sent_at - age;
            requester.rows.apply_update(update);
            requester.rows_read_at = std::max(requester.rows_read_at, requested_at);
            requester.apply_rows(requested_at);
        });
    });
}

inline void simulated_vm::apply_rows(std::int64_t requested_at) {
    std::map<std::string, stored_row> known;
    for (const stored_row& row : rows.get_rows()) {
        known[row.key] = row;
    }
    std::vector<fleet_member> members;
    std::optional<leadership_record> record;
    bool is_listed = false;
    for (const auto& [key, row] : known) {
        if (key.starts_with("vm/")) {
            const std::string vm = key.substr(3);
            const std::size_t slash = row.value.find('/');
            members.push_back({vm,
                               std::stoll(row.value.substr(0, slash)),
                               {vm, 1},
                               {vm, 2},
                               "z",
                               std::stoll(row.value.substr(slash + 1))});
            is_listed = is_listed || fleet.is_self(members.back());
        } else {
            const std::size_t bar = row.value.find('|');
            const std::size_t second = row.value.find('|', bar + 1);
            const std::size_t third = row.value.find('|', second + 1);
            record = leadership_record{row.value.substr(0, bar),
                                       std::stoull(row.value.substr(bar + 1, second - bar - 1)),
                                       row.value.substr(second + 1, third - second - 1),
                                       row.version, std::stoll(row.value.substr(third + 1))};
        }
    }
    const bool was_listed = fleet.is_self_listed();
    fleet.update(members, is_listed, sim.now);
    const bool ignores_unlisted = sim.injected == injected_fault::removes_next_process;
    if (!is_listed) {
        if (was_listed && get_era() == seen_era && !ignores_unlisted) {
            lease.expire();
        }
        sim.rows["vm/" + name] = {"", "vm/" + name,
                                  std::to_string(fleet.get_self().incarnation) + "/" +
                                      std::to_string(fleet.get_self().registration),
                                  ++sim.version, false};
        if (sim.reads_after_joining) {
            sim.at_vm(sim.vms.at(name), sim.now + 20, [this] { poll(); });
        }
        return;
    }
    for (const std::string& vm : fleet.get_removable_members(sim.now)) {
        const auto row = known.find("vm/" + vm);
        if (fleet.get_rank("members", sim.now) == 0 && row != known.end()) {
            const stored_row seen = row->second;
            if (sim.injected != injected_fault::departs_to_removed_members) {
                fleet.handle_removal_request(vm);
            }
            sim.at(sim.now + sim.random_between(1, 40), [&owner = sim, seen] {
                const auto present = owner.rows.find(seen.key);
                if (present != owner.rows.end() &&
                    present->second.version == coordination::get_number(seen.version)) {
                    owner.rows.erase(present);
                    ++owner.version;
                }
            });
        }
    }
    store_read_at = std::max(store_read_at, requested_at);
    const std::int64_t era = get_era();
    if (era > seen_era) {
        restored_at = seen_era == 0 ? restored_at : sim.now;
        seen_era = era;
        era_since = sim.now;
    }
    if (!record && lease.get_record()) {
        record = coordination::make_lost_record(*lease.get_record(), era);
    }
    const bool trusts_restored = sim.injected == injected_fault::trusts_restored_records;
    if (record && trusts_restored) {
        record->era = era;
    }
    if (record && record->is_restored()) {
        lease.restore(*record, sim.now);
    } else if (record) {
        lease.confirm(*record, requested_at);
    }
    step(coordination::input_changed{});
}

inline void simulated_vm::extend_lease() {
    const auto& record = lease.get_record();
    if (record && !is_changing()) {
        if (sim.injected == injected_fault::extends_by_any_promise &&
            !fleet.get_responsive_members(sim.now).empty()) {
            lease.extend(sim.now - 100);
        }
        if (const auto since = fleet.get_promised_since(group_name, record->version)) {
            lease.extend(*since);
        }
    }
}

inline void simulated_vm::ping() {
    extend_lease();
    const std::int64_t sequence = fleet.begin_ping_round(sim.now);
    for (const auto& [vm, member] : fleet.get_members()) {
        const std::string requester_name = name;
        const fleet_member self = fleet.get_self();
        sim.send(*this, vm, [sequence, self](simulated_vm& other) {
            peer_pong pong;
            pong.vm = other.name;
            pong.incarnation = other.fleet.get_self().incarnation;
            pong.sequence = sequence;
            const auto requester_entry = other.fleet.get_members().find(self.vm);
            if (requester_entry != other.fleet.get_members().end() &&
                requester_entry->second.incarnation == self.incarnation) {
                pong.promises = other.get_promises();
            } else if (other.sim.injected != injected_fault::removes_next_process) {
                other.fleet.handle_unlisted(self.vm, self.incarnation, self.peer_address,
                                            other.sim.now);
            }
            other.sim.send(other, self.vm, [pong, self](simulated_vm& requester) {
                const auto known = requester.fleet.get_members().find(pong.vm);
                if (!requester.fleet.is_self(self) ||
                    known == requester.fleet.get_members().end() ||
                    known->second.incarnation != pong.incarnation) {
                    return;
                }
                requester.fleet.handle_pong(pong, requester.sim.now);
                requester.extend_lease();
            });
        });
    }
}

inline void simulated_vm::tick() {
    sim.check_primary_use(*this);
    step(coordination::input_changed{});
}

inline void simulated_vm::step(const coordination::promotion_event& event) {
    coordination::promotion_input input;
    input.changer = changer;
    constexpr std::int64_t lease_wait_ms =
        coordination::lease_duration_ms + coordination::clock_drift_margin_ms;
    input.record = lease.get_record();
    input.era = get_era();
    input.era_since = era_since;
    input.has_lease = lease.get_usable(sim.now).has_value();
    input.revoked_version = lease.get_revoked_version();
    input.is_record_fresh = sim.now - store_read_at < 1600;
    input.may_claim = fleet.get_listed_since() &&
                      sim.now - *fleet.get_listed_since() >= lease_wait_ms &&
                      sim.now - restored_at >= lease_wait_ms;
    input.is_established = fleet.is_established(sim.now);
    input.rank = fleet.get_rank(group_name, sim.now);
    input.members = fleet.get_lease_holders(sim.now);
    input.members_requested_at =
        sim.injected == injected_fault::uses_stale_members ? run_duration_ms : store_read_at;
    if (sim.injected == injected_fault::ignores_removed_members) {
        input.members = {name};
        for (const auto& [vm, member] : fleet.get_members()) {
            input.members.insert(vm);
        }
    }
    for (const auto& [id, target] : sim.targets) {
        input.targets.insert(id);
        input.candidates.insert(id);
        if (target.is_primary && target.is_up) {
            input.discovered_primary = {id, target.term};
            input.listed_primaries.insert(id);
        }
        if (target.is_primary && !input.record) {
            input.unrecorded_primary = {id, target.is_up ? target.term : 0};
        }
    }
    // Losses are declared at random, because safety must not depend on detecting them correctly.
    input.is_loss_confirmed = suspects_loss;
    const auto self = sim.vms.at(name);
    const auto actions = promotion.step(input, event, sim.now);
    for (const coordination::promotion_action& action : actions) {
        if (const auto* write = std::get_if<coordination::write_record>(&action)) {
            if (is_store_unreachable || sim.now < sim.store_down_until) {
                sim.at_vm(self, sim.now + 100, [this, number = write->write] {
                    step(coordination::record_unknown{number});
                });
                continue;
            }
            const bool is_lost = sim.drops_store_answers && sim.chance(0.4);
            const std::int64_t delay =
                is_lost ? sim.random_between(1, 4000) : sim.random_between(1, 40);
            const auto change = *write;
            sim.unrecorded_claims += change.expected == 0 && change.record.is_changing() ? 1 : 0;
            sim.at(sim.now + delay, [this, self, change, is_lost] {
                const auto present = sim.rows.find("group/g");
                const std::int64_t number = present == sim.rows.end() ? 0 : present->second.version;
                std::optional<std::int64_t> version;
                if (number == coordination::get_number(change.expected)) {
                    stored_row& row = sim.rows["group/g"];
                    row.value = change.record.target + "|" + std::to_string(change.record.term) +
                                "|" + change.record.changer + "|" +
                                std::to_string(change.record.era);
                    row.version = ++sim.version;
                    version = coordination::make_store_version(sim.era, sim.version);
                }
                if (!is_lost) {
                    sim.at_vm(self, sim.now + sim.random_between(1, 40), [this, change, version] {
                        step(coordination::record_written{change.write, version});
                        poll();
                    });
                }
            });
            if (is_lost) {
                sim.at_vm(self, sim.now + 1200, [this, change] {
                    step(coordination::record_unknown{change.write});
                    poll();
                });
            }
        } else if (const auto* ask = std::get_if<coordination::request_lease_release>(&action)) {
            const std::int64_t version = ask->version;
            for (const std::string& member : ask->members) {
                const std::string requester_name = name;
                sim.send(*this, member, [requester_name, version](simulated_vm& other) {
                    if (!other.lease.revoke(version - 1)) {
                        return;
                    }
                    const bool is_established =
                        other.fleet.is_established(other.sim.now) ||
                        other.sim.injected == injected_fault::counts_recent_members;
                    const coordination::lease_released released{other.name, version,
                                                                is_established};
                    other.sim.send(other, requester_name, [released](simulated_vm& requester) {
                        requester.step(released);
                    });
                });
            }
            if (sim.injected == injected_fault::skips_lease_wait) {
                for (const std::string& member : ask->members) {
                    sim.at_vm(self, sim.now + 1, [this, member, version] {
                        step(coordination::lease_released{member, version});
                    });
                }
            }
        } else if (std::holds_alternative<coordination::read_store>(action)) {
            poll();
        } else if (const auto* report = std::get_if<coordination::request_report>(&action)) {
            const std::string target = report->target;
            sim.at_vm(
                self, sim.now + sim.random_between(2, 60), [this, target, number = report->survey] {
                    const simulated_target& model = sim.targets[target];
                    std::optional<coordination::survey_report> answer;
                    // The suspected primary does not answer, so that promotions happen.
                    const bool is_suspected =
                        lease.get_record() && lease.get_record()->target == target &&
                        !(model.is_primary && model.term > lease.get_record()->term);
                    const bool is_silent = sim.loses_reports ? sim.chance(0.5) : is_suspected;
                    const bool is_refused =
                        sim.refuses_reports && model.is_up && !is_silent && sim.chance(0.7);
                    if (is_refused && sim.injected != injected_fault::ignores_refused_reports) {
                        step(coordination::report_refused{number, target});
                        return;
                    }
                    if (model.is_up && !is_silent && !is_refused) {
                        answer = {model.is_primary, model.term, {model.term, model.position}, 0};
                    }
                    step(coordination::report_received{number, target, answer});
                });
        } else if (const auto* request = std::get_if<coordination::request_promotion>(&action)) {
            const auto sent = *request;
            sim.check_chosen(sent.target, lease.get_record() ? lease.get_record()->target : "");
            sim.at(sim.now + sim.random_between(1, 30), [this, self, sent] {
                if (sent.fence < sim.newest_fence) {
                    ++sim.violations;
                    sim.detail += "fence " + std::to_string(sent.fence) + " after " +
                                  std::to_string(sim.newest_fence) + "; ";
                }
                sim.newest_fence = std::max(sim.newest_fence, sent.fence);
                sim.at(sim.now + promotion_ms,
                       [&owner = sim, sent] { owner.apply_promotion(sent.target); });
                sim.at_vm(self, sim.now + sim.random_between(1, 30), [this, sent] {
                    step(coordination::promotion_answered{
                        sent.fence, coordination::promotion_outcome::accepted});
                });
            });
        } else if (const auto* demotion = std::get_if<coordination::step_down>(&action)) {
            simulated_target& model = sim.targets[demotion->target];
            const bool is_lost = !model.is_up || (sim.loses_reports && sim.chance(0.5));
            if (!is_lost && model.term < demotion->term) {
                model.is_primary = false;
            }
        }
    }
}

/** What happens in a simulation besides a loss of the primary. */
enum class schedule {
    mixed_faults,       ///< Faults start at random times and may overlap.
    late_joiners,       ///< VMs join shortly before the primary is considered lost.
    split_fleets,       ///< Several VMs lose the store and the others, but not each other.
    late_store,         ///< The same, for a shorter time, and the store returns after the others.
    departures,         ///< Late joiners and split fleets, and VMs that stop as planned.
    partial_reports,    ///< Mixed faults; targets are reached only now and then.
    relayed_reads,      ///< Mixed faults, and VMs take most rows from another VM's copy.
    restores,           ///< Mixed faults, and the store comes back from earlier copies.
    late_removals,      ///< VMs stop as planned and start again; their rows are removed late.
    refused_reports,    ///< Mixed faults, and targets are too busy to answer most surveys.
    survivors_restart,  ///< All VMs outside a cut part restart after they removed it.
    no_first_record,    ///< Restores; the primary is down before the first record, and returns.
    storeless_parts,  ///< The store refuses some VMs while VMs are cut off, suspended and replaced.
};

/** Starts VMs shortly before the primary is considered lost. */
inline void add_late_joiners(simulation& sim, const std::function<void(int, std::int64_t)>& start,
                             int first) {
    constexpr int joiners = 6;
    for (int i = 0; i < joiners; ++i) {
        const std::int64_t begin = 12000 + 4000 * i + sim.random_between(0, 700);
        const std::int64_t lost_at = begin + sim.random_between(50, 900);
        sim.at(begin, [&sim, start, number = first + i] { start(number, sim.now + 1); });
        sim.at(lost_at, [&sim] { sim.set_all_suspect(true); });
        sim.at(lost_at + 700, [&sim] { sim.set_all_suspect(false); });
    }
}

/** Cuts several VMs from the store and from the others. */
inline void add_splits(simulation& sim, int vms, bool is_store_late) {
    for (const std::int64_t start : {6000, 18000, 29000}) {
        const std::int64_t begin = start + sim.random_between(0, 2000);
        const std::int64_t end = begin + sim.random_between(is_store_late ? 2200 : 3000, 8000);
        const std::int64_t store_back_at = end + (is_store_late ? sim.random_between(0, 3000) : 0);
        std::vector<std::string> cut;
        for (int i = 0; i < vms; ++i) {
            if (sim.chance(0.6)) {
                cut.push_back("vm" + std::to_string(i));
            }
        }
        const auto set_cut = [&sim, cut](int side, bool is_store_unreachable) {
            for (const std::string& name : cut) {
                sim.vms.at(name)->side = side;
                sim.vms.at(name)->is_store_unreachable = is_store_unreachable;
            }
        };
        sim.at(begin, [set_cut] { set_cut(1, true); });
        sim.at(end, [set_cut, is_store_late] { set_cut(0, is_store_late); });
        sim.at(store_back_at, [set_cut] { set_cut(0, false); });
        sim.at(begin + 700,
               [&sim] { sim.set_suspects([](const simulated_vm& vm) { return vm.side == 0; }); });
        sim.at(begin + 2500, [&sim] { sim.set_all_suspect(false); });
    }
}

/**
 * Stops VMs as planned, most of them while a change of the primary is likely; each starts again
 * after a while. The last messages of some reach VMs that nobody else on their side reaches.
 */
inline void add_departures(simulation& sim, const std::function<void(int, std::int64_t)>& start) {
    constexpr int departures = 12;
    for (int i = 0; i < departures; ++i) {
        const std::int64_t begin = sim.random_between(12000, run_duration_ms - 4000);
        const std::int64_t end = begin + sim.random_between(300, 6000);
        sim.at(begin, [&sim, start, end] {
            std::vector<std::shared_ptr<simulated_vm>> running;
            for (const auto& [name, vm] : sim.vms) {
                if (!vm->has_departed && vm->suspended_until <= sim.now && vm->side == 0) {
                    running.push_back(vm);
                }
            }
            if (running.empty()) {
                return;
            }
            const auto last = static_cast<std::int64_t>(running.size()) - 1;
            const auto vm = running[static_cast<std::size_t>(sim.random_between(0, last))];
            const int number = std::stoi(vm->name.substr(2));
            sim.at(end, [&sim, start, number] { start(number, sim.now + 1); });
            vm->reaches_all_sides = sim.chance(0.5);
            vm->depart(end, sim.now);
        });
    }
}

/**
 * Stops VMs as planned and starts them again. The store executes the removal of their rows late, at
 * about the time at which the next process registers, and the primary is considered lost then.
 */
inline void add_late_removals(simulation& sim, const std::function<void(int, std::int64_t)>& start,
                              int vms) {
    for (std::int64_t begin = 6000; begin < run_duration_ms - 8000; begin += 5000) {
        const auto number = static_cast<int>(sim.random_between(0, vms - 1));
        const std::int64_t restart_at = begin + sim.random_between(300, 2500);
        const std::int64_t removed_at = restart_at + sim.random_between(-200, 1600);
        const std::int64_t lost_at = removed_at + sim.random_between(-100, 400);
        sim.at(begin, [&sim, number, restart_at, removed_at] {
            sim.vms.at("vm" + std::to_string(number))->depart(restart_at, removed_at);
        });
        sim.at(restart_at, [&sim, start, number] { start(number, sim.now + 1); });
        sim.at(lost_at, [&sim] { sim.set_all_suspect(true); });
        sim.at(lost_at + 700, [&sim] { sim.set_all_suspect(false); });
    }
}

/**
 * Cuts all VMs but one from the store and from that one. A VM joins on the side of the store and
 * considers the primary lost, and the one that was listed for long stops as planned; its last
 * message may still reach the others.
 */
inline void add_departure_during_change(simulation& sim,
                                        const std::function<void(int, std::int64_t)>& start,
                                        int vms) {
    const std::int64_t cut_at = 17000 + sim.random_between(0, 1000);
    const std::int64_t joined_at = cut_at + sim.random_between(0, 1000);
    const std::int64_t lost_at = joined_at + sim.random_between(2000, 4000);
    const std::int64_t stopped_at = lost_at + sim.random_between(-3000, 1500);
    const std::int64_t healed_at = cut_at + sim.random_between(7000, 13000);
    const auto set_cut = [&sim, vms](int side) {
        for (int i = 1; i < vms; ++i) {
            sim.vms.at("vm" + std::to_string(i))->side = side;
            sim.vms.at("vm" + std::to_string(i))->is_store_unreachable = side != 0;
        }
    };
    sim.at(cut_at, [set_cut] { set_cut(1); });
    sim.at(joined_at, [&sim, start, vms] { start(vms, sim.now + 1); });
    sim.at(lost_at, [&sim, vms] { sim.vms.at("vm" + std::to_string(vms))->suspects_loss = true; });
    sim.at(stopped_at, [&sim] {
        const auto vm = sim.vms.at("vm0");
        vm->reaches_all_sides = sim.chance(0.5);
        vm->depart(run_duration_ms, sim.now);
    });
    sim.at(healed_at, [&sim, set_cut] {
        set_cut(0);
        sim.set_all_suspect(false);
    });
}

/** Restores the store from copies some seconds old, most of them while the primary is replaced. */
inline void add_restores(simulation& sim) {
    constexpr std::int64_t copy_interval_ms = 200;
    for (std::int64_t time = copy_interval_ms; time < run_duration_ms; time += copy_interval_ms) {
        sim.at(time, [&sim] { sim.copies[sim.now] = {sim.rows, sim.version}; });
    }
    for (const std::int64_t start : {4000, 15000, 26000}) {
        const std::int64_t begin = start + sim.random_between(0, 9000);
        const std::int64_t age = sim.random_between(100, 9000);
        const std::int64_t outage = sim.random_between(0, 2500);
        sim.at(begin, [&sim, age, outage] { sim.restore_store(age, sim.now + outage); });
        const std::int64_t lost_at = begin + sim.random_between(-3000, 1500);
        sim.at(lost_at, [&sim] { sim.set_all_suspect(true); });
        sim.at(lost_at + sim.random_between(100, 1500), [&sim] { sim.set_all_suspect(false); });
    }
}

/**
 * Makes the store refuse some VMs, or all, for some seconds, three times. Meanwhile a part of the
 * VMs is cut from the others, and VMs are replaced, suspended or stopped as planned. Those that
 * reach the store consider the primary lost.
 */
inline void add_storeless_parts(simulation& sim,
                                const std::function<void(int, std::int64_t)>& start, int vms) {
    for (const std::int64_t first : {5000, 19000, 29000}) {
        const std::int64_t begin = first + sim.random_between(0, 2000);
        const std::int64_t end = begin + sim.random_between(3000, 9000);
        const std::int64_t healed_at = begin + sim.random_between(2000, 9000);
        std::vector<std::string> refused;
        std::vector<std::string> cut;
        const double refused_share = sim.chance(0.2) ? 1 : 0.6;
        const bool is_store_on_one_side = sim.chance(0.6);
        for (int i = 0; i < vms; ++i) {
            const std::string name = "vm" + std::to_string(i);
            if (sim.chance(refused_share)) {
                refused.push_back(name);
            }
            if (is_store_on_one_side ? !refused.empty() && refused.back() == name
                                     : sim.chance(0.5)) {
                cut.push_back(name);
            }
        }
        const auto set_store = [&sim, refused](bool is_unreachable) {
            for (const std::string& name : refused) {
                sim.vms.at(name)->is_store_unreachable = is_unreachable;
            }
        };
        const auto set_side = [&sim, cut](int side) {
            for (const std::string& name : cut) {
                sim.vms.at(name)->side = side;
            }
        };
        sim.at(begin, [set_store] { set_store(true); });
        sim.at(end, [set_store] { set_store(false); });
        const std::int64_t cut_at = begin + sim.random_between(-500, 1500);
        sim.at(cut_at, [set_side] { set_side(1); });
        sim.at(healed_at, [set_side] { set_side(0); });
        const auto incidents = static_cast<int>(sim.random_between(0, 4));
        for (int i = 0; i < incidents; ++i) {
            const std::int64_t time = begin + sim.random_between(-1000, 5000);
            const std::int64_t back_at = time + sim.random_between(300, 5000);
            const auto number = static_cast<int>(sim.random_between(0, vms - 1));
            const std::string name = "vm" + std::to_string(number);
            const auto restart = [&sim, start, number, name] {
                const auto before = sim.vms.at(name);
                start(number, sim.now + 1);
                sim.vms.at(name)->side = before->side;
                sim.vms.at(name)->is_store_unreachable = before->is_store_unreachable;
            };
            switch (sim.random_between(0, 3)) {
                case 0:
                    sim.at(time, restart);
                    break;
                case 1:
                    sim.at(time, [&sim, name, back_at] {
                        sim.vms.at(name)->suspended_until =
                            std::max(sim.vms.at(name)->suspended_until, back_at);
                    });
                    break;
                case 2:
                    sim.at(time, [&sim, name, back_at, restart] {
                        const auto vm = sim.vms.at(name);
                        if (!vm->has_departed && vm->suspended_until <= sim.now) {
                            vm->reaches_all_sides = sim.chance(0.5);
                            vm->depart(back_at, sim.now);
                            sim.at(back_at, restart);
                        }
                    });
                    break;
                default:
                    sim.at(time, [start, vms, i, &sim] { start(vms + i, sim.now + 1); });
                    break;
            }
        }
        for (int i = 0; i < 3; ++i) {
            const std::int64_t lost_at = begin + sim.random_between(0, 7000);
            sim.at(lost_at, [&sim] {
                sim.set_suspects([](const simulated_vm& vm) { return !vm.is_store_unreachable; });
            });
            sim.at(lost_at + 900, [&sim] { sim.set_all_suspect(false); });
        }
    }
}

/**
 * Cuts all VMs but one from the store and from that one, which removes them from the list with the
 * help of two that join. Then these three restart, so that no process knows the removed VMs, and
 * consider the primary lost.
 */
inline void add_survivor_restarts(simulation& sim,
                                  const std::function<void(int, std::int64_t)>& start, int vms) {
    const std::int64_t cut_at = 20000 + sim.random_between(0, 1000);
    const std::int64_t restart_at = cut_at + sim.random_between(4500, 8000);
    const std::int64_t lost_at = restart_at + sim.random_between(2500, 5000);
    const auto first = static_cast<int>(sim.random_between(20, 60));
    const std::vector<int> survivors = {0, first, first + 1};
    sim.at(cut_at, [&sim, vms] {
        for (int i = 1; i < vms; ++i) {
            sim.vms.at("vm" + std::to_string(i))->side = 1;
            sim.vms.at("vm" + std::to_string(i))->is_store_unreachable = true;
        }
    });
    for (const int number : {first, first + 1}) {
        sim.at(cut_at + sim.random_between(0, 1500),
               [&sim, start, number] { start(number, sim.now + 1); });
    }
    for (const int number : survivors) {
        sim.at(restart_at + sim.random_between(0, 300),
               [&sim, start, number] { start(number, sim.now + 1); });
    }
    sim.at(lost_at,
           [&sim] { sim.set_suspects([](const simulated_vm& vm) { return vm.side == 0; }); });
    sim.at(lost_at + 3000, [&sim] { sim.set_all_suspect(false); });
}

/** Runs one simulation. */
inline std::unique_ptr<simulation> run_simulation(std::uint64_t seed, injected_fault fault,
                                                  schedule events = schedule::mixed_faults) {
    auto result = std::make_unique<simulation>(seed, fault);
    simulation& sim = *result;
    sim.relays_reads = events == schedule::relayed_reads;
    sim.loses_reports = events == schedule::partial_reports;
    const bool is_storeless =
        events == schedule::storeless_parts || events == schedule::survivors_restart;
    const bool is_split = events == schedule::split_fleets || events == schedule::late_store ||
                          events == schedule::departures;
    sim.reads_after_joining = events == schedule::late_joiners ||
                              events == schedule::late_removals || is_split || is_storeless;
    const auto vms = static_cast<int>(is_split       ? sim.random_between(6, 9)
                                      : is_storeless ? sim.random_between(3, 9)
                                                     : sim.random_between(2, 5));
    sim.targets["t0"].is_primary = true;
    sim.targets["t1"];
    sim.targets["t2"];
    sim.newest_primary = "t0";
    if (events == schedule::refused_reports) {
        sim.refuses_reports = true;
        sim.targets["t1"].position = sim.random_between(50, 99);
        sim.targets["t2"].position = sim.random_between(50, 99);
    }
    const auto start = [&sim](int number, std::int64_t incarnation) {
        const auto vm = std::make_shared<simulated_vm>(sim, number, incarnation);
        sim.vms[vm->name] = vm;
        const auto repeat = [&sim, vm](std::int64_t every, auto action) {
            auto loop = std::make_shared<std::function<void()>>();
            *loop = [&sim, vm, every, action, weak = std::weak_ptr(loop)] {
                action(*vm);
                if (const auto again = weak.lock()) {
                    sim.at_vm(vm, sim.now + every, [again] { (*again)(); });
                }
            };
            sim.at_vm(vm, sim.now + sim.random_between(1, every), [loop] { (*loop)(); });
        };
        repeat(poll_interval_ms, [](simulated_vm& x) { x.poll(); });
        repeat(poll_interval_ms, [](simulated_vm& x) { x.ping(); });
        repeat(tick_interval_ms, [](simulated_vm& x) { x.tick(); });
    };
    for (int i = 0; i < vms; ++i) {
        sim.at(sim.random_between(0, 300), [&sim, start, i] { start(i, sim.now + 1); });
    }
    if (events == schedule::late_joiners) {
        add_late_joiners(sim, start, vms);
        sim.run();
        return result;
    }
    if (events == schedule::survivors_restart) {
        add_survivor_restarts(sim, start, vms);
        sim.run();
        return result;
    }
    if (is_storeless) {
        add_storeless_parts(sim, start, vms);
        sim.run();
        return result;
    }
    if (events == schedule::late_removals) {
        add_late_removals(sim, start, vms);
        sim.run();
        return result;
    }
    if (events == schedule::departures && sim.chance(0.5)) {
        add_departure_during_change(sim, start, vms);
        sim.run();
        return result;
    }
    if (events == schedule::departures) {
        add_departures(sim, start);
        add_late_joiners(sim, start, vms);
    }
    if (is_split) {
        add_splits(sim, vms, events != schedule::split_fleets);
        sim.run();
        return result;
    }
    if (events == schedule::no_first_record) {
        // It may also fail while the first record is written, and return during its replacement.
        const bool is_down_early = sim.chance(0.7);
        sim.targets["t0"].is_up = !is_down_early;
        sim.at(sim.random_between(2000, 3000), [&sim] { sim.targets["t0"].is_up = false; });
        sim.at(sim.random_between(4000, 14000), [&sim] { sim.targets["t0"].is_up = true; });
        sim.at(sim.random_between(5000, 9000), [&sim] { sim.set_all_suspect(true); });
        sim.at(sim.random_between(9000, 13000), [&sim] { sim.set_all_suspect(false); });
    }
    if (events == schedule::restores || events == schedule::no_first_record) {
        add_restores(sim);
    }
    const auto faults = static_cast<int>(sim.random_between(2, 9));
    for (int i = 0; i < faults; ++i) {
        const std::int64_t begin = sim.random_between(2000, run_duration_ms - 5000);
        const std::int64_t end = begin + sim.random_between(300, 12000);
        const std::string vm = "vm" + std::to_string(sim.random_between(0, vms - 1));
        switch (sim.random_between(0, 7)) {
            case 0:
                sim.at(begin, [&sim, vm, end] { sim.vms.at(vm)->suspended_until = end; });
                break;
            case 1:
                sim.at(begin, [&sim, vm] { sim.vms.at(vm)->is_store_unreachable = true; });
                sim.at(end, [&sim, vm] { sim.vms.at(vm)->is_store_unreachable = false; });
                break;
            case 2:
                sim.at(begin, [&sim, vm] {
                    sim.vms.at(vm)->is_partitioned = true;
                    sim.vms.at(vm)->is_store_unreachable = true;
                });
                sim.at(end, [&sim, vm] {
                    sim.vms.at(vm)->is_partitioned = false;
                    sim.vms.at(vm)->is_store_unreachable = false;
                });
                break;
            case 6:
                sim.at(begin, [&sim, vm] { sim.vms.at(vm)->is_partitioned = true; });
                sim.at(end, [&sim, vm] { sim.vms.at(vm)->is_partitioned = false; });
                break;
            case 3:
                sim.at(begin, [&sim, end] { sim.store_down_until = end; });
                break;
            case 4:
                sim.at(begin, [&sim] { sim.drops_store_answers = true; });
                sim.at(end, [&sim] { sim.drops_store_answers = false; });
                break;
            case 5:
                sim.at(begin, [&sim, vm, start] { start(std::stoi(vm.substr(2)), sim.now + 1); });
                break;
            default:
                sim.at(begin, [&sim] { sim.set_all_suspect(true); });
                sim.at(begin + sim.random_between(100, 1500),
                       [&sim] { sim.set_all_suspect(false); });
                break;
        }
    }
    sim.at(3000, [&sim] { sim.set_all_suspect(true); });
    sim.at(9000, [&sim] { sim.set_all_suspect(false); });
    sim.run();
    return result;
}

/** Explores `runs` fresh seeds; fails at the first violation. Counts the promotions. */
inline void explore(schedule events, int runs, int& promotions) {
    const std::uint64_t first = get_seed();
    for (int run = 0; run < runs; ++run) {
        const std::uint64_t seed = first + static_cast<std::uint64_t>(run);
        const auto result = run_simulation(seed, injected_fault::none, events);
        promotions += result->promotions;
        ASSERT_EQ(result->violations, 0) << "HORNBEAMHOOK_SEED=" << seed << " " << result->detail;
    }
}

}  // namespace hornbeamhook::tests
