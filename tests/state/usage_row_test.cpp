#include "state/usage_row.h"

#include <gtest/gtest.h>

#include <random>

#include "state/state_error.h"
#include "support/random_seed.h"

namespace hornbeamhook::state {
namespace {

namespace leaf = boost::leaf;
using std::chrono::microseconds;

// Guards against percentiles that fall below the true value or exceed it by more than a bucket.
TEST(latency_histogram, percentiles_are_close_to_the_exact_ones) {
    const std::uint64_t seed = tests::get_seed("usage row", std::random_device{}());
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> draw(9, 1.5);
    std::vector<std::int64_t> exact;
    latency_histogram histogram;
    for (int i = 0; i < 5000; ++i) {
        exact.push_back(std::clamp<std::int64_t>(std::llround(draw(random)), 100, 50'000'000));
        histogram.add(microseconds(exact.back()));
    }
    std::sort(exact.begin(), exact.end());
    for (const double percent : {1.0, 50.0, 90.0, 99.0, 100.0}) {
        const auto rank = static_cast<std::size_t>(std::ceil(percent / 100 * exact.size()));
        const std::int64_t value = exact[rank - 1];
        const std::int64_t shown = histogram.get_percentile(percent).count();
        EXPECT_GE(shown, value) << percent;
        EXPECT_LE(shown, value * 3 / 2 + 1) << percent;
    }
}

// Guards against wrong buckets at the ends of the range.
TEST(latency_histogram, keeps_values_outside_its_range) {
    latency_histogram histogram;
    EXPECT_EQ(histogram.get_percentile(50).count(), 0);
    histogram.add(microseconds(-5));
    histogram.add(microseconds(0));
    histogram.add(std::chrono::hours(2));
    EXPECT_EQ(histogram.get_count(), 3U);
    EXPECT_EQ(histogram.get_percentile(0).count(), 100);
    EXPECT_EQ(histogram.get_percentile(100), std::chrono::seconds(100));
}

// Guards against sums over proxies that differ from counting at one place.
TEST(latency_histogram, merging_equals_counting_together) {
    latency_histogram one;
    latency_histogram two;
    latency_histogram both;
    for (int i = 0; i < 1000; ++i) {
        (i % 3 == 0 ? one : two).add(microseconds(i * i));
        both.add(microseconds(i * i));
    }
    one.merge(two);
    EXPECT_EQ(one, both);
}

// Guards against rows that change on the way through the table service, and damaged rows.
TEST(usage_row, round_trips_and_refuses_damage) {
    usage_row row{{"2026-12-04T05", "ledger", "bench", "cairo", "vm-1", 7}, {}};
    row.counters.reads = 5;
    row.counters.refused["overloaded"] = 2;
    row.counters.latency.add(microseconds(900));
    const auto parse = [](const nlohmann::json& object) {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<usage_row>> {
                BOOST_LEAF_AUTO(value, parse_usage_row(object));
                return std::optional(value);
            },
            [] { return std::optional<usage_row>(); });
    };
    EXPECT_EQ(parse(to_json(row)), row);
    EXPECT_EQ(row.key.get_row_key(), "2026-12-04T05/ledger/bench/cairo/vm-1/7");
    nlohmann::json damaged = to_json(row);
    damaged["latency"].push_back(1);
    EXPECT_FALSE(parse(damaged));
    damaged = to_json(row);
    damaged["refused"]["overloaded"] = -1;
    EXPECT_FALSE(parse(damaged));
}

}  // namespace
}  // namespace hornbeamhook::state
