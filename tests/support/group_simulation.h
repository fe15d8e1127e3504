#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/failover.h"
#include "coordination/group_monitor.h"
#include "coordination/poll_schedule.h"
#include "support/model_target.h"

namespace hornbeamhook::tests {

/** What may go wrong in one simulated run. */
struct simulation_options {
    std::uint64_t seed = 1;
    int claimants = 3;
    std::chrono::milliseconds standby_heartbeat{1000};  ///< Of pollers after the first two.
    const coordination::failover_rules* rules = &coordination::standard_failover_rules;
    acknowledgement_rule acknowledgement = is_acknowledging;
    std::chrono::milliseconds max_delay{5};         ///< One way, between proxies and targets.
    std::chrono::milliseconds max_stream_delay{5};  ///< One way, between targets.
    double loss = 0;          ///< Share of calls whose request or answer is lost.
    double duplication = 0;   ///< Share of fence and promote requests delivered twice.
    double interruption = 0;  ///< Chance of a crash or pause of a claimant after a step.
};

/**
 * One group of three targets and some pollers in virtual time: the real decisions of every poller,
 * model targets, a network with loss, delay and duplication, crashes and pauses.
 */
class group_simulation {
public:
    using time_point = state::time_point;
    using milliseconds = std::chrono::milliseconds;
    static constexpr std::size_t target_count = 3;

    explicit group_simulation(simulation_options options)
        : options_(options),
          random_(options.seed),
          loss_(options.loss),
          checker_(options.acknowledgement) {
        targets_[0].is_primary = true;
        for (int i = 0; i < options_.claimants; ++i) {
            pollers_.push_back(make_poller(i, 1));
        }
        for (std::size_t i = 0; i < pollers_.size(); ++i) {
            restart(i);
        }
        for (std::size_t t = 0; t < target_count; ++t) {
            at(milliseconds(0), [this, t] { heartbeat(t); });
        }
        at(milliseconds(20), [this] { write(); });
    }

    /** Runs until virtual time `end` after the start. */
    void run_until(milliseconds end) {
        while (!events_.empty() && events_.top().time <= origin_ + end) {
            scheduled next = events_.top();
            events_.pop();
            now_ = next.time;
            next.run();
        }
        now_ = origin_ + end;
    }

    milliseconds get_time() const {
        return std::chrono::duration_cast<milliseconds>(now_ - origin_);
    }

    /** Schedules `run` after `delay`. */
    void at(milliseconds delay, std::function<void()> run) {
        events_.push({now_ + delay, ++sequence_, std::move(run)});
    }

    int pick(int limit) { return static_cast<int>(random_() % static_cast<unsigned>(limit)); }
    bool chance(double share) { return static_cast<double>(random_() % 1'000'000) < share * 1e6; }

    // Faults.
    void crash_target(std::size_t t) { is_down_[t] = true; }
    void restart_target(std::size_t t) { is_down_[t] = false; }
    void freeze_target(std::size_t t, milliseconds span) { frozen_until_[t] = now_ + span; }
    void cut_proxy(std::size_t p, std::size_t t, bool is_cut) { cut_target_[p][t] = is_cut; }
    void cut_peers(std::size_t p, std::size_t q, bool is_cut) {
        cut_peer_[p][q] = cut_peer_[q][p] = is_cut;
    }
    void cut_stream(std::size_t t, std::size_t u, bool is_cut) {
        cut_stream_[t][u] = cut_stream_[u][t] = is_cut;
    }
    void pause_proxy(std::size_t p, milliseconds span) {
        pollers_[p]->paused_until = std::max(pollers_[p]->paused_until, now_ + span);
    }
    void crash_proxy(std::size_t p) { pollers_[p]->is_up = false; }
    void restart(std::size_t p) {
        const int incarnation = pollers_[p]->incarnation + 1;
        pollers_[p] = make_poller(static_cast<int>(p), incarnation);
        step_monitor(p, coordination::group_configured{{"a", "b", "c"}});
        assign(p);
        for (std::size_t t = 0; t < target_count; ++t) {
            tick_poll(p, t, pollers_[p]);
        }
    }
    void request_change(std::size_t p, std::size_t t) {
        on_poller(p, pollers_[p], [this, p, t] {
            step_failover(p, coordination::primary_change_requested{get_name(t)});
        });
    }
    /** Tells poller `p` the pollers by rank, as its own view of the members has them. */
    void set_pollers(std::size_t p, const std::vector<std::size_t>& ranked) {
        on_poller(p, pollers_[p], [this, p, ranked] {
            coordination::pollers_assigned assigned;
            for (const std::size_t i : ranked) {
                assigned.vms.push_back(get_vm(i));
            }
            step_failover(p, assigned);
        });
    }
    void set_loss(double loss) { loss_ = loss; }
    void set_interruption(double share) { options_.interruption = share; }

    /** Ends every fault. */
    void heal() {
        loss_ = 0;
        options_.interruption = 0;
        options_.duplication = 0;
        cut_target_ = {};
        cut_peer_ = {};
        cut_stream_ = {};
        is_down_ = {};
        frozen_until_ = {};
        for (std::size_t p = 0; p < pollers_.size(); ++p) {
            pollers_[p]->paused_until = time_point{};
            if (!pollers_[p]->is_up) {
                restart(p);
            }
            assign(p);
        }
        acknowledged_at_heal_ = checker_.count_acknowledged();
    }

    /** One unfenced primary that everybody follows, new writes acknowledged, all pollers at rest.
     */
    bool is_healthy() const {
        const auto primary = std::ranges::max_element(
            targets_, {}, [](const model_target& target) { return target.follow_term; });
        const bool is_followed = std::ranges::all_of(targets_, [&](const model_target& target) {
            return target.follow_term == primary->follow_term &&
                   target.accepted_term == primary->accepted_term;
        });
        const bool is_led = std::ranges::count_if(targets_, [](const model_target& target) {
                                return target.is_unfenced_primary();
                            }) == 1;
        const bool is_at_rest = std::ranges::all_of(pollers_, [&](const auto& poller) {
            return poller->failover.phase == coordination::failover_phase::watching &&
                   poller->monitor.view.primary &&
                   poller->monitor.view.primary->term == primary->follow_term;
        });
        return is_followed && is_led && is_at_rest &&
               checker_.count_acknowledged() > acknowledged_at_heal_;
    }

    /** The present state in one line, for failures. */
    std::string describe() const {
        std::string text;
        for (const model_target& target : targets_) {
            text += " [accepted " + std::to_string(target.accepted_term) + " follows " +
                    std::to_string(target.follow_term) + " length " +
                    std::to_string(target.log.size()) + (target.is_primary ? " primary]" : "]");
        }
        for (const auto& poller : pollers_) {
            text += " " + coordination::to_string(poller->failover.phase) + "/" +
                    coordination::to_string(poller->failover.reason);
        }
        return text;
    }

    std::size_t get_primary() const {
        std::size_t best = 0;
        for (std::size_t t = 0; t < target_count; ++t) {
            if (targets_[t].is_primary && (!targets_[best].is_primary ||
                                           targets_[t].follow_term > targets_[best].follow_term)) {
                best = t;
            }
        }
        return best;
    }

    const survival_checker& get_checker() const { return checker_; }
    const std::vector<coordination::promotion_report>& get_reports() const { return reports_; }

private:
    struct scheduled {
        time_point time;
        std::uint64_t sequence;
        std::function<void()> run;
        bool operator<(const scheduled& other) const {
            return std::pair(time, sequence) > std::pair(other.time, other.sequence);
        }
    };

    struct poll_state {
        std::uint64_t in_flight = 0;
        bool is_queued = false;
        int failures = 0;
        time_point began{};
    };

    struct poller_model {
        int incarnation = 0;
        bool is_up = true;
        time_point paused_until{};
        time_point last_step{};
        bool is_checking = false;
        coordination::group_monitor_state monitor;
        coordination::failover_state failover;
        std::array<poll_state, target_count> polls;
    };
    using poller_pointer = std::shared_ptr<poller_model>;

    static std::string get_vm(std::size_t p) { return "vm" + std::to_string(p); }
    static std::string get_name(std::size_t t) {
        return std::string(1, static_cast<char>('a' + t));
    }
    static std::size_t get_index(const std::string& name) {
        return static_cast<std::size_t>(name[0] - 'a');
    }

    poller_pointer make_poller(int p, int incarnation) {
        auto value = std::make_shared<poller_model>();
        value->incarnation = incarnation;
        value->failover.vm = get_vm(static_cast<std::size_t>(p));
        value->failover.incarnation = static_cast<std::uint64_t>(incarnation);
        value->failover.random_state = random_();
        value->last_step = now_;
        return value;
    }

    void assign(std::size_t p) {
        coordination::pollers_assigned assigned;
        for (std::size_t i = 0; i < pollers_.size(); ++i) {
            assigned.vms.push_back(get_vm(i));
        }
        assigned.is_only_proxy = pollers_.size() == 1;
        step_failover(p, assigned);
    }

    milliseconds get_delay() {
        return milliseconds(pick(1 + static_cast<int>(options_.max_delay.count())));
    }

    /** Runs `run` on a poller, later when it is paused, never when it crashed. */
    void on_poller(std::size_t p, const poller_pointer& life, std::function<void()> run) {
        if (pollers_[p] != life || !life->is_up) {
            return;
        }
        if (life->paused_until > now_) {
            const auto wait = std::chrono::duration_cast<milliseconds>(life->paused_until - now_);
            at(wait + milliseconds(1),
               [this, p, life, run = std::move(run)] { on_poller(p, life, run); });
            return;
        }
        if (now_ - life->last_step > milliseconds(1000)) {
            life->last_step = now_;
            step_monitor(p, coordination::views_dropped{});
            step_failover(p, coordination::claim_dropped{});
        }
        life->last_step = now_;
        run();
    }

    /** Runs `run` at a target when the request reaches it; `refused` when it is down. */
    void on_target(std::size_t p, std::size_t t, const std::function<void()>& run,
                   const std::function<void()>& refused) {
        const bool is_lost = cut_target_[p][t] || chance(loss_);
        if (is_lost) {
            return;
        }
        const milliseconds delay = get_delay();
        at(delay, [this, t, run, refused] {
            if (is_down_[t]) {
                refused();
                return;
            }
            if (frozen_until_[t] > now_) {
                at(std::chrono::duration_cast<milliseconds>(frozen_until_[t] - now_) +
                       milliseconds(1),
                   run);
                return;
            }
            run();
        });
    }

    void answer(std::size_t p, std::size_t t, const poller_pointer& life,
                std::function<void()> run) {
        if (!cut_target_[p][t] && !chance(loss_)) {
            at(get_delay(), [this, p, life, run = std::move(run)] { on_poller(p, life, run); });
        }
    }

    void tick_poll(std::size_t p, std::size_t t, const poller_pointer& life) {
        on_poller(p, life, [this, p, t, life] {
            const milliseconds interval =
                coordination::get_heartbeat(p, has_potential_failure(life->monitor),
                                            {milliseconds(250), options_.standby_heartbeat});
            const int failures = life->polls[t].failures;
            const bool is_quick = failures > 0 && failures <= 20;
            if (is_quick || now_ - life->polls[t].began >= interval) {
                begin_poll(p, t, life);
            }
            at(milliseconds(is_quick ? 50 : 250), [this, p, t, life] { tick_poll(p, t, life); });
        });
    }

    void begin_poll(std::size_t p, std::size_t t, const poller_pointer& life) {
        poll_state& poll = life->polls[t];
        if (poll.in_flight != 0) {
            poll.is_queued = true;
            return;
        }
        const std::uint64_t id = ++sequence_;
        poll.in_flight = id;
        poll.began = now_;
        const time_point began = now_;
        on_target(
            p, t,
            [this, p, t, life, id, began] {
                const state::target_status status = targets_[t].get_status(now_);
                answer(p, t, life, [this, p, t, life, id, began, status] {
                    if (life->polls[t].in_flight == id) {
                        end_poll(p, t, life,
                                 coordination::poll_answered{get_name(t), began, now_, status});
                    }
                });
            },
            [this, p, t, life, id, began] {
                answer(p, t, life, [this, p, t, life, id, began] {
                    if (life->polls[t].in_flight == id) {
                        end_poll(p, t, life,
                                 coordination::poll_failed{get_name(t), began, now_,
                                                           coordination::poll_failure::refused});
                    }
                });
            });
        at(milliseconds(300), [this, p, t, life, id, began] {
            on_poller(p, life, [this, p, t, life, id, began] {
                if (life->polls[t].in_flight == id) {
                    end_poll(p, t, life,
                             coordination::poll_failed{get_name(t), began, now_,
                                                       coordination::poll_failure::timed_out});
                }
            });
        });
    }

    void end_poll(std::size_t p, std::size_t t, const poller_pointer& life,
                  const coordination::group_event& event) {
        poll_state& poll = life->polls[t];
        poll.in_flight = 0;
        const auto* answered = std::get_if<coordination::poll_answered>(&event);
        poll.failures = answered != nullptr ? 0 : poll.failures + 1;
        if (answered != nullptr) {
            checker_.add_report(t, answered->status);
        }
        const bool is_queued = std::exchange(poll.is_queued, false);
        step_monitor(p, event);
        if (is_queued && answered != nullptr && pollers_[p] == life && life->is_up) {
            begin_poll(p, t, life);
        }
    }

    void step_monitor(std::size_t p, const coordination::group_event& event) {
        poller_model& value = *pollers_[p];
        value.monitor =
            coordination::step_group_monitor(std::move(value.monitor), event, now_).state;
        step_failover(p, coordination::evidence_updated{get_evidence(value.monitor, now_)});
    }

    void step_failover(std::size_t p, const coordination::failover_event& event) {
        const poller_pointer life = pollers_[p];
        const coordination::failover_phase before = life->failover.phase;
        coordination::failover_step step =
            coordination::step_failover(std::move(life->failover), event, now_, *options_.rules);
        life->failover = std::move(step.state);
        // A crash between two actions of one step is the hardest place to stop.
        const bool is_interrupted = life->failover.phase != before && chance(options_.interruption);
        std::size_t allowed = step.actions.size();
        if (is_interrupted) {
            allowed = static_cast<std::size_t>(pick(static_cast<int>(step.actions.size()) + 1));
        }
        for (std::size_t i = 0; i < allowed; ++i) {
            std::visit([&](const auto& action) { act(p, life, action); }, step.actions[i]);
        }
        if (is_interrupted) {
            interrupt(p);
        }
        schedule_check(p, life);
    }

    void interrupt(std::size_t p) {
        if (chance(0.5)) {
            crash_proxy(p);
            at(milliseconds(100 + pick(1500)), [this, p] {
                if (!pollers_[p]->is_up) {
                    restart(p);
                }
            });
        } else {
            pause_proxy(p, milliseconds(50 + pick(2500)));
        }
    }

    void schedule_check(std::size_t p, const poller_pointer& life) {
        if (life->is_checking || get_next_check(life->failover, now_) > now_ + milliseconds(10)) {
            return;
        }
        life->is_checking = true;
        at(milliseconds(20), [this, p, life] {
            on_poller(p, life, [this, p, life] {
                life->is_checking = false;
                step_failover(p, coordination::failover_checked{});
            });
        });
    }

    void act(std::size_t p, const poller_pointer& life,
             const coordination::request_observations& ask) {
        for (std::size_t q = 0; q < pollers_.size(); ++q) {
            if (q == p || cut_peer_[p][q] || chance(loss_)) {
                continue;
            }
            const poller_pointer other = pollers_[q];
            at(get_delay(), [this, p, life, q, other, own = ask.own] {
                on_poller(q, other, [this, p, life, q, other, own] {
                    step_failover(q, coordination::observation_received{own});
                    for (std::size_t t = 0; t < target_count; ++t) {
                        begin_poll(q, t, other);
                    }
                    coordination::failover_event answer =
                        coordination::observation_withdrawn{other->failover.vm};
                    if (const auto own_view = get_recent_observation(other->failover, now_)) {
                        answer = coordination::observation_received{*own_view};
                    }
                    if (!cut_peer_[p][q] && !chance(loss_)) {
                        at(get_delay(), [this, p, life, answer] {
                            on_poller(p, life, [this, p, answer] { step_failover(p, answer); });
                        });
                    }
                });
            });
        }
    }

    void act(std::size_t p, const poller_pointer& life, const coordination::poll_targets&) {
        for (std::size_t t = 0; t < target_count; ++t) {
            begin_poll(p, t, life);
        }
    }

    void act(std::size_t p, const poller_pointer& life, const coordination::send_term_call& call) {
        const std::size_t t = get_index(call.target);
        coordination::term_call_ended ended{call.target,
                                            call.is_promote,
                                            call.term,
                                            call.claimant,
                                            coordination::call_outcome::no_answer,
                                            {}};
        const auto is_answered = std::make_shared<bool>(false);
        const int copies = chance(options_.duplication) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            auto deliver = [this, p, t, life, call, ended, is_answered]() mutable {
                on_target(
                    p, t,
                    [this, p, t, life, call, ended, is_answered]() mutable {
                        execute(t, call, ended);
                        answer(p, t, life, [this, p, ended, is_answered] {
                            if (!std::exchange(*is_answered, true)) {
                                step_failover(p, ended);
                            }
                        });
                    },
                    [] {});
            };
            if (i == 0) {
                deliver();
            } else {
                at(milliseconds(pick(2000)), deliver);
            }
        }
        at(milliseconds(300), [this, p, life, ended, is_answered] {
            on_poller(p, life, [this, p, ended, is_answered] {
                if (!std::exchange(*is_answered, true)) {
                    step_failover(p, ended);
                }
            });
        });
    }

    void execute(std::size_t t, const coordination::send_term_call& call,
                 coordination::term_call_ended& ended) {
        model_target& target = targets_[t];
        bool is_new = false;
        const bool is_accepted = call.is_promote ? target.promote(call.term, call.claimant, is_new)
                                                 : target.fence(call.term, call.claimant);
        ended.outcome = is_accepted ? coordination::call_outcome::accepted
                                    : coordination::call_outcome::refused;
        if (is_accepted) {
            ended.status = target.get_status(now_);
        }
        if (is_new) {
            checker_.add_promotion(call.term, t, target.log);
        }
    }

    void act(std::size_t, const poller_pointer&, const coordination::set_writes_paused&) {}
    void act(std::size_t, const poller_pointer&, const coordination::primary_change_finished&) {}
    void act(std::size_t, const poller_pointer&, const coordination::promotion_seen&) {}

    void act(std::size_t, const poller_pointer&, const coordination::promotion_finished& finished) {
        reports_.push_back(finished.report);
    }

    void heartbeat(std::size_t t) {
        at(milliseconds(100), [this, t] { heartbeat(t); });
        if (is_down_[t] || frozen_until_[t] > now_ || !targets_[t].is_unfenced_primary()) {
            return;
        }
        stream(t);
    }

    void stream(std::size_t t) {
        const model_stream message = targets_[t].make_stream();
        for (std::size_t u = 0; u < target_count; ++u) {
            if (u == t || cut_stream_[t][u]) {
                continue;
            }
            const milliseconds delay(pick(1 + static_cast<int>(options_.max_stream_delay.count())));
            at(delay, [this, t, u, message] {
                if (!is_down_[u] && !cut_stream_[t][u] && frozen_until_[u] <= now_) {
                    const std::size_t limit = chance(0.2) ? 1 : message.log.size();
                    targets_[u].receive(message, limit, now_);
                }
            });
        }
    }

    void write() {
        at(milliseconds(30 + pick(60)), [this] { write(); });
        for (std::size_t t = 0; t < target_count; ++t) {
            model_target& target = targets_[t];
            if (!is_down_[t] && frozen_until_[t] <= now_ && target.is_unfenced_primary()) {
                target.log.push_back(++writes_);
                checker_.add_write(writes_, target.follow_term, target.log.size());
                if (chance(0.7)) {
                    stream(t);
                }
            }
        }
    }

    simulation_options options_;
    std::mt19937_64 random_;
    double loss_;
    const time_point origin_{std::chrono::hours(1)};
    time_point now_{std::chrono::hours(1)};
    std::uint64_t sequence_ = 0;
    std::priority_queue<scheduled> events_;
    std::array<model_target, target_count> targets_;
    std::vector<poller_pointer> pollers_;
    std::array<std::array<bool, target_count>, 8> cut_target_{};
    std::array<std::array<bool, 8>, 8> cut_peer_{};
    std::array<std::array<bool, target_count>, target_count> cut_stream_{};
    std::array<bool, target_count> is_down_{};
    std::array<time_point, target_count> frozen_until_{};
    survival_checker checker_;
    std::vector<coordination::promotion_report> reports_;
    int writes_ = 0;
    std::size_t acknowledged_at_heal_ = 0;
};

}  // namespace hornbeamhook::tests
