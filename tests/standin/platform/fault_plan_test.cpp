#include "standin/platform/fault_plan.h"

#include <gtest/gtest.h>

#include "standin/platform/platform_settings.h"
#include "state/state_error.h"

namespace hornbeamhook::standin::platform {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

std::string update(fault_plan& plan, const json& object) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(plan.update(object));
            return std::string();
        },
        [](const state::state_error& error) { return error.message; },
        [] { return std::string("other error"); });
}

// Guards against an update that resets faults it does not name.
TEST(fault_plan, an_update_keeps_other_faults) {
    fault_plan plan({});
    EXPECT_EQ(update(plan, {{"latency_ms", 30}}), "");
    EXPECT_EQ(update(plan, {{"outage", "hang"}}), "");
    EXPECT_EQ(plan.get_settings().latency, std::chrono::milliseconds(30));
    EXPECT_EQ(plan.decide("").outage, outage_kind::hang);
}

// Guards against a wrong fault that is accepted in part.
TEST(fault_plan, a_wrong_update_changes_nothing) {
    fault_plan plan({});
    const std::string message = update(plan, {{"latency_ms", 30}, {"outage", "sometimes"}});
    EXPECT_NE(message.find("faults.outage"), std::string::npos) << message;
    EXPECT_NE(message.find("refuse"), std::string::npos) << message;
    EXPECT_EQ(plan.get_settings().latency.count(), 0);
    EXPECT_NE(update(plan, {{"lose_answer_rate", 1.5}}), "");
    EXPECT_NE(update(plan, {{"fog", 1}}), "");
}

// Guards against lost answers that cannot be repeated from their seed.
TEST(fault_plan, the_same_seed_loses_the_same_answers) {
    fault_plan plan({});
    std::vector<bool> runs[2];
    for (std::vector<bool>& run : runs) {
        ASSERT_EQ(update(plan, {{"lose_answer_rate", 0.5}, {"seed", 7}}), "");
        for (int i = 0; i < 100; ++i) {
            run.push_back(plan.decide("t").is_answer_lost);
        }
    }
    EXPECT_EQ(runs[0], runs[1]);
    EXPECT_NE(std::count(runs[0].begin(), runs[0].end(), true), 0);
    EXPECT_NE(std::count(runs[0].begin(), runs[0].end(), false), 0);
    EXPECT_FALSE(plan.decide("").is_answer_lost);
}

// Guards against settings errors that do not name the field and what is allowed.
TEST(platform_settings, names_wrong_fields) {
    const std::string message = leaf::try_handle_all(
        []() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(
                parse_platform_settings({{"listen_address", "127.0.0.1:1"}, {"threads", 0}}));
            return std::string();
        },
        [](const state::state_error& error) { return error.message; },
        [] { return std::string("other error"); });
    EXPECT_EQ(message, "threads: 0 is not allowed; allowed: an integer from 1 to 64");
}

}  // namespace
}  // namespace hornbeamhook::standin::platform
