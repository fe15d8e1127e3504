#include "gateway/organisation_counts.h"

#include <gtest/gtest.h>

#include <string>

namespace hornbeamhook::gateway {
namespace {

// many organisations: guards against a list of metrics that grows with the organisations, counts
// that are lost, and a rest that falls.
TEST(organisation_counts, lists_the_most_used_and_sums_the_rest) {
    organisation_counts counts;
    std::int64_t last_rest = 0;
    for (int round = 0; round < 50; ++round) {
        for (int i = 0; i < 2000; ++i) {
            counts.count_granted("o" + std::to_string(i));
            ASSERT_GE(counts.get_rest().granted, last_rest);
            last_rest = counts.get_rest().granted;
        }
        for (int i = 0; i < 100; ++i) {
            counts.count_refused("hot");
        }
    }
    EXPECT_EQ(counts.get_listed().size(), organisation_counts::max_listed);
    ASSERT_TRUE(counts.get_listed().contains("hot"));
    EXPECT_GT(counts.get_listed().at("hot").refused, 4900);
    std::int64_t sum = counts.get_rest().granted;
    std::int64_t refused = counts.get_rest().refused;
    for (const auto& [name, value] : counts.get_listed()) {
        sum += value.granted;
        refused += value.refused;
    }
    EXPECT_EQ(sum, 50 * 2000);
    EXPECT_EQ(refused, 50 * 100);
}

// Guards against names that break the text format, and waiting statements that are not summed.
TEST(organisation_counts, formats_metrics) {
    organisation_counts counts;
    counts.count_granted("a\"b");
    counts.count_refused("a\"b");
    const std::string text = format_operation_metrics(counts, {{"a\"b", 2}, {"x", 3}, {"y", 4}});
    const std::string prefix = "\nhornbeamhook_gateway_limit_";
    EXPECT_NE(text.find(prefix + "granted_total{organisation=\"a\\\"b\"} 1\n"), std::string::npos);
    EXPECT_NE(text.find(prefix + "refused_total{organisation=\"a\\\"b\"} 1\n"), std::string::npos);
    EXPECT_NE(text.find(prefix + "waiting{organisation=\"a\\\"b\"} 2\n"), std::string::npos);
    EXPECT_NE(text.find(prefix + "waiting{rest=\"other\"} 7\n"), std::string::npos);
}

}  // namespace
}  // namespace hornbeamhook::gateway
