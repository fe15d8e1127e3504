#include "proxy/audit_log.h"

#include <gtest/gtest.h>

#include <set>

#include "proxy/audit_buffer.h"
#include "support/platform_fixture.h"

namespace hornbeamhook::proxy {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint64_t incarnation = 1'765'000'000'000;
constexpr std::chrono::seconds wait_limit{20};

std::vector<std::uint64_t> get_sequences(const std::vector<protocol::table_write>& rows) {
    std::vector<std::uint64_t> result;
    for (const protocol::table_write& row : rows) {
        result.push_back((*row.value)["sequence"]);
    }
    return result;
}

// Guards against records that are lost without a trace when the buffer is full.
TEST(audit_buffer, a_full_buffer_leaves_a_named_gap) {
    audit_buffer buffer("vm-1", 1, 3);
    for (int i = 0; i < 5; ++i) {
        buffer.append({"drain", "p", "test", json::object()}, 1);
    }
    EXPECT_EQ(get_sequences(buffer.get_batch(10)), (std::vector<std::uint64_t>{1, 2, 3}));
    buffer.confirm(2);
    const auto& rows = buffer.get_batch(10);
    ASSERT_EQ(get_sequences(rows), (std::vector<std::uint64_t>{6}));
    EXPECT_EQ((*rows[0].value)["kind"], "audit_gap");
    EXPECT_EQ((*rows[0].value)["details"], (json{{"first", 4}, {"last", 5}}));
    buffer.confirm(3);
    EXPECT_TRUE(buffer.is_empty());
}

// Guards against a repeated write with other rows than the one whose answer was lost.
TEST(audit_buffer, a_batch_is_the_same_until_it_is_confirmed) {
    audit_buffer buffer("vm-1", 1, 10);
    buffer.append({"drain", "p", "one", json::object()}, 1);
    const auto sent = get_sequences(buffer.get_batch(5));
    buffer.append({"drain", "p", "two", json::object()}, 2);
    EXPECT_EQ(get_sequences(buffer.get_batch(5)), sent);
    buffer.confirm(3);
    EXPECT_EQ(get_sequences(buffer.get_batch(5)), (std::vector<std::uint64_t>{2}));
}

// Guards against failovers that reports cannot find or whose gap they cannot read.
TEST(audit_buffer, a_promotion_also_becomes_a_failover_row) {
    audit_buffer buffer("vm-1", 12, 10);
    const std::int64_t at_ms = 1'796'360'400'000;  // 2026-12-04 05:00 UTC
    buffer.append({"promotion",
                   "ledger",
                   "primary lost",
                   {{"detection_ms", 800},
                    {"claim_ms", 50},
                    {"fencing_ms", 150},
                    {"promotion_ms", 200},
                    {"adoption_ms", 50},
                    {"attempts", 7}}},
                  at_ms);
    const auto& rows = buffer.get_batch(10);
    ASSERT_EQ(rows.size(), 2U);
    EXPECT_EQ(rows[0].table, "failover");
    EXPECT_EQ(rows[0].key, "2026-12/1796360400000/vm-1/0000000000012/000000000001");
    EXPECT_EQ((*rows[0].value)["gap_ms"], 1250);
    EXPECT_EQ((*rows[0].value)["audit_key"], rows[1].key);
    EXPECT_EQ(rows[1].table, "audit");
}

class audit_log_test : public tests::platform_fixture {
protected:
    audit_log_test() : client_(settings_.listen_address, milliseconds(2000)) {}

    protocol::proxy_settings make_settings(milliseconds timeout) const {
        protocol::proxy_settings settings;
        settings.vm = "vm-1";
        settings.platform_address = settings_.listen_address;
        settings.store_timeout = timeout;
        return settings;
    }

    std::vector<protocol::table_row> get_rows(const std::string& table) {
        return leaf::try_handle_all([&] { return client_.get_rows(table, "", "", 1000); },
                                    [] { return std::vector<protocol::table_row>(); });
    }

    /** Waits until `count` rows are stored; the limit only bounds a failing run. */
    bool wait_for_rows(std::size_t count) {
        const auto limit = std::chrono::steady_clock::now() + wait_limit;
        while (get_rows("audit").size() < count && std::chrono::steady_clock::now() < limit) {
            std::this_thread::sleep_for(milliseconds(5));
        }
        return get_rows("audit").size() == count;
    }

    void expect_numbered(std::size_t count) {
        const auto rows = get_rows("audit");
        ASSERT_EQ(rows.size(), count);
        for (std::size_t i = 0; i < count; ++i) {
            EXPECT_EQ(rows[i].value["sequence"], i + 1);
            EXPECT_EQ(rows[i].value["reason"], "record " + std::to_string(i));
        }
    }

    void append(audit_log& log, int first, int last) {
        for (int i = first; i < last; ++i) {
            log.append({"drain", "p", "record " + std::to_string(i), json::object()});
        }
    }

    protocol::table_client client_;
};

// Guards against records lost, doubled or renumbered by an outage.
TEST_F(audit_log_test, numbers_run_on_across_an_outage) {
    audit_log log(make_settings(milliseconds(500)), incarnation);
    log.start();
    append(log, 0, 3);
    EXPECT_TRUE(wait_for_rows(3));
    set_faults({{"outage", "refuse"}});
    append(log, 3, 120);
    // At least one write has failed before the store is back.
    while (get_status()["refused"] == 0) {
        std::this_thread::yield();
    }
    set_faults({{"outage", "none"}});
    EXPECT_TRUE(wait_for_rows(120));
    log.stop();
    expect_numbered(120);
}

// Guards against a record that is written twice because the answer was lost.
TEST_F(audit_log_test, lost_answers_do_not_double_records) {
    set_faults({{"lose_answers", 2}, {"lose_answers_of", "audit"}});
    audit_log log(make_settings(milliseconds(100)), incarnation);
    log.start();
    append(log, 0, 5);
    EXPECT_TRUE(wait_for_rows(5));
    log.stop();
    EXPECT_EQ(get_status()["tables"]["audit"]["writes"], 5);
    expect_numbered(5);
}

// Guards against records that are dropped at the end of the process.
TEST_F(audit_log_test, stop_writes_what_is_pending) {
    audit_log log(make_settings(milliseconds(500)), incarnation);
    append(log, 0, 130);
    log.start();
    log.stop();
    log.stop();
    expect_numbered(130);
}

}  // namespace
}  // namespace hornbeamhook::proxy
