#include "standin/target/entry_log.h"

#include <gtest/gtest.h>

#include <vector>

namespace hornbeamhook::standin::target {
namespace {

entry_log make_log(const std::vector<state::term_number>& terms) {
    entry_log log;
    for (const state::term_number term : terms) {
        log.push(std::make_shared<const log_entry>(log_entry{.term = term, .statements = "[]"}));
    }
    return log;
}

state::log_position get_common(const std::vector<state::term_number>& first,
                               const std::vector<state::term_number>& second) {
    const entry_log log = make_log(second);
    return make_log(first).get_common_prefix(log.get_runs(), log.get_length());
}

// Guards against keeping a tail the new primary does not have, or discarding what it has.
TEST(entry_log, common_prefix_ends_where_the_terms_differ) {
    EXPECT_EQ(get_common({}, {}), 0U);
    EXPECT_EQ(get_common({1, 1, 1}, {}), 0U);
    EXPECT_EQ(get_common({1, 1, 1}, {1, 1}), 2U);
    EXPECT_EQ(get_common({1, 1}, {1, 1, 1, 2}), 2U);
    EXPECT_EQ(get_common({1, 1, 1}, {1, 1, 2}), 2U);
    EXPECT_EQ(get_common({1, 1, 2, 2}, {1, 1, 1, 3}), 2U);
    EXPECT_EQ(get_common({1, 2, 2, 4}, {1, 2, 2, 2, 5}), 3U);
    EXPECT_EQ(get_common({1, 1, 3}, {2, 2, 2}), 0U);
}

// Guards against runs that still describe discarded entries.
TEST(entry_log, truncation_discards_runs) {
    entry_log log = make_log({1, 1, 2, 3, 3});
    log.truncate(2);
    EXPECT_EQ(log.get_length(), 2U);
    EXPECT_EQ(log.get_runs(), (std::vector<term_run>{{0, 1}}));
    log.truncate(0);
    EXPECT_TRUE(log.get_runs().empty());
}

}  // namespace
}  // namespace hornbeamhook::standin::target
