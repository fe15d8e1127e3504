#include "ctl/platform_rows.h"

#include <gtest/gtest.h>

namespace hornbeamhook::ctl {
namespace {

using nlohmann::json;

json make_record(const std::string& vm, const std::string& pool, int term, std::int64_t at_ms,
                 bool is_second_hand) {
    return {{"vm", vm},
            {"subject", pool},
            {"at_ms", at_ms},
            {"reason", is_second_hand ? "not_known" : "unreachable"},
            {"gap_ms", 700},
            {"is_second_hand", is_second_hand},
            {"details", {{"after", {{"target", "b"}, {"term", term}}}}}};
}

// Guards against one promotion that counts as several, whatever the order of its records.
TEST(merge_failovers, the_claimants_record_stands_for_all_of_its_term) {
    const std::vector<json> merged = merge_failovers({make_record("vm2", "p", 2, 1000, true),
                                                      make_record("vm1", "p", 2, 1030, false),
                                                      make_record("vm3", "p", 2, 1500, true)});
    ASSERT_EQ(merged.size(), 1U);
    EXPECT_EQ(merged[0]["vm"], "vm1");
    EXPECT_EQ(merged[0]["is_second_hand"], false);
    ASSERT_EQ(merged[0]["seen_by"].size(), 2U);
    EXPECT_EQ(merged[0]["seen_by"][0]["vm"], "vm2");
    EXPECT_EQ(merged[0]["seen_by"][1]["vm"], "vm3");
}

// Guards against a promotion that is not told because only its claimant could have recorded it.
TEST(merge_failovers, the_earliest_second_hand_record_stands_in) {
    const std::vector<json> merged = merge_failovers(
        {make_record("vm2", "p", 2, 1000, true), make_record("vm3", "p", 2, 1500, true)});
    ASSERT_EQ(merged.size(), 1U);
    EXPECT_EQ(merged[0]["vm"], "vm2");
    EXPECT_EQ(merged[0]["is_second_hand"], true);
}

// Guards against different promotions that are taken for one: of other pools or terms, or of the
// same term after a pool was created again; and against records of an older version.
TEST(merge_failovers, different_promotions_stay_apart) {
    json old = make_record("vm1", "p", 4, 1000, false);
    old.erase("is_second_hand");
    const std::vector<json> merged = merge_failovers(
        {old, make_record("vm2", "q", 4, 1000, true), make_record("vm2", "p", 5, 1000, true),
         make_record("vm2", "p", 4, 1000 + 700'000, true), json{{"vm", "vm1"}},
         json{{"vm", "vm2"}}});
    EXPECT_EQ(merged.size(), 6U);
    EXPECT_EQ(merged[0]["is_second_hand"], false);
}

}  // namespace
}  // namespace hornbeamhook::ctl
