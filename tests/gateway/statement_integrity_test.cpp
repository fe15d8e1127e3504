// Sessions with random statements, over few connections, to targets that parse strictly. What ran
// is compared with what each session was acknowledged.

#include <gtest/gtest.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include "gateway/limit_exchange.h"
#include "platform/wire_codec.h"
#include "support/random_seed.h"
#include "support/reference_target.h"
#include "support/test_caller.h"
#include "support/test_vm.h"

namespace hornbeamhook::gateway {
namespace {

using tests::reference_run;
using tests::reference_statement;
using tests::reference_target;
using tests::target_fault;
using tests::target_step;
using tests::test_caller;
using tests::test_vm;

/** What a run consists of. */
struct integrity_options {
    bool is_hostile = false;        ///< Texts that look like parts of messages.
    double setup_refusal_rate = 0;  ///< Of set-up statements that the target refuses.
    double setup_loss_rate = 0;     ///< Of set-up statements that are not answered.
    double data_fault_rate = 0;     ///< Of other statements that fail or are not answered.
    bool has_replica = false;       ///< Reads go to a replica too, which lags at times.
    bool has_disturbances = false;  ///< Connections, leases, homes and lists fail in series.
    double unexpected_rate = 0;     ///< Of answers that are late or tell an unexpected state.
    bool has_leaving_callers = false;
    bool has_pipelines = false;  ///< Several statements are sent without waiting.
    /// Callers have keys of organisations, which change; one organisation is limited and sends more
    /// than the others.
    bool has_organisations = false;
    std::size_t sessions_per_vm = 8;
    std::int64_t run_ms = 3000;
    std::uint64_t default_runs = 2;
};

/** A statement as its caller sent it, and the state of its session. */
struct sent_statement {
    std::string text;  ///< As reference_run has it.
    std::optional<reference_statement> prepared;
    std::map<std::string, std::string> values;
    std::string transaction;  ///< Id of the BEGIN; empty outside of a transaction.
    bool is_write = false;
    std::size_t vm = 0;
    std::string database;
    std::string key;  ///< Of its session.
    std::int64_t sent_at = 0;
    std::uint64_t required_position = 0;  ///< That a read has to include.
    bool is_acknowledged = false;
};

/** What one version of the configuration says about the callers. */
struct known_callers {
    std::map<std::string, std::string> holders;  ///< Organisations by key.
    bool is_open_anonymous = true;               ///< The route "open" needs no key.
};

enum class local_statement { none, begin, rollback, other };

/** A statement without its answer. */
struct outstanding_statement {
    std::string id;
    local_statement local = local_statement::none;
    std::string transaction;  ///< That it runs in or ends.
    std::int64_t sent_at = 0;
};

/** One session of a caller, as it is if all outstanding statements succeed. A session that was
 * refused a change of its state ends. */
struct integrity_session {
    std::unique_ptr<test_caller> caller;
    std::size_t vm = 0;
    std::string database;
    std::string key;
    std::int64_t opened_at = 0;
    std::map<std::string, std::string> values;
    std::map<std::string, reference_statement> prepared;
    std::string transaction;
    std::uint64_t begin_position = 0;  ///< Required when the transaction began.
    std::uint64_t last_commit_position = 0;
    std::deque<outstanding_statement> outstanding;
    std::size_t handled_lines = 0;
    std::int64_t waiting_since = 0;  ///< For the answer to the first outstanding statement.
    bool is_started = false;
    bool is_refused = false;  ///< It ends when all of its statements are answered.
};

/** Draws names, shapes and values that collide easily. */
class text_source {
public:
    text_source(std::mt19937_64& random, bool is_hostile)
        : random_(random), is_hostile_(is_hostile) {}

    /** Without a blank. */
    std::string make_word() {
        static constexpr std::array<const char*, 4> plain{"a", "b", "q1", "s"};
        static constexpr std::array<const char*, 10> hostile{
            "a", "b", "READ", "WRITE", "p1", "wq1", "-", "a\tb", "\xff\xc3", "a\nb"};
        return is_hostile_ ? pick(hostile) : pick(plain);
    }

    /** Never empty. */
    std::string make_text() {
        if (!is_hostile_) {
            static constexpr std::array<const char*, 5> plain{"q1", "q2", "q15", "x", "y"};
            return pick(plain);
        }
        static constexpr std::array<const char*, 18> pieces{
            "q1",    "q2",         "READ",     "WRITE",       "DISCARD",  "PARSE",
            "SET a", "q1 READ q2", "WRITE q1", " ",           "  ",       "\t",
            "\n",    "\r",         "-",        "WAITLSN 1.9", "\xc3\xbc", "READY I 1.1"};
        std::string text;
        const int count = 1 + static_cast<int>(random_() % 4);
        for (int i = 0; i < count; ++i) {
            text += pick(pieces);
            text += random_() % 2 == 0 ? " " : "";
        }
        constexpr std::size_t long_bytes = 20000;
        text += random_() % 50 == 0 ? std::string(long_bytes, 'x') : "";
        std::size_t end = 0;
        while ((end = text.find("\r\n")) != std::string::npos) {
            text.erase(end, 1);
        }
        return text;
    }

private:
    template <std::size_t count>
    std::string pick(const std::array<const char*, count>& texts) {
        return texts[random_() % count];
    }

    std::mt19937_64& random_;
    bool is_hostile_;
};

constexpr std::int64_t timeout_ms = 800;            ///< Of the routes.
constexpr std::int64_t max_answer_delay_ms = 2000;  ///< Beyond the time-out.
constexpr std::int64_t staleness_ms = 300;
const std::string no_organisation = "hornbeamhook";  ///< As targets are told it.
const std::string key_prefix = "key-";
/// Limit of the organisation "heavy". The window is longer than a run.
constexpr coordination::limit_terms heavy_terms{100, 50, 5000, 0.1, 20};

/** The tolerance; rate and burst come from the configuration. */
coordination::limit_terms get_common_terms() {
    return {0, 0, heavy_terms.window_ms, heavy_terms.excess, heavy_terms.slack};
}

/** Three homes beside a primary, and two VMs that reach it only through these. */
class integrity_run {
public:
    integrity_run(std::uint64_t seed, const integrity_options& options)
        : options_(options), random_(seed), texts_(random_, options.is_hostile) {
        add_target("t1", true);
        if (options_.has_replica) {
            add_target("t2", false);
        }
        for (const auto& [name, place] :
             {std::pair("home-1", "near"), std::pair("home-2", "near"), std::pair("home-3", "near"),
              std::pair("near-4", "near"), std::pair("entry", "far")}) {
            vms_.push_back(std::make_unique<test_vm>(loop_, codec_, name, place));
        }
        configuration& value = configuration_;
        value.version = 1;
        value.routes["strict"] = {"strict", "g", read_policy::primary, 0, timeout_ms, 400, 1};
        value.routes["bounded"] = {"bounded", "g", read_policy::bounded, staleness_ms, timeout_ms,
                                   400,       1};
        value.routes["own"] = {"own", "g", read_policy::own_writes, staleness_ms, timeout_ms,
                               400,   1};
        value.connection_limits["g"] = 4;
        callers_by_vm_.resize(vms_.size());
        if (options_.has_organisations) {
            add_organisations();
        }
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            const auto& vm = vms_[i];
            vm->engine.set_configuration(value);
            callers_by_vm_[i].emplace_back(0, callers_);
            set_fleet(*vm, "");
            for (const auto& [id, target] : targets_) {
                list_target(*vm, id);
            }
        }
        lease_missing_until_.resize(vms_.size());
        renew_leases();
    }

    /** Runs sessions for the time of the options, then checks what ran. */
    void run() {
        for (std::size_t i = 0; i < options_.sessions_per_vm * vms_.size(); ++i) {
            sessions_.emplace_back().vm = i % vms_.size();
        }
        const std::int64_t end = transport::get_boot_time() + options_.run_ms;
        last_loop_at_ = transport::get_boot_time();
        while (transport::get_boot_time() < end) {
            allow_for_stall();
            update_targets();
            run_later();
            if (options_.has_organisations) {
                change_callers();
                exchange_limits();
            }
            if (options_.has_disturbances) {
                disturb();
            }
            renew_leases();
            for (integrity_session& session : sessions_) {
                step(session);
            }
            uv_run(loop_.get_handle(), UV_RUN_ONCE);
        }
        check_runs();
        std::cout << "statements " << sent_.size() << ", answered " << answered_ << ", refused "
                  << refused_ << ", in doubt " << in_doubt_ << ", sessions ended " << ended_
                  << ", stalls " << stalls_ << ", read at the replica " << get_replica_runs()
                  << ", lagging "
                  << (targets_.contains("t2") ? targets_["t2"].server->lagging_answers : 0)
                  << ", most prepared " << targets_["t1"].server->max_prepared_count << '\n';
        if (options_.has_organisations) {
            std::cout << "versions " << configuration_.version << ", sessions refused by key "
                      << refused_keys_ << ", runs";
            for (const auto& [name, count] : count_runs_by_organisation()) {
                std::cout << ' ' << name << ' ' << count;
                EXPECT_GT(count, 0U) << name;
            }
            const std::size_t heavy = count_heavy_operations();
            std::cout << ", operations of heavy " << heavy << '\n';
            EXPECT_LE(static_cast<double>(heavy), coordination::get_window_allowance(heavy_terms));
            EXPECT_GT(refused_keys_, 0U);
        }
        EXPECT_GT(answered_, 100U);
        EXPECT_EQ(options_.has_replica, get_replica_runs() > 0);
    }

    std::size_t get_in_doubt() const { return in_doubt_; }

private:
    /** A target with what the VMs are told of it. */
    struct listed_target {
        transport::endpoint address;
        bool is_primary = false;
        std::int64_t started_at = 1;
        std::unique_ptr<reference_target> server;
    };

    void add_target(const std::string& id, bool is_primary) {
        listed_target& target = targets_[id];
        target.address = *transport::parse_endpoint(tests::get_free_address());
        target.is_primary = is_primary;
        target.server = std::make_unique<reference_target>(
            loop_, target.address, id, is_primary,
            [this](target_step step) { return draw_fault(step); });
    }

    void list_target(test_vm& vm, const std::string& id) {
        const listed_target& target = targets_[id];
        vm.engine.update_target(id, target_entry{id, "g", target.address, "near", target.started_at,
                                                 2, false, target.is_primary});
    }

    /** Lists the whole fleet except `missing`. */
    void set_fleet(test_vm& vm, const std::string& missing) {
        std::vector<fleet_member> live;
        for (const auto& other : vms_) {
            if (other->member.vm != missing || other.get() == &vm) {
                live.push_back(other->member);
            }
        }
        vm.engine.set_fleet(live, static_cast<int>(vms_.size()));
    }

    /** "heavy" is limited, and half of the sessions use its key. */
    void add_organisations() {
        EXPECT_GE(sodium_init(), 0);
        std::vector<std::string> names;
        for (const auto& vm : vms_) {
            names.push_back(vm->member.vm);
        }
        const std::int64_t now = transport::get_boot_time();
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            session_engine& engine = vms_[i]->engine;
            limits_.push_back(std::make_unique<limit_exchange>(
                names[i], i + 1, get_common_terms(), now,
                limit_exchange_owner{
                    .find_organisation =
                        [&engine](const std::string& name) {
                            return engine.find_organisation_by_name(name);
                        },
                    .send =
                        [this](const std::string& vm, const peer_message& message) {
                            limit_messages_.emplace_back(vm, message);
                        },
                    .dispatch = [&engine](const std::string& group) { engine.dispatch(group); }}));
            limits_.back()->set_members(names, static_cast<std::int64_t>(names.size()), now);
            engine.set_identifies_callers(true);
            engine.set_shares_fairly(true);
            engine.set_operation_gate(limits_.back().get());
        }
        for (const char* name : {"heavy", "anna", "bert", "cleo"}) {
            configuration_.organisations.organisations[name].name = name;
            callers_.holders[key_prefix + name] = name;
            for (auto& [id, target] : targets_) {
                target.server->organisations.insert(name);
                target.server->forbidden_text = key_prefix;
            }
        }
        configuration_.organisations.organisations["heavy"].limit =
            operation_limit{heavy_terms.rate_per_s, heavy_terms.burst};
        configuration_.routes["open"] = {"open", "g", read_policy::primary, 0, timeout_ms, 400,
                                         1,      true};
        set_keys();
    }

    void set_keys() {
        configuration_.organisations.names.clear();
        for (const auto& [key, name] : callers_.holders) {
            configuration_.organisations.names[make_key_digest(key)] = name;
        }
        configuration_.routes["open"].is_anonymous = callers_.is_open_anonymous;
    }

    std::string draw_key() {
        static constexpr std::array<const char*, 8> names{"heavy", "heavy", "heavy", "heavy",
                                                          "anna",  "bert",  "cleo",  "unknown"};
        return key_prefix + names[random_() % names.size()];
    }

    /** New versions revoke, add and move keys, and reach the VMs one after the other. */
    void change_callers() {
        const std::int64_t now = transport::get_boot_time();
        if (now < next_version_at_) {
            return;
        }
        constexpr std::int64_t max_interval_ms = 200;
        next_version_at_ = now + static_cast<std::int64_t>(random_() % max_interval_ms);
        static constexpr std::array<const char*, 4> names{"heavy", "anna", "bert", "cleo"};
        const std::string name = names[random_() % names.size()];
        switch (random_() % 6) {
            case 0:
                callers_.holders.erase(key_prefix + name);
                break;
            case 1:
                callers_.holders[key_prefix + name] = names[random_() % names.size()];
                break;
            case 2:
                callers_.is_open_anonymous = !callers_.is_open_anonymous;
                break;
            default:
                callers_.holders[key_prefix + name] = name;
                break;
        }
        ++configuration_.version;
        set_keys();
        constexpr std::int64_t max_delay_ms = 100;
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            later_.emplace(now + static_cast<std::int64_t>(random_() % max_delay_ms),
                           [this, i, value = configuration_, callers = callers_] {
                               adopt(i, value, callers);
                           });
        }
    }

    void adopt(std::size_t vm, const configuration& value, const known_callers& callers) {
        if (value.version <= adopted_versions_[vm]) {
            return;
        }
        adopted_versions_[vm] = value.version;
        callers_by_vm_[vm].emplace_back(transport::get_boot_time(), callers);
        vms_[vm]->engine.set_configuration(value);
    }

    void exchange_limits() {
        const std::int64_t now = transport::get_boot_time();
        if (now >= next_limit_tick_at_) {
            next_limit_tick_at_ = now + limit_tick_ms;
            for (const auto& each : limits_) {
                each->tick(now);
            }
        }
        for (const auto& [vm, message] : std::exchange(limit_messages_, {})) {
            for (std::size_t i = 0; i < vms_.size(); ++i) {
                if (vms_[i]->member.vm != vm) {
                    continue;
                }
                if (const auto* request = std::get_if<coordination::limit_request>(&message)) {
                    limits_[i]->handle(*request, now);
                } else if (const auto* answer = std::get_if<coordination::limit_answer>(&message)) {
                    limits_[i]->handle(*answer, now);
                }
            }
        }
    }

    /** Names under which the session's VM may have run something at a time from `begin` to `end`;
     * an empty name if it had to refuse then. */
    std::set<std::string> list_organisations(std::size_t vm, const std::string& database,
                                             const std::string& key, bool is_in_transaction,
                                             std::int64_t begin, std::int64_t end) const {
        std::set<std::string> result;
        const auto& versions = callers_by_vm_[vm];
        for (std::size_t i = 0; i < versions.size() && versions[i].first <= end; ++i) {
            if (i + 1 < versions.size() && versions[i + 1].first < begin) {
                continue;
            }
            const known_callers& known = versions[i].second;
            const auto holder = known.holders.find(key);
            const std::string name = holder == known.holders.end() ? "" : holder->second;
            const bool is_anonymous = database == "open" && known.is_open_anonymous;
            result.insert(is_anonymous ? no_organisation : name);
            if (is_anonymous && is_in_transaction) {
                result.insert(name);  // It began when the route needed a key.
            }
        }
        return result;
    }

    std::map<std::string, std::size_t> count_runs_by_organisation() const {
        std::map<std::string, std::size_t> result;
        for (const auto& [id, target] : targets_) {
            for (const std::string& name : target.server->organisations) {
                result.try_emplace(name);
            }
            for (const reference_run& run : target.server->runs) {
                ++result[run.organisation];
            }
        }
        return result;
    }

    /** A transaction is one operation, also if it was begun several times. */
    std::size_t count_heavy_operations() const {
        std::set<std::string> operations;
        for (const auto& [id, target] : targets_) {
            for (const reference_run& run : target.server->runs) {
                if (run.organisation == "heavy") {
                    operations.insert(run.transaction.empty() ? run.id : run.transaction);
                }
            }
        }
        return operations.size();
    }

    /** Compares the answer to the start of a session with what its VM knew meanwhile. */
    void check_start(const integrity_session& session) {
        const std::string& answer = session.caller->lines.front();
        const bool is_refused = answer.starts_with("ERROR AUTHFAIL");
        refused_keys_ += is_refused ? 1 : 0;
        EXPECT_TRUE(is_refused || answer.starts_with("READY")) << answer;
        const std::set<std::string> names =
            list_organisations(session.vm, session.database, session.key, false, session.opened_at,
                               transport::get_boot_time());
        const bool may_be = is_refused ? names.contains("") : names != std::set<std::string>{""};
        EXPECT_TRUE(may_be) << session.key << " on " << session.database << ": " << answer;
    }

    /** A session that was ended because of its key has run nothing that was outstanding. */
    void note_end(const integrity_session& session) {
        const auto& lines = session.caller->lines;
        if (session.is_started && session.handled_lines < lines.size() &&
            lines.back().starts_with("ERROR AUTHFAIL")) {
            for (const outstanding_statement& statement : session.outstanding) {
                unauthorised_.insert(statement.id);
            }
        }
    }

    double draw() { return std::uniform_real_distribution<>(0, 1)(random_); }

    template <std::size_t count>
    target_fault draw_one(const std::array<target_fault, count>& faults) {
        return faults[random_() % count];
    }

    target_fault draw_fault(target_step step) {
        if (options_.unexpected_rate > 0 && draw() < options_.unexpected_rate) {
            const target_fault fault = draw_unexpected(step);
            if (fault == target_fault::run_late || fault == target_fault::answer_late) {
                constexpr std::int64_t max_late_ms = 1500;  // Later than the time-out at times.
                for (auto& [id, target] : targets_) {
                    target.server->late_ms = static_cast<std::int64_t>(random_() % max_late_ms);
                }
            }
            return fault;
        }
        const bool is_fault_free = step == target_step::start || step == target_step::rollback;
        if (is_fault_free) {
            return target_fault::none;
        }
        const double value = draw();
        if (step == target_step::setup) {
            if (value < options_.setup_refusal_rate) {
                return random_() % 2 == 0 ? target_fault::refuse : target_fault::run_and_refuse;
            }
            if (value < options_.setup_refusal_rate + options_.setup_loss_rate) {
                return random_() % 2 == 0 ? target_fault::stay_silent
                                          : target_fault::close_connection;
            }
            return target_fault::none;
        }
        if (value >= options_.data_fault_rate) {
            return target_fault::none;
        }
        static constexpr std::array<target_fault, 3> faults{
            target_fault::refuse, target_fault::stay_silent, target_fault::close_connection};
        return draw_one(faults);
    }

    target_fault draw_unexpected(target_step step) {
        switch (step) {
            case target_step::start:
                return draw_one(std::array{target_fault::limit, target_fault::reject});
            case target_step::setup:
                return draw_one(std::array{target_fault::run_late, target_fault::answer_late,
                                           target_fault::fail_after, target_fault::roll_back_after,
                                           target_fault::open_transaction,
                                           target_fault::refuse_as_busy});
            case target_step::begin:
                return draw_one(std::array{target_fault::run_late, target_fault::answer_late,
                                           target_fault::run_and_close, target_fault::fail_after,
                                           target_fault::roll_back_after,
                                           target_fault::refuse_as_busy});
            case target_step::data:
                return draw_one(std::array{target_fault::run_late, target_fault::answer_late,
                                           target_fault::run_and_close, target_fault::fail_after,
                                           target_fault::roll_back_after, target_fault::roll_back,
                                           target_fault::open_transaction,
                                           target_fault::refuse_as_busy});
            case target_step::commit:
                return draw_one(std::array{target_fault::run_late, target_fault::answer_late,
                                           target_fault::run_and_close, target_fault::refuse,
                                           target_fault::refuse_as_busy, target_fault::roll_back,
                                           target_fault::open_transaction});
            case target_step::rollback:
                return draw_one(std::array{target_fault::run_late, target_fault::answer_late,
                                           target_fault::run_and_close, target_fault::refuse,
                                           target_fault::refuse_as_busy,
                                           target_fault::open_transaction});
        }
        return target_fault::none;
    }

    /** Time in which this process, the VMs included, did not run is no wait for an answer; all
     * time-outs may have passed in it. */
    void allow_for_stall() {
        constexpr std::int64_t min_stall_ms = 300;
        const std::int64_t now = transport::get_boot_time();
        const std::int64_t gap_ms = now - std::exchange(last_loop_at_, now);
        if (gap_ms < min_stall_ms) {
            return;
        }
        ++stalls_;
        connections_ended_at_ = now;
        for (integrity_session& session : sessions_) {
            session.waiting_since += gap_ms;
        }
    }

    /** Answers what is due, and lets the replica receive what the primary wrote. */
    void update_targets() {
        const std::int64_t now = transport::get_boot_time();
        for (auto& [id, target] : targets_) {
            target.server->poll(now);
        }
        positions_[now] = targets_["t1"].server->position;
        if (targets_.contains("t2") && now >= replica_lags_until_) {
            targets_["t2"].server->position = targets_["t1"].server->position;
            // Longer than the bound at times.
            replica_lags_until_ =
                now + static_cast<std::int64_t>(random_() % 20 == 0 ? random_() % (2 * staleness_ms)
                                                                    : random_() % 20);
        }
    }

    /** The position that covers all commits acknowledged before `since`. */
    std::uint64_t get_position(std::int64_t since) const {
        const auto next = positions_.lower_bound(since);
        return next == positions_.begin() ? 0 : std::prev(next)->second;
    }

    /** Ends disturbances that are over, and lets VMs learn what is due. */
    void run_later() {
        const std::int64_t now = transport::get_boot_time();
        while (!later_.empty() && later_.begin()->first <= now) {
            const auto action = later_.begin()->second;
            later_.erase(later_.begin());
            action();
        }
    }

    /** Begins disturbances, several at a time. */
    void disturb() {
        const std::int64_t now = transport::get_boot_time();
        if (now < next_disturbance_at_) {
            return;
        }
        constexpr std::int64_t max_interval_ms = 150;
        next_disturbance_at_ = now + static_cast<std::int64_t>(random_() % max_interval_ms);
        constexpr std::int64_t max_duration_ms = 600;
        const std::int64_t end = now + static_cast<std::int64_t>(random_() % max_duration_ms);
        const std::size_t index = random_() % vms_.size();
        test_vm& vm = *vms_[index];
        auto target = targets_.begin();
        std::advance(target, random_() % targets_.size());
        switch (random_() % 7) {
            case 0:
                connections_ended_at_ = now;
                target->second.server->drop_connections();
                return;
            case 1:
                connections_ended_at_ = now;
                target->second.server->drop_connections();
                ++target->second.started_at;
                for (const auto& other : vms_) {
                    later_.emplace(now + static_cast<std::int64_t>(random_() % 100),
                                   [this, &other, id = target->first] {
                                       connections_ended_at_ = transport::get_boot_time();
                                       list_target(*other, id);
                                   });
                }
                return;
            case 2:
                connections_ended_at_ = now;
                vm.engine.close_all_sessions();
                return;
            case 3:
                connections_ended_at_ = now;
                vm.engine.end_all_sessions();
                return;
            case 4:
                if (vm.peers) {
                    vm.peers.reset();
                    later_.emplace(end, [this, &vm] {
                        vm.peers = std::make_unique<transport::tcp_listener>(
                            loop_, vm.member.peer_address, [&vm](const auto& stream) {
                                vm.engine.accept(stream, session_origin::peer);
                            });
                    });
                }
                return;
            case 5:
                lease_missing_until_[index] = end;
                vm.engine.get_groups()["g"].lease.expire();
                return;
            default:
                set_fleet(vm, vms_[random_() % vms_.size()]->member.vm);
                later_.emplace(end, [this, &vm] { set_fleet(vm, ""); });
                return;
        }
    }

    void renew_leases() {
        const std::int64_t now = transport::get_boot_time();
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            target_group& group = vms_[i]->engine.get_groups()["g"];
            group.name = "g";
            if (now < lease_missing_until_[i]) {
                continue;
            }
            group.lease.confirm({"t1", 1, {}, 10}, now);
            if (options_.has_replica) {
                group.history.add({1, targets_["t1"].server->position}, now);
            }
        }
    }

    void step(integrity_session& session) {
        const std::int64_t now = transport::get_boot_time();
        if (!session.caller) {
            static constexpr std::array<const char*, 3> databases{"strict", "bounded", "own"};
            session.database = options_.has_replica ? databases[random_() % 3] : "strict";
            session.caller = std::make_unique<test_caller>(loop_, vms_[session.vm]->caller_address);
            if (options_.has_organisations) {
                session.database = random_() % 6 == 0 ? "open" : session.database;
                session.key = draw_key();
            }
            session.caller->send("STARTUP " + session.database + " " +
                                 (options_.has_organisations ? session.key : "u"));
            session.waiting_since = now;
            session.opened_at = now;
            return;
        }
        if (!session.is_started) {
            session.is_started = !session.caller->lines.empty();
            session.handled_lines = session.caller->lines.size();
            if (session.is_started && options_.has_organisations) {
                check_start(session);
            }
        }
        while (session.caller && !session.outstanding.empty() && take_answer(session)) {
        }
        if (session.caller && session.caller->is_ended) {
            ++ended_;
            note_end(session);
            reset(session);
        }
        if (!session.caller) {
            return;
        }
        if (!session.is_started || !session.outstanding.empty()) {
            if (now - session.waiting_since > timeout_ms + max_answer_delay_ms) {
                ADD_FAILURE() << "no answer: "
                              << (session.is_started ? session.outstanding.front().id : "start");
                reset(session);
            } else if (random_() % (options_.has_leaving_callers ? 500 : 20000) == 0) {
                reset(session);  // The caller leaves without waiting for the answer.
            }
            return;
        }
        if (session.is_refused) {
            reset(session);
            return;
        }
        session.handled_lines = 0;
        session.caller->lines.clear();
        bool was_open = !session.transaction.empty();
        send_next(session);
        constexpr int max_pipelined = 12;
        for (int i = 0; options_.has_pipelines && session.caller && i < max_pipelined; ++i) {
            const bool is_open = !session.transaction.empty();
            // A change of state that failed with the transaction ends the session, so nothing is
            // sent ahead behind the end of a transaction.
            if ((was_open && !is_open) || (!is_open && random_() % 2 == 0)) {
                break;
            }
            was_open = is_open;
            send_next(session);
        }
    }

    /** Handles the next complete answer; false without one. */
    bool take_answer(integrity_session& session) {
        const auto& lines = session.caller->lines;
        const auto begin = lines.begin() + static_cast<std::ptrdiff_t>(session.handled_lines);
        const auto ready = std::find_if(
            begin, lines.end(), [](const std::string& line) { return line.starts_with("READY "); });
        if (ready == lines.end()) {
            return false;
        }
        const std::vector<std::string> answer(begin, ready + 1);
        session.handled_lines += answer.size();
        const outstanding_statement statement = session.outstanding.front();
        session.outstanding.pop_front();
        session.waiting_since = transport::get_boot_time();
        handle_answer(session, statement, answer);
        return true;
    }

    static void reset(integrity_session& session) {
        const std::size_t vm = session.vm;
        session = {};
        session.vm = vm;
    }

    std::string send(integrity_session& session, const std::string& text, local_statement local) {
        const std::string id = "i" + std::to_string(++last_id_);
        const std::int64_t now = transport::get_boot_time();
        if (session.outstanding.empty()) {
            session.waiting_since = now;
        }
        session.outstanding.push_back({id, local, session.transaction, now});
        session.caller->send("QUERY " + id + " " + text);
        return id;
    }

    void send_data(integrity_session& session, const std::string& text, sent_statement statement) {
        statement.values = session.values;
        statement.transaction = session.transaction;
        statement.vm = session.vm;
        statement.database = session.database;
        statement.key = session.key;
        statement.sent_at = transport::get_boot_time();
        statement.required_position =
            session.transaction.empty() ? get_required_position(session) : session.begin_position;
        const std::string id = send(session, text, local_statement::none);
        sent_[id] = std::move(statement);
    }

    std::uint64_t get_required_position(const integrity_session& session) const {
        const std::int64_t now = transport::get_boot_time();
        if (session.database == "strict" || session.database == "open") {
            return get_position(now);
        }
        const std::uint64_t bound = get_position(now - staleness_ms);
        return session.database == "own" ? std::max(bound, session.last_commit_position) : bound;
    }

    void begin(integrity_session& session) {
        session.begin_position = get_required_position(session);
        const bool is_reading = options_.has_replica && random_() % 2 == 0;
        session.transaction =
            send(session, is_reading ? "BEGIN READ" : "BEGIN", local_statement::begin);
    }

    void end_transaction(integrity_session& session) {
        if (random_() % 3 == 0) {
            send(session, "ROLLBACK", local_statement::rollback);
        } else {
            commit_sent_.insert(session.transaction);
            send_data(session, "COMMIT", {.text = "COMMIT"});
        }
        session.transaction.clear();
    }

    void send_next(integrity_session& session) {
        switch (random_() % 12) {
            case 0: {
                const std::string name = texts_.make_word();
                const std::string value = random_() % 8 == 0 ? "" : texts_.make_text();
                send(session, "SET " + name + " " + value, local_statement::other);
                session.values[name] = value;
                return;
            }
            case 1:
            case 2: {
                const std::string name = texts_.make_word();
                const reference_statement prepared{random_() % 2 == 0, texts_.make_text()};
                send(session,
                     "PARSE " + name + (prepared.is_write ? " WRITE " : " READ ") + prepared.shape,
                     local_statement::other);
                session.prepared[name] = prepared;
                return;
            }
            case 3:
                if (session.transaction.empty()) {
                    begin(session);
                } else {
                    end_transaction(session);
                }
                return;
            case 4:
                if (!session.prepared.empty()) {
                    const std::string name = session.prepared.begin()->first;
                    send(session, "CLOSE " + name, local_statement::other);
                    session.prepared.erase(name);
                    return;
                }
                break;
            case 5:
                if (random_() % 10 == 0) {
                    reset(session);
                    return;
                }
                break;
            default:
                break;
        }
        const std::string item = texts_.make_word();
        if (!session.prepared.empty() && random_() % 3 != 0) {
            auto entry = session.prepared.begin();
            std::advance(entry, random_() % session.prepared.size());
            const std::string argument = item + " " + texts_.make_text();
            send_data(
                session, "EXECUTE " + entry->first + " " + argument,
                {.text = argument, .prepared = entry->second, .is_write = entry->second.is_write});
        } else if (random_() % 2 == 0) {
            const std::string text = "WRITE " + item + " " + texts_.make_text();
            send_data(session, text, {.text = text, .is_write = true});
        } else {
            const std::string text = "READ " + texts_.make_text();
            send_data(session, text, {.text = text});
        }
    }

    void handle_answer(integrity_session& session, const outstanding_statement& statement,
                       const std::vector<std::string>& lines) {
        ++answered_;
        const std::string& result = lines.size() > 1 ? lines[lines.size() - 2] : lines.back();
        if (result.starts_with("ERROR")) {
            handle_error(session, statement, result, lines.back());
        } else if (statement.local == local_statement::none) {
            check_answer(session, statement.id, lines);
        }
    }

    void handle_error(integrity_session& session, const outstanding_statement& statement,
                      const std::string& result, const std::string& ready) {
        ++refused_;
        const auto sent = sent_.find(statement.id);
        if (result.starts_with("ERROR INDOUBT")) {
            ++in_doubt_;
            // A VM cannot tell whether a connection that was closed has delivered the statement.
            const bool may_be_unknown = connections_ended_at_ >= statement.sent_at;
            EXPECT_TRUE(may_be_unknown || is_received(statement.id))
                << "in doubt, but at no target: " << statement.id;
        }
        for (const char* promise :
             {"BUSY", "ABORTED", "READONLY", "LAGGING", "WRONGNODE", "CONNLIMIT"}) {
            if (result.starts_with(std::string("ERROR ") + promise) && sent != sent_.end()) {
                // In a transaction the promise covers all of its statements.
                promised_.insert(statement.transaction.empty() ? statement.id
                                                               : statement.transaction);
            }
        }
        if (statement.local != local_statement::none || !ready.starts_with("READY I")) {
            session.is_refused = true;
        } else if (session.transaction == statement.transaction) {
            session.transaction.clear();
        }
    }

    bool is_received(const std::string& id) const {
        return std::any_of(targets_.begin(), targets_.end(), [&](const auto& entry) {
            return entry.second.server->received.contains(id);
        });
    }

    std::size_t get_replica_runs() const {
        const auto replica = targets_.find("t2");
        return replica == targets_.end() ? 0 : replica->second.server->runs.size();
    }

    void check_answer(integrity_session& session, const std::string& id,
                      const std::vector<std::string>& lines) {
        const std::string proof = lines[lines.size() - 2];
        const reference_run* run = nullptr;
        for (const auto& [name, target] : targets_) {
            const auto& runs = target.server->runs;
            const auto found = std::find_if(
                runs.rbegin(), runs.rend(),
                [&](const reference_run& entry) { return "COMPLETE " + entry.proof == proof; });
            run = found == runs.rend() ? run : &*found;
        }
        ASSERT_TRUE(run != nullptr) << "answer without a run: " << proof;
        EXPECT_EQ(run->id, id) << "another statement's answer";
        const std::vector<std::string> rows(lines.begin(), lines.end() - 2);
        EXPECT_EQ(rows, run->row.empty() ? std::vector<std::string>{}
                                         : std::vector<std::string>{"DATAROW " + run->row});
        sent_statement& sent = sent_[id];
        sent.is_acknowledged = true;
        const bool is_read = !sent.is_write && sent.text != "COMMIT";
        if (is_read) {
            EXPECT_GE(run->position, sent.required_position) << "stale read " << id;
        } else if (run->is_committed || (sent.text == "COMMIT" && !run->is_reading)) {
            session.last_commit_position = std::max(session.last_commit_position, run->position);
        }
    }

    /** Ids of the statements that ran in a transaction, by connection. */
    using transaction_runs = std::map<std::string, std::set<std::string>>;

    /** A transaction runs on one connection; only its first statement may have been tried on others
     * before. */
    void check_transactions(const std::map<std::string, transaction_runs>& transactions) const {
        std::map<std::string, std::string> first_ids;
        for (const auto& [id, statement] : sent_) {
            std::string& first = first_ids[statement.transaction];
            const bool is_earlier =
                first.empty() || std::pair(id.size(), id) < std::pair(first.size(), first);
            first = is_earlier ? id : first;
        }
        for (const auto& [transaction, connections] : transactions) {
            const std::string& first = first_ids[transaction];
            int continued = 0;
            for (const auto& [connection, ids] : connections) {
                continued += ids.size() > 1 || !ids.contains(first) ? 1 : 0;
                EXPECT_TRUE(ids.contains(first))
                    << "transaction " << transaction << " without its first statement " << first
                    << " on connection " << connection;
            }
            EXPECT_LE(continued, 1) << "transaction on two connections: " << transaction;
        }
    }

    void check_runs() const {
        std::size_t count = 0;
        std::size_t differing = 0;
        std::string first;
        std::map<std::string, transaction_runs> transactions;
        std::map<std::string, int> commits;
        for (const auto& [name, target] : targets_) {
            const auto& violations = target.server->violations;
            EXPECT_TRUE(violations.empty())
                << violations.size() << " violations, first: " << violations.front();
            for (const reference_run& run : target.server->runs) {
                ++count;
                const std::string difference = check_run(run, transactions, commits);
                differing += difference.empty() ? 0 : 1;
                first = first.empty() ? difference : first;
            }
        }
        EXPECT_EQ(differing, 0U) << "of " << count << " runs; first: " << first;
        check_transactions(transactions);
        check_acknowledged(commits);
    }

    /** How the run differs from what its caller sent; empty if it does not. */
    std::string check_run(const reference_run& run,
                          std::map<std::string, transaction_runs>& transactions,
                          std::map<std::string, int>& commits) const {
        const auto sent = sent_.find(run.id);
        if (sent == sent_.end()) {
            ADD_FAILURE() << "nobody sent " << run.id << " " << run.text;
            return {};
        }
        const sent_statement& expected = sent->second;
        if (options_.has_organisations) {
            const std::set<std::string> names =
                list_organisations(expected.vm, expected.database, expected.key,
                                   !expected.transaction.empty(), expected.sent_at, run.arrived_at);
            EXPECT_TRUE(names.contains(run.organisation))
                << run.id << " with " << expected.key << " on " << expected.database << " ran for "
                << run.organisation;
            EXPECT_FALSE(unauthorised_.contains(run.id)) << "ran although refused: " << run.id;
        }
        if (!run.transaction.empty()) {
            transactions[run.transaction][run.connection].insert(run.id);
        }
        commits[run.id] += run.is_committed ? 1 : 0;
        EXPECT_LE(commits[run.id], 1) << "written twice: " << run.text.substr(0, 100);
        EXPECT_FALSE(run.is_committed &&
                     promised_.contains(run.transaction.empty() ? run.id : run.transaction))
            << "kept although its caller was told otherwise: " << run.id << " "
            << run.text.substr(0, 100);
        EXPECT_FALSE(run.is_committed && !run.transaction.empty() &&
                     !commit_sent_.contains(run.transaction))
            << "committed although its caller sent no COMMIT: " << run.id;
        const bool is_same = run.text == expected.text && run.prepared == expected.prepared &&
                             run.transaction == expected.transaction;
        if (is_same && run.values == expected.values) {
            return {};
        }
        return (is_same ? "other session values: " : "other statement: ") + run.id + " " +
               describe(expected) + " ran as " +
               describe({run.text, run.prepared, run.values, run.transaction, run.is_write});
    }

    /** Writes that were acknowledged are kept, those of a transaction if its COMMIT was. */
    void check_acknowledged(std::map<std::string, int>& commits) const {
        std::set<std::string> committed;
        for (const auto& [id, statement] : sent_) {
            if (statement.is_acknowledged && statement.text == "COMMIT") {
                committed.insert(statement.transaction);
            }
        }
        for (const auto& [id, statement] : sent_) {
            const bool must_be_kept =
                statement.is_acknowledged && statement.is_write &&
                (statement.transaction.empty() || committed.contains(statement.transaction));
            EXPECT_TRUE(!must_be_kept || commits[id] == 1) << "acknowledged but not kept: " << id;
        }
    }

    static std::string describe(const sent_statement& statement) {
        constexpr std::size_t shown_bytes = 60;
        std::string text = "\"" + statement.text.substr(0, shown_bytes) + "\"";
        if (statement.prepared) {
            text += std::string(statement.prepared->is_write ? " WRITE" : " READ") + " \"" +
                    statement.prepared->shape.substr(0, shown_bytes) + "\"";
        }
        for (const auto& [name, value] : statement.values) {
            text += " " + name + "=" + value.substr(0, shown_bytes);
        }
        return text + (statement.transaction.empty() ? "" : " in " + statement.transaction);
    }

    integrity_options options_;
    std::mt19937_64 random_;
    text_source texts_;
    transport::event_loop loop_;
    platform::wire_codec codec_;
    std::map<std::string, listed_target> targets_;
    configuration configuration_;  ///< The newest one; VMs learn of it later.
    known_callers callers_;        ///< The same, as keys.
    std::vector<std::vector<std::pair<std::int64_t, known_callers>>> callers_by_vm_;  ///< By time.
    std::map<std::size_t, std::int64_t> adopted_versions_;                            ///< By VM.
    std::vector<std::unique_ptr<limit_exchange>> limits_;                             ///< By VM.
    std::vector<std::pair<std::string, peer_message>> limit_messages_;
    std::int64_t next_limit_tick_at_ = 0;
    std::int64_t next_version_at_ = 0;
    std::set<std::string> unauthorised_;  ///< Ids of statements that were refused for their key.
    std::size_t refused_keys_ = 0;
    std::vector<std::unique_ptr<test_vm>> vms_;
    std::map<std::int64_t, std::uint64_t> positions_;  ///< Of the primary, by time.
    std::int64_t replica_lags_until_ = 0;
    std::multimap<std::int64_t, std::function<void()>> later_;  ///< Ends of disturbances, by time.
    std::int64_t next_disturbance_at_ = 0;
    std::int64_t connections_ended_at_ = 0;  ///< By a disturbance or time-out of all.
    std::int64_t last_loop_at_ = 0;
    std::size_t stalls_ = 0;
    std::vector<std::int64_t> lease_missing_until_;  ///< By VM.
    std::vector<integrity_session> sessions_;
    std::map<std::string, sent_statement> sent_;
    std::set<std::string> promised_;     ///< Ids that the caller was told have no effect.
    std::set<std::string> commit_sent_;  ///< Transactions whose caller sent COMMIT.
    std::uint64_t last_id_ = 0;
    std::size_t ended_ = 0;
    std::size_t answered_ = 0;
    std::size_t refused_ = 0;
    std::size_t in_doubt_ = 0;
};

/** Runs seeds until one fails; HORNBEAMHOOK_RUNS sets how many. Returns the statements in doubt. */
std::size_t run_seeds(const integrity_options& options) {
    const char* runs = std::getenv("HORNBEAMHOOK_RUNS");
    const std::uint64_t count =
        runs == nullptr ? options.default_runs : std::strtoull(runs, nullptr, 10);
    const std::uint64_t first = tests::get_seed("statement_integrity", 1);
    std::signal(SIGPIPE, SIG_IGN);  // Writes to a connection that was reset, as the programs do.
    std::size_t in_doubt = 0;
    for (std::uint64_t seed = first; seed < first + count && !testing::Test::HasFailure(); ++seed) {
        const testing::ScopedTrace trace(__FILE__, __LINE__, "seed " + std::to_string(seed));
        integrity_run run(seed, options);
        run.run();
        in_doubt += run.get_in_doubt();
    }
    return in_doubt;
}

// Guards against texts of callers that a target reads as names, or as parts of other messages.
TEST(statement_integrity, texts_are_not_read_as_parts_of_messages) {
    EXPECT_EQ(run_seeds({.is_hostile = true}), 0U);
}

// Guards against statements that run although the target refused to set up their connection, and
// against callers that are left in doubt although the statement was not sent.
TEST(statement_integrity, statements_do_not_run_after_a_refused_setup) {
    constexpr double refusal_rate = 0.1;
    EXPECT_EQ(run_seeds({.setup_refusal_rate = refusal_rate}), 0U);
}

// Guards against the same when the answers to set-up statements do not come.
TEST(statement_integrity, statements_do_not_run_after_an_unanswered_setup) {
    constexpr double loss_rate = 0.02;
    EXPECT_EQ(run_seeds({.setup_loss_rate = loss_rate}), 0U);
}

// Guards against any of these when other statements fail or are not answered too.
TEST(statement_integrity, all_faults_together) {
    run_seeds({.is_hostile = true,
               .setup_refusal_rate = 0.1,
               .setup_loss_rate = 0.01,
               .data_fault_rate = 0.02});
}

// Guards against stale reads, and against statements on the wrong kind of target.
TEST(statement_integrity, reads_at_a_replica) {
    EXPECT_EQ(run_seeds({.has_replica = true, .run_ms = 2000, .default_runs = 1}), 0U);
}

// Guards against effects and answers that are not the session's when connections, homes, leases and
// lists of VMs fail in series.
TEST(statement_integrity, overlapping_disturbances) {
    run_seeds({.has_replica = true, .has_disturbances = true, .run_ms = 2000, .default_runs = 1});
}

// Guards against trust in a target that answers late or tells another transaction state.
TEST(statement_integrity, unexpected_answers) {
    run_seeds({.has_replica = true, .unexpected_rate = 0.02, .run_ms = 2000, .default_runs = 1});
}

// Guards against transactions and set-ups that go on after their caller has left, and against
// pipelined statements that run although an earlier one failed.
TEST(statement_integrity, leaving_and_pipelining_callers) {
    EXPECT_EQ(run_seeds({.has_leaving_callers = true,
                         .has_pipelines = true,
                         .run_ms = 2000,
                         .default_runs = 1}),
              0U);
}

// Guards against statements that run for an organisation which does not hold the key of their
// session, against keys that targets learn, and against versions that are not in force at once.
TEST(statement_integrity, keys_of_organisations_that_change) {
    EXPECT_EQ(run_seeds({.has_organisations = true, .default_runs = 1}), 0U);
}

// Guards against the same while connections, homes and leases fail.
TEST(statement_integrity, keys_that_change_under_disturbances) {
    run_seeds({.setup_refusal_rate = 0.02,
               .data_fault_rate = 0.01,
               .has_replica = true,
               .has_disturbances = true,
               .unexpected_rate = 0.01,
               .has_leaving_callers = true,
               .has_pipelines = true,
               .has_organisations = true,
               .run_ms = 3000,
               .default_runs = 1});
}

// Guards against any of these in combination.
TEST(statement_integrity, all_disturbances_together) {
    run_seeds({.setup_refusal_rate = 0.02,
               .data_fault_rate = 0.01,
               .has_replica = true,
               .has_disturbances = true,
               .unexpected_rate = 0.01,
               .has_leaving_callers = true,
               .has_pipelines = true,
               .run_ms = 2000,
               .default_runs = 1});
}

// The control: without odd texts and faults nothing differs, on any version of the program.
TEST(statement_integrity, plain_texts_without_faults) {
    EXPECT_EQ(run_seeds({}), 0U);
}

}  // namespace
}  // namespace hornbeamhook::gateway
