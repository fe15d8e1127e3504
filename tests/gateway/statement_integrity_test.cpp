// Sessions with random statements, over few connections, to a target that parses strictly. What ran
// is compared with what each session was acknowledged.

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <map>
#include <random>
#include <set>

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
using tests::test_caller;
using tests::test_vm;

/** What a run consists of. */
struct integrity_options {
    bool is_hostile = false;        ///< Texts that look like parts of messages.
    double setup_refusal_rate = 0;  ///< Of set-up statements that the target refuses.
    double setup_loss_rate = 0;     ///< Of set-up statements that are not answered.
    double data_fault_rate = 0;     ///< Of other statements that fail or are not answered.
    std::size_t sessions_per_vm = 8;
    std::int64_t run_ms = 3000;
};

/** A statement as its caller sent it, and the state of its session. */
struct sent_statement {
    std::string text;  ///< As reference_run has it.
    std::optional<reference_statement> prepared;
    std::map<std::string, std::string> values;
    std::string transaction;  ///< Id of the BEGIN; empty outside of a transaction.
    bool is_write = false;
};

enum class local_statement { none, set_value, prepare, close_prepared, begin, rollback };

/** One session of a caller: what it was acknowledged, and its outstanding statement. */
struct integrity_session {
    std::unique_ptr<test_caller> caller;
    std::size_t vm = 0;
    std::map<std::string, std::string> values;
    std::map<std::string, reference_statement> prepared;
    std::string transaction;
    std::string outstanding;  ///< Id; empty without an outstanding statement.
    bool is_started = false;
    local_statement local = local_statement::none;
    std::string local_name;
    std::string local_value;
    reference_statement local_prepared;
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

/** Two homes beside a primary, and two VMs that reach it only through these. */
class integrity_run {
public:
    integrity_run(std::uint64_t seed, const integrity_options& options)
        : options_(options), random_(seed), texts_(random_, options.is_hostile) {
        const transport::endpoint address = *transport::parse_endpoint(tests::get_free_address());
        target_ = std::make_unique<reference_target>(
            loop_, address, "t1", [this](bool is_setup) { return draw_fault(is_setup); });
        for (const auto& [name, place] :
             {std::pair("home-1", "near"), std::pair("home-2", "near"), std::pair("home-3", "near"),
              std::pair("near-4", "near"), std::pair("entry", "far")}) {
            vms_.push_back(std::make_unique<test_vm>(loop_, codec_, name, place));
        }
        std::vector<fleet_member> live;
        for (const auto& vm : vms_) {
            live.push_back(vm->member);
        }
        configuration value;
        value.version = 1;
        value.routes["strict"] = {"strict", "g", read_policy::primary, 0, 800, 400, 1};
        value.connection_limits["g"] = 4;
        for (const auto& vm : vms_) {
            vm->engine.set_configuration(value);
            vm->engine.set_fleet(live, static_cast<int>(live.size()));
            vm->engine.update_target("t1",
                                     target_entry{"t1", "g", address, "near", 1, 2, false, true});
        }
        renew_leases();
    }

    /** Runs sessions for the time of the options, then checks what ran. */
    void run() {
        for (std::size_t i = 0; i < options_.sessions_per_vm * vms_.size(); ++i) {
            sessions_.emplace_back().vm = i % vms_.size();
        }
        const std::int64_t end = transport::get_boot_time() + options_.run_ms;
        while (transport::get_boot_time() < end) {
            renew_leases();
            for (integrity_session& session : sessions_) {
                step(session);
            }
            uv_run(loop_.get_handle(), UV_RUN_ONCE);
        }
        check_runs();
        std::cout << "statements " << sent_.size() << ", answered " << answered_ << ", refused "
                  << refused_ << ", in doubt " << in_doubt_ << ", most prepared "
                  << target_->max_prepared_count << '\n';
        EXPECT_GT(answered_, 100U);
    }

    std::size_t get_in_doubt() const { return in_doubt_; }

private:
    target_fault draw_fault(bool is_setup) {
        const double value = std::uniform_real_distribution<>(0, 1)(random_);
        if (is_setup) {
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
        return faults[random_() % faults.size()];
    }

    void renew_leases() {
        const std::int64_t now = transport::get_boot_time();
        for (const auto& vm : vms_) {
            vm->engine.get_groups()["g"].name = "g";
            vm->engine.get_groups()["g"].lease.confirm({"t1", 1, {}, 10}, now);
        }
    }

    void step(integrity_session& session) {
        if (session.caller && session.caller->is_ended) {
            reset(session);
        }
        if (!session.caller) {
            session.caller = std::make_unique<test_caller>(loop_, vms_[session.vm]->caller_address);
            session.caller->send("STARTUP strict u");
            return;
        }
        if (!session.is_started) {
            session.is_started = !session.caller->lines.empty();
            session.caller->lines.clear();
            return;
        }
        if (!session.outstanding.empty()) {
            const auto& lines = session.caller->lines;
            if (!lines.empty() && lines.back().starts_with("READY ")) {
                handle_answer(session);
            } else if (random_() % 20000 == 0) {
                reset(session);  // The caller leaves without waiting for the answer.
            }
            return;
        }
        send_next(session);
    }

    static void reset(integrity_session& session) {
        const std::size_t vm = session.vm;
        session = {};
        session.vm = vm;
    }

    void send(integrity_session& session, const std::string& text, local_statement local) {
        session.outstanding = "i" + std::to_string(++last_id_);
        session.local = local;
        session.caller->lines.clear();
        session.caller->send("QUERY " + session.outstanding + " " + text);
    }

    void send_data(integrity_session& session, const std::string& text, sent_statement statement) {
        statement.values = session.values;
        statement.transaction = session.transaction;
        send(session, text, local_statement::none);
        sent_[session.outstanding] = std::move(statement);
    }

    void send_next(integrity_session& session) {
        switch (random_() % 12) {
            case 0:
                session.local_name = texts_.make_word();
                session.local_value = random_() % 8 == 0 ? "" : texts_.make_text();
                send(session, "SET " + session.local_name + " " + session.local_value,
                     local_statement::set_value);
                return;
            case 1:
            case 2:
                session.local_name = texts_.make_word();
                session.local_prepared = {random_() % 2 == 0, texts_.make_text()};
                send(session,
                     "PARSE " + session.local_name +
                         (session.local_prepared.is_write ? " WRITE " : " READ ") +
                         session.local_prepared.shape,
                     local_statement::prepare);
                return;
            case 3:
                if (session.transaction.empty()) {
                    send(session, "BEGIN", local_statement::begin);
                    session.local_name = session.outstanding;
                } else if (random_() % 3 == 0) {
                    send(session, "ROLLBACK", local_statement::rollback);
                } else {
                    send_data(session, "COMMIT", {.text = "COMMIT"});
                }
                return;
            case 4:
                if (!session.prepared.empty()) {
                    session.local_name = session.prepared.begin()->first;
                    send(session, "CLOSE " + session.local_name, local_statement::close_prepared);
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

    void handle_answer(integrity_session& session) {
        const std::vector<std::string> lines = session.caller->lines;
        const std::string id = std::exchange(session.outstanding, {});
        ++answered_;
        const std::string& result = lines.size() > 1 ? lines[lines.size() - 2] : lines.back();
        const std::string ready = lines.back().substr(0, 7);
        if (result.starts_with("ERROR")) {
            handle_error(session, id, result, ready);
            return;
        }
        if (session.local == local_statement::none) {
            check_answer(id, lines);
            if (sent_[id].text == "COMMIT" && !sent_[id].prepared) {
                session.transaction.clear();
            }
        } else {
            acknowledge_local(session);
        }
    }

    static void acknowledge_local(integrity_session& session) {
        switch (session.local) {
            case local_statement::set_value:
                session.values[session.local_name] = session.local_value;
                return;
            case local_statement::prepare:
                session.prepared[session.local_name] = session.local_prepared;
                return;
            case local_statement::close_prepared:
                session.prepared.erase(session.local_name);
                return;
            case local_statement::begin:
                session.transaction = session.local_name;
                return;
            case local_statement::rollback:
                session.transaction.clear();
                return;
            case local_statement::none:
                return;
        }
    }

    void handle_error(integrity_session& session, const std::string& id, const std::string& result,
                      const std::string& ready) {
        ++refused_;
        in_doubt_ += result.starts_with("ERROR INDOUBT") ? 1 : 0;
        for (const char* promise : {"ERROR BUSY", "ERROR ABORTED", "ERROR READONLY"}) {
            if (result.starts_with(promise) && sent_.contains(id)) {
                // In a transaction the promise covers all of its statements.
                promised_.insert(sent_[id].transaction.empty() ? id : sent_[id].transaction);
            }
        }
        if (session.local != local_statement::none || ready != "READY I") {
            reset(session);
        } else {
            session.transaction.clear();
        }
    }

    void check_answer(const std::string& id, const std::vector<std::string>& lines) {
        const std::string proof = lines[lines.size() - 2];
        const auto run = std::find_if(
            target_->runs.rbegin(), target_->runs.rend(),
            [&](const reference_run& entry) { return "COMPLETE " + entry.proof == proof; });
        ASSERT_TRUE(run != target_->runs.rend()) << "answer without a run: " << proof;
        EXPECT_EQ(run->id, id) << "another statement's answer";
        const std::vector<std::string> rows(lines.begin(), lines.end() - 2);
        EXPECT_EQ(rows, run->row.empty() ? std::vector<std::string>{}
                                         : std::vector<std::string>{"DATAROW " + run->row});
    }

    void check_runs() const {
        EXPECT_TRUE(target_->violations.empty())
            << target_->violations.size() << " violations, first: " << target_->violations.front();
        std::size_t differing = 0;
        std::string first;
        std::map<std::string, int> connection_of;
        std::map<std::string, int> commits;
        for (const reference_run& run : target_->runs) {
            const auto sent = sent_.find(run.id);
            if (sent == sent_.end()) {
                ADD_FAILURE() << "nobody sent " << run.id << " " << run.text;
                continue;
            }
            const sent_statement& expected = sent->second;
            const bool is_same = run.text == expected.text && run.prepared == expected.prepared &&
                                 run.transaction == expected.transaction;
            const bool is_same_state = run.values == expected.values;
            if (!is_same || !is_same_state) {
                ++differing;
                first = !first.empty()
                            ? first
                            : (is_same ? "other session values: " : "other statement: ") +
                                  describe(expected) + " ran as " +
                                  describe({run.text, run.prepared, run.values, run.transaction,
                                            run.is_write});
            }
            if (!run.transaction.empty()) {
                const auto [entry, is_new] = connection_of.emplace(run.transaction, run.connection);
                EXPECT_EQ(entry->second, run.connection) << "transaction on two connections";
            }
            commits[run.id] += run.is_committed ? 1 : 0;
            EXPECT_LE(commits[run.id], 1) << "written twice: " << run.text.substr(0, 100);
            EXPECT_FALSE(run.is_committed &&
                         promised_.contains(run.transaction.empty() ? run.id : run.transaction))
                << "kept although its caller was told otherwise: " << run.text.substr(0, 100);
        }
        EXPECT_EQ(differing, 0U) << "of " << target_->runs.size() << " runs; first: " << first;
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
    std::unique_ptr<reference_target> target_;
    std::vector<std::unique_ptr<test_vm>> vms_;
    std::vector<integrity_session> sessions_;
    std::map<std::string, sent_statement> sent_;
    std::set<std::string> promised_;  ///< Ids that the caller was told have no effect.
    std::uint64_t last_id_ = 0;
    std::size_t answered_ = 0;
    std::size_t refused_ = 0;
    std::size_t in_doubt_ = 0;
};

/** Runs seeds until one fails; HORNBEAMHOOK_RUNS sets how many. Returns the statements in doubt. */
std::size_t run_seeds(const integrity_options& options) {
    const char* runs = std::getenv("HORNBEAMHOOK_RUNS");
    const std::uint64_t count = runs == nullptr ? 2 : std::strtoull(runs, nullptr, 10);
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

// The control: without odd texts and faults nothing differs, on any version of the program.
TEST(statement_integrity, plain_texts_without_faults) {
    EXPECT_EQ(run_seeds({}), 0U);
}

}  // namespace
}  // namespace hornbeamhook::gateway
