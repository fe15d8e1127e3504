#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <set>
#include <sstream>

#include "support/target_group.h"

namespace hornbeamhook::standin::target {
namespace {

using tests::connect;
using tests::eventually;
using tests::exchange_outcome;
using tests::milliseconds;
using tests::run;
using tests::steady_clock;
using tests::target_group;

constexpr int group_size = 3;
constexpr int majority = 2;
constexpr int steps_per_seed = 100;

/** Random operations on a group, with the record of what a majority held in one term. */
class group_trial {
public:
    explicit group_trial(unsigned seed) : random_(seed), group_(group_size) {
        const exchange_outcome outcome =
            run(*connect(group_.get_address(0)), {{"CREATE TABLE part (id INTEGER)", {}}});
        // Every target has the table, so that no promotion discards it.
        const bool is_ready = !outcome.error && eventually([&] {
            return group_.get_status(1).position == 1 && group_.get_status(2).position == 1;
        });
        if (!is_ready) {
            throw std::runtime_error("the group did not start");
        }
    }

    void step() {
        switch (random_() % 10) {
            case 0:
                partition();
                break;
            case 1:
                claim();
                break;
            case 2:
                resume_claim();
                break;
            case 3:
                hold_back();
                break;
            default:
                write();
                break;
        }
        settle();
        observe();
    }

    /** Reconnects everything, promotes by the rule, and checks all targets. */
    void finish() {
        for (int target = 0; target < group_size; ++target) {
            ASSERT_EQ(group_.set_faults(target, {{"cut_peers", nlohmann::json::array()},
                                                 {"replication_lag_ms", 0}}),
                      200);
        }
        pending_.clear();
        claim(group_size);
        ASSERT_GE(primary_, 0);
        const state::target_status lead = group_.get_status(primary_);
        ASSERT_TRUE(eventually([&] {
            for (int target = 0; target < group_size; ++target) {
                if (group_.get_status(target).get_log_end() != lead.get_log_end()) {
                    return false;
                }
            }
            return true;
        })) << "the targets do not converge";
        const std::string expected = get_rows(primary_);
        for (int target = 0; target < group_size; ++target) {
            EXPECT_EQ(get_rows(target), expected) << "target " << target;
        }
        const std::set<std::string> rows = split(expected);
        for (const std::string& id : acknowledged_) {
            lost_ += rows.contains(id) ? 0 : 1;
        }
        EXPECT_EQ(lost_, 0) << "acknowledged writes lost of " << acknowledged_.size();
        for (const std::string& id : refused_) {
            EXPECT_FALSE(rows.contains(id)) << "refused write " << id << " is present";
        }
    }

    std::size_t get_acknowledged() const { return acknowledged_.size(); }
    int get_promotions() const { return promotions_; }

private:
    struct written {
        std::string id;
        state::log_point point;
    };

    /** A claimant that fenced a majority and paused before it promoted. */
    struct paused_claim {
        state::term_number term = 0;
        std::string claimant;
        int chosen = 0;
    };

    int pick() { return static_cast<int>(random_() % group_size); }

    static std::set<std::string> split(const std::string& text) {
        std::set<std::string> parts;
        std::istringstream input(text);
        for (std::string part; std::getline(input, part, ',');) {
            parts.insert(part);
        }
        return parts;
    }

    std::string get_rows(int target) {
        const exchange_outcome outcome =
            run(*connect(group_.get_address(target)),
                {{"SELECT group_concat(id) FROM (SELECT id FROM part ORDER BY id)", {}}});
        return outcome.error ? outcome.error->message : outcome.get_cell();
    }

    void partition() {
        for (int target = 0; target < group_size; ++target) {
            nlohmann::json peers = nlohmann::json::array();
            for (int peer = 0; peer < group_size; ++peer) {
                if (peer != target && random_() % 3 == 0) {
                    peers.push_back(target_group::get_name(peer));
                }
            }
            ASSERT_EQ(group_.set_faults(target, {{"cut_peers", peers}}), 200);
        }
    }

    /** Lets a target ship its log at once, or only heartbeats. */
    void hold_back() {
        constexpr int hour_ms = 3'600'000;
        const int lag_ms = random_() % 2 == 0 ? 0 : hour_ms;
        ASSERT_EQ(group_.set_faults(pick(), {{"replication_lag_ms", lag_ms}}), 200);
    }

    /** Writes at a random target, which may be a superseded primary or none. */
    void write() {
        const int target = random_() % 2 == 0 && primary_ >= 0 ? primary_ : pick();
        const std::string id = std::to_string(++next_id_);
        // A target that discards a tail closes connections while they are being opened.
        const tests::open_outcome opened = tests::open(group_.get_address(target));
        if (!opened.connection) {
            refused_.push_back(id);
            return;
        }
        const exchange_outcome outcome =
            run(*opened.connection, {{"BEGIN", {}},
                                     {"INSERT INTO part VALUES ($1)", {id}},
                                     {"COMMIT", {}},
                                     protocol::make_last_commit_statement()});
        if (outcome.error) {
            if (outcome.error->kind == transport::target_failure_kind::sql_error) {
                ASSERT_EQ(outcome.error->sqlstate, "HB002");
                refused_.push_back(id);
            }
            return;
        }
        const nlohmann::json point =
            nlohmann::json::parse(outcome.results.at(3).rows.at(0).at(0).value());
        unacknowledged_.push_back({id, {point.at("term"), point.at("position")}});
    }

    /** Fences a majority in a new term and promotes by the rule, or pauses in between. */
    void claim(int fenced_count = majority) {
        std::array<int, group_size> order{0, 1, 2};
        std::shuffle(order.begin(), order.end(), random_);
        paused_claim claim{.term = ++highest_term_,
                           .claimant = "claimant-" + std::to_string(highest_term_),
                           .chosen = -1};
        std::optional<state::log_point> best;
        for (int i = 0; i < fenced_count; ++i) {
            const int target = order.at(i);
            ASSERT_EQ(tests::fence(group_, target, claim.term, claim.claimant), "");
            const state::log_point end = group_.get_status(target).get_log_end();
            if (!best || end > *best) {
                best = end;
                claim.chosen = target;
            }
        }
        if (fenced_count == majority && random_() % 3 == 0) {
            pending_.push_back(claim);
            return;
        }
        finish_claim(claim);
    }

    void resume_claim() {
        if (!pending_.empty()) {
            const paused_claim claim = pending_.back();
            pending_.pop_back();
            finish_claim(claim);
        }
    }

    void finish_claim(const paused_claim& claim) {
        const std::string sqlstate =
            tests::promote(group_, claim.chosen, claim.term, claim.claimant);
        if (sqlstate.empty()) {
            primary_ = claim.chosen;
            ++promotions_;
        } else {
            ASSERT_EQ(sqlstate, "HB001");
        }
    }

    /** Gives replication a random time, so that steps meet it in different states. */
    void settle() {
        std::this_thread::sleep_for(milliseconds(random_() % 8 == 0 ? 60 : random_() % 4));
    }

    /** Acknowledges what a majority reports, as a proxy does. */
    void observe() {
        std::vector<state::target_status> statuses;
        for (int target = 0; target < group_size; ++target) {
            statuses.push_back(group_.get_status(target));
        }
        std::erase_if(unacknowledged_, [&](const written& write) {
            const auto holding = std::count_if(statuses.begin(), statuses.end(),
                                               [&](const state::target_status& status) {
                                                   return status.follow_term == write.point.term &&
                                                          status.position >= write.point.position;
                                               });
            if (holding < majority) {
                return false;
            }
            acknowledged_.push_back(write.id);
            return true;
        });
    }

    std::mt19937 random_;
    target_group group_;
    state::term_number highest_term_ = 1;
    int primary_ = 0;
    int next_id_ = 0;
    int lost_ = 0;
    int promotions_ = 0;
    std::vector<paused_claim> pending_;
    std::vector<written> unacknowledged_;
    std::vector<std::string> acknowledged_;
    std::vector<std::string> refused_;
};

class group_property : public ::testing::TestWithParam<unsigned> {};

// Guards against a promotion by the rule of docs/design.md, section 4, that loses a position a
// majority held in one term, also with partitions, paused claimants and superseded primaries.
TEST_P(group_property, positions_held_by_a_majority_survive_promotions) {
    const unsigned seed = GetParam();
    SCOPED_TRACE("seed " + std::to_string(seed));
    group_trial trial(seed);
    for (int step = 0; step < steps_per_seed && !HasFatalFailure(); ++step) {
        trial.step();
    }
    ASSERT_FALSE(HasFatalFailure());
    trial.finish();
    std::cout << "seed=" << seed << " acknowledged=" << trial.get_acknowledged()
              << " promotions=" << trial.get_promotions() << "\n";
}

INSTANTIATE_TEST_SUITE_P(seeds, group_property, ::testing::Range(1U, 13U));

}  // namespace
}  // namespace hornbeamhook::standin::target
