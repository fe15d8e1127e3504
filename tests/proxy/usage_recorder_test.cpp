#include "proxy/usage_recorder.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "proxy/usage_ledger.h"
#include "state/state_error.h"
#include "support/platform_fixture.h"
#include "support/random_seed.h"

namespace hornbeamhook::proxy {
namespace {

namespace leaf = boost::leaf;
using std::chrono::microseconds;
using std::chrono::milliseconds;

usage_sample make_read(const std::string& caller, bool is_replica = false) {
    usage_sample sample;
    sample.pool = "ledger";
    sample.caller = caller;
    sample.is_read = true;
    sample.was_served_by_replica = is_replica;
    sample.latency = microseconds(1500);
    return sample;
}

// Guards against counters that mix up reads, writes, refusals and unknown outcomes.
TEST(usage_ledger, counts_each_kind_by_itself) {
    usage_ledger ledger("cairo", "vm-1", 1, 10);
    ledger.record(make_read("bench", true), "h1");
    ledger.record(make_read("bench"), "h1");
    usage_sample sample = make_read("bench");
    sample.refusal = "overloaded";
    ledger.record(sample, "h1");
    sample = make_read("bench");
    sample.is_read = false;
    sample.is_unknown = true;
    ledger.record(sample, "h1");
    const auto writes = ledger.get_changed(10, {});
    ASSERT_EQ(writes.size(), 1U);
    const state::usage_counters& counters = writes[0].row.counters;
    EXPECT_EQ(counters.reads, 2U);
    EXPECT_EQ(counters.replica_reads, 1U);
    EXPECT_EQ(counters.writes, 1U);
    EXPECT_EQ(counters.unknown, 1U);
    EXPECT_EQ(counters.refused.at("overloaded"), 1U);
    EXPECT_EQ(counters.latency.get_count(), 3U);
    EXPECT_EQ(counters.latency_sum_us, 4500U);
}

// Guards against memory that grows with unknown callers, and against totals that lose them.
TEST(usage_ledger, callers_beyond_the_limit_are_counted_together) {
    usage_ledger ledger("cairo", "vm-1", 1, 4);
    for (int i = 0; i < 100; ++i) {
        ledger.record(make_read("caller" + std::to_string(i)), "h1");
    }
    EXPECT_LE(ledger.get_size(), 5U);
    std::uint64_t total = 0;
    for (const usage_write& write : ledger.get_changed(100, {})) {
        total += write.row.counters.reads;
    }
    EXPECT_EQ(total, 100U);
}

// Guards against rows of past hours that are kept for ever or dropped before they are written.
TEST(usage_ledger, forgets_past_hours_only_after_writing) {
    usage_ledger ledger("cairo", "vm-1", 1, 10);
    ledger.record(make_read("bench"), "h1");
    const auto first = ledger.get_changed(10, {});
    ledger.record(make_read("bench"), "h1");
    ledger.confirm(first, 1, "h2");
    ASSERT_EQ(ledger.get_size(), 1U) << "a request was counted after the write was prepared";
    const auto second = ledger.get_changed(10, {});
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].row.counters.reads, 2U);
    EXPECT_EQ(second[0].version, 1U);
    ledger.confirm(second, 2, "h2");
    EXPECT_EQ(ledger.get_size(), 0U);
}

// Guards against a late write that undoes a newer one, and against counts that are never stored:
// the store loses answers and delivers some writes much later.
TEST(usage_ledger, late_writes_never_lower_a_stored_row) {
    const std::uint64_t seed = tests::get_seed("usage recorder", std::random_device{}());
    std::mt19937_64 random(seed);
    usage_ledger ledger("cairo", "vm-1", 1, 10);
    std::optional<std::uint64_t> version;
    std::uint64_t next_version = 1;
    std::uint64_t stored = 0;
    std::uint64_t counted = 0;
    std::deque<usage_write> late;
    const auto apply = [&](const usage_write& write) {
        if (write.version != version) {
            return false;
        }
        version = next_version++;
        EXPECT_GE(write.row.counters.reads, stored);
        stored = write.row.counters.reads;
        return true;
    };
    for (int round = 0; round < 2000 || stored != counted; ++round) {
        ASSERT_LT(round, 20'000) << "the stored row never catches up";
        if (round < 2000) {
            ledger.record(make_read("bench"), "h1");
            ++counted;
        }
        if (!late.empty() && random() % 2 == 0) {
            apply(late.front());
            late.pop_front();
        }
        auto writes = ledger.get_changed(10, {});
        if (writes.empty()) {
            continue;
        }
        if (!writes[0].is_version_known) {
            writes[0].version = version;
        }
        const auto fate = random() % 4;
        if (fate == 0) {
            late.push_back(writes[0]);
        }
        const bool is_applied = fate != 0 && apply(writes[0]);
        if (fate <= 1 || !is_applied) {
            ledger.mark_uncertain(writes);
        } else {
            ledger.confirm(writes, *version, "h1");
        }
    }
    EXPECT_EQ(stored, counted);
}

class usage_recorder_test : public tests::platform_fixture {
protected:
    usage_recorder_test() : client_(settings_.listen_address, milliseconds(2000)) {}

    protocol::proxy_settings make_settings() const {
        protocol::proxy_settings settings;
        settings.vm = "vm-1";
        settings.place = "cairo";
        settings.platform_address = settings_.listen_address;
        settings.store_timeout = milliseconds(150);
        return settings;
    }

    std::uint64_t get_stored_reads() {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::uint64_t> {
                BOOST_LEAF_AUTO(rows, client_.get_rows("usage", "", "", 1000));
                std::uint64_t total = 0;
                for (const protocol::table_row& row : rows) {
                    BOOST_LEAF_AUTO(parsed, state::parse_usage_row(row.value));
                    EXPECT_EQ(row.key, parsed.key.get_row_key());
                    total += parsed.counters.reads;
                }
                return total;
            },
            [] { return std::uint64_t{0}; });
    }

    protocol::table_client client_;
};

// Guards against requests that are dropped at the end of the process or counted twice.
TEST_F(usage_recorder_test, stop_writes_each_request_once) {
    usage_recorder recorder(make_settings(), 1);
    recorder.start();
    for (int i = 0; i < 300; ++i) {
        recorder.record(make_read("caller" + std::to_string(i % 120)));
    }
    recorder.stop();
    recorder.stop();
    EXPECT_EQ(get_stored_reads(), 300U);
}

// Guards against usage counted twice, or not at all, when an answer is lost.
TEST_F(usage_recorder_test, a_lost_answer_counts_nothing_twice) {
    set_faults({{"lose_answers", 1}, {"lose_answers_of", "usage"}});
    usage_recorder recorder(make_settings(), 1);
    recorder.start();
    for (int i = 0; i < 40; ++i) {
        recorder.record(make_read("bench"));
    }
    recorder.stop();
    EXPECT_EQ(get_status()["lost_answers"], 1);
    EXPECT_EQ(get_stored_reads(), 40U);
}

// Guards against two incarnations of a proxy that overwrite each other's counts.
TEST_F(usage_recorder_test, a_restarted_proxy_has_rows_of_its_own) {
    for (const std::uint64_t incarnation : {1U, 2U}) {
        usage_recorder recorder(make_settings(), incarnation);
        recorder.start();
        recorder.record(make_read("bench"));
        recorder.stop();
    }
    EXPECT_EQ(get_stored_reads(), 2U);
}

}  // namespace
}  // namespace hornbeamhook::proxy
