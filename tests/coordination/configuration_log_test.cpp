#include "coordination/configuration_log.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "support/configuration_samples.h"
#include "support/random_seed.h"

namespace hornbeamhook::coordination {
namespace {

using state::configuration;
using state::configuration_change;
using tests::make_change;
using tests::make_pool;
using tests::make_target;

std::vector<configuration_change> number(std::vector<configuration_change> changes,
                                         std::uint64_t first = 1) {
    for (configuration_change& change : changes) {
        change.version = first++;
    }
    return changes;
}

configuration make_base() {
    return adopt_changes({}, number({make_change("c1", {make_pool("p"), make_target("p/a")}),
                                     make_change("c2", {make_target("p/b")})}))
        .config;
}

// Guards against changes adopted out of order, twice, or across a gap.
TEST(configuration_log, adopts_only_the_next_versions_in_order) {
    const std::vector<configuration_change> all =
        number({make_change("c1", {make_pool("p", 1)}), make_change("c2", {make_pool("p", 2)}),
                make_change("c3", {make_pool("p", 3)})});
    const adoption_result shuffled = adopt_changes({}, {all[2], all[0], all[1], all[0]});
    EXPECT_EQ(shuffled.config.version, 3U);
    EXPECT_EQ(shuffled.adopted, all);
    const adoption_result with_gap = adopt_changes({}, {all[0], all[2]});
    EXPECT_EQ(with_gap.config.version, 1U);
    EXPECT_EQ(with_gap.gap, (version_gap{2, 2}));
    const adoption_result late = adopt_changes(shuffled.config, {all[0], all[1]});
    EXPECT_EQ(late.config, shuffled.config);
    EXPECT_TRUE(late.adopted.empty());
    EXPECT_FALSE(late.gap);
}

// Guards against an invalid change that stops the log without saying why.
TEST(configuration_log, reports_an_invalid_change) {
    const adoption_result result = adopt_changes(
        {}, number({make_change("c1", {make_pool("p")}), make_change("c2", {make_target("q/a")}),
                    make_change("c3", {make_pool("r")})}));
    EXPECT_EQ(result.config.version, 1U);
    EXPECT_NE(result.error.find("pool \"q\" does not exist"), std::string::npos) << result.error;
}

// Guards against a version that falls, whatever changes arrive and in whatever order.
TEST(configuration_log, never_reverts) {
    const std::uint64_t seed = tests::get_seed("configuration log", std::random_device{}());
    std::mt19937_64 random(seed);
    std::vector<configuration_change> all;
    for (int i = 0; i < 60; ++i) {
        all.push_back(make_change("c" + std::to_string(i), {make_pool("p", i + 1)}));
    }
    all = number(all);
    configuration config;
    for (int round = 0; round < 300; ++round) {
        std::vector<configuration_change> some;
        for (int i = 0; i < 4; ++i) {
            some.push_back(all[random() % std::min<std::size_t>(all.size(), config.version + 3)]);
        }
        const std::uint64_t before = config.version;
        config = adopt_changes(config, some).config;
        ASSERT_GE(config.version, before);
        if (config.version > 0) {
            ASSERT_EQ(config.find_pool("p")->queue_length, static_cast<int>(config.version));
        }
    }
    EXPECT_GT(config.version, 0U);
}

// Guards against an operator who overwrites a change that was made after reading.
TEST(configuration_log, detects_conflicts_per_object) {
    const configuration base = make_base();
    const change_draft draft = make_draft(base, make_change("d", {make_target("p/a", 5)}));
    const auto after = [&](configuration_change change) {
        return adopt_changes(base, number({std::move(change)}, 3)).config;
    };
    EXPECT_TRUE(find_conflicts(draft, after(make_change("x", {make_target("p/b", 9)}))).empty());
    EXPECT_TRUE(find_conflicts(draft, after(make_change("x", {make_pool("p", 9)}))).empty());
    const auto same = find_conflicts(draft, after(make_change("x", {make_target("p/a", 9)})));
    EXPECT_EQ(same, (std::vector<object_conflict>{{"target", "p/a", 1, 3}}));
    const auto dropped = find_conflicts(draft, after(make_change("x", {}, {{"target", "p/a"}})));
    EXPECT_EQ(dropped, (std::vector<object_conflict>{{"target", "p/a", 1, 0}}));
    const auto no_pool = find_conflicts(draft, after(make_change("x", {}, {{"pool", "p"}})));
    EXPECT_EQ(no_pool,
              (std::vector<object_conflict>{{"target", "p/a", 1, 0}, {"pool", "p", 1, 0}}));
}

// Guards against dropping a pool with a target that the operator has not seen.
TEST(configuration_log, dropping_a_pool_conflicts_with_changes_of_its_targets) {
    const configuration base = make_base();
    const change_draft draft = make_draft(base, make_change("d", {}, {{"pool", "p"}}));
    EXPECT_TRUE(find_conflicts(draft, base).empty());
    for (const char* target : {"p/a", "p/new"}) {
        const configuration after =
            adopt_changes(base, number({make_change("x", {make_target(target, 9)})}, 3)).config;
        const auto conflicts = find_conflicts(draft, after);
        ASSERT_EQ(conflicts.size(), 1U) << target;
        EXPECT_EQ(conflicts[0].name, target);
    }
}

// Guards against two operators who create the same object, the second overwriting the first.
TEST(configuration_log, creating_an_existing_object_conflicts) {
    const change_draft draft = make_draft({}, make_change("d", {make_pool("p")}));
    EXPECT_EQ(find_conflicts(draft, make_base()),
              (std::vector<object_conflict>{{"pool", "p", 0, 1}}));
}

// Guards against a lost answer reported as failure although the change is in the log.
TEST(commit, a_lost_answer_is_resolved_by_change_id) {
    const configuration base = make_base();
    commit_step step = begin_commit(base, make_draft(base, make_change("d", {make_pool("q")})));
    EXPECT_EQ(step.action, commit_action(read_log{2, false}));
    step = advance_commit(step.state, log_read_completed{2, 10, {}});
    const auto* sent = std::get_if<send_commit>(&step.action);
    ASSERT_NE(sent, nullptr);
    const configuration_change change = sent->change;
    EXPECT_EQ(change.version, 3U);
    EXPECT_EQ(sent->head_row_version, 10U);
    step = advance_commit(step.state, commit_call_failed{true, 3, "timeout"});
    EXPECT_EQ(step.action, commit_action(read_log{2, true}));
    step = advance_commit(step.state, log_read_completed{3, 11, {change}});
    EXPECT_EQ(step.state.result, commit_result(commit_succeeded{3}));
    EXPECT_EQ(step.state.current.version, 3U);
}

// Guards against "unavailable" (nothing changed) for a change that may still take effect.
TEST(commit, an_unresolved_lost_answer_is_unknown) {
    const configuration base = make_base();
    commit_step step = begin_commit(base, make_draft(base, make_change("d", {make_pool("q")})));
    step = advance_commit(step.state, log_read_completed{2, 10, {}});
    step = advance_commit(step.state, commit_call_failed{true, 3, "timeout"});
    const commit_step unresolved = advance_commit(step.state, commit_deadline_passed{});
    EXPECT_TRUE(std::holds_alternative<commit_unknown>(*unresolved.state.result));
    // Another change has the version now, so the lost one can never take effect.
    const auto other = number({make_change("x", {make_pool("r")})}, 3);
    step = advance_commit(step.state, log_read_completed{3, 11, other});
    EXPECT_TRUE(std::holds_alternative<send_commit>(step.action));
    const commit_step resolved = advance_commit(step.state, commit_deadline_passed{});
    EXPECT_TRUE(std::holds_alternative<commit_unavailable>(*resolved.state.result));
}

// Guards against an invalid change that is sent, or retried forever.
TEST(commit, an_invalid_change_is_rejected_before_sending) {
    const configuration base = make_base();
    commit_step step =
        begin_commit(base, make_draft(base, make_change("d", {make_target("none/a")})));
    step = advance_commit(step.state, log_read_completed{2, 10, {}});
    EXPECT_TRUE(std::holds_alternative<commit_rejected>(*step.state.result));
}

/** A model of the table service in which messages are lost, late or repeated. */
class model_store {
public:
    explicit model_store(std::uint64_t seed) : random_(seed) {}

    commit_event read(std::uint64_t after) {
        deliver_late();
        if (random_() % 5 == 0) {
            return log_read_failed{"lost"};
        }
        std::vector<configuration_change> changes;
        for (const configuration_change& change : log) {
            if (change.version > after) {
                changes.push_back(change);
            }
        }
        return log_read_completed{log.size(),
                                  log.empty() ? std::nullopt : std::optional(row_version_),
                                  std::move(changes)};
    }

    commit_event commit(const send_commit& message) {
        deliver_late();
        switch (random_() % 5) {
            case 0:
                return commit_call_failed{false, message.change.version, "refused"};
            case 1:
                late_.push_back(message);
                return commit_call_failed{true, message.change.version, "late"};
            case 2:
                apply(message);
                return commit_call_failed{true, message.change.version, "answer lost"};
            default:
                return commit_answered{apply(message), message.change.version};
        }
    }

    /** Delivers all messages in flight, after all operators gave up or finished. */
    void deliver_all() {
        for (const send_commit& message : late_) {
            apply(message);
        }
        late_.clear();
    }

    std::vector<configuration_change> log;

private:
    bool apply(const send_commit& message) {
        const bool holds = message.head_row_version
                               ? !log.empty() && *message.head_row_version == row_version_
                               : log.empty();
        if (!holds) {
            return false;
        }
        ++row_version_;
        log.push_back(message.change);
        return true;
    }

    void deliver_late() {
        if (!late_.empty() && random_() % 3 == 0) {
            const send_commit message = late_.front();
            late_.pop_front();
            apply(message);
        }
    }

    std::mt19937_64 random_;
    std::uint64_t row_version_ = 100;
    std::deque<send_commit> late_;
};

// Guards against lost, duplicated or wrongly reported changes of concurrent operators on a store
// that loses, delays and refuses messages: exactly one wins per object and base version.
TEST(commit, concurrent_operators_on_an_unreliable_store) {
    const std::uint64_t first_seed = tests::get_seed("configuration log", std::random_device{}());
    int unknown = 0;
    int conflicts = 0;
    for (std::uint64_t seed = first_seed; seed < first_seed + 300; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        model_store store(seed * 3 + 1);
        constexpr std::size_t operators = 6;
        std::vector<commit_step> steps;
        std::vector<std::string> objects;
        for (std::size_t i = 0; i < operators; ++i) {
            objects.push_back("p" + std::to_string(random() % 3));
            const auto change = make_change("id" + std::to_string(i),
                                            {make_pool(objects.back(), static_cast<int>(i) + 1)});
            steps.push_back(begin_commit({}, make_draft({}, change)));
        }
        for (int turn = 0; turn < 400; ++turn) {
            commit_step& step = steps[random() % operators];
            if (const auto* read = std::get_if<read_log>(&step.action)) {
                const bool is_late = random() % 60 == 0;
                step = advance_commit(step.state, is_late ? commit_event(commit_deadline_passed{})
                                                          : store.read(read->after));
            } else if (const auto* send = std::get_if<send_commit>(&step.action)) {
                step = advance_commit(step.state, store.commit(*send));
            }
        }
        for (commit_step& step : steps) {
            step = advance_commit(step.state, commit_deadline_passed{});
        }
        store.deliver_all();
        std::map<std::string, int> times_in_log;
        std::map<std::string, int> winners;
        for (const configuration_change& change : store.log) {
            ++times_in_log[change.change_id];
            ++winners[change.puts[0].name];
        }
        for (const auto& [id, times] : times_in_log) {
            EXPECT_EQ(times, 1) << id;
        }
        for (const auto& [object, count] : winners) {
            EXPECT_EQ(count, 1) << object;
        }
        for (std::size_t i = 0; i < operators; ++i) {
            const bool is_in_log = times_in_log.contains("id" + std::to_string(i));
            const commit_result& result = *steps[i].state.result;
            if (const auto* done = std::get_if<commit_succeeded>(&result)) {
                ASSERT_TRUE(is_in_log) << i;
                EXPECT_EQ(store.log[done->version - 1].change_id, "id" + std::to_string(i));
            } else if (std::holds_alternative<commit_unknown>(result)) {
                ++unknown;
            } else {
                EXPECT_FALSE(is_in_log) << i << " was told that nothing changed";
                const bool is_conflict = std::holds_alternative<commit_conflict>(result);
                conflicts += is_conflict ? 1 : 0;
                EXPECT_TRUE(!is_conflict || winners.contains(objects[i]));
            }
        }
        EXPECT_EQ(adopt_changes({}, store.log).config.version, store.log.size());
    }
    EXPECT_GT(conflicts, 0);
    EXPECT_GT(unknown, 0);
    std::cout << "seeds " << first_seed << " to " << first_seed + 299 << ", conflicts " << conflicts
              << ", unknown " << unknown << "\n";
}

}  // namespace
}  // namespace hornbeamhook::coordination
