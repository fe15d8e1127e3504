#include "protocol/table_client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "support/platform_fixture.h"

namespace hornbeamhook::protocol {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds call_timeout{2000};
constexpr milliseconds short_timeout{150};

/** The value of a call, or the table error. */
template <class T>
struct call_result {
    std::optional<T> value;
    table_error error;
};

template <class Call>
auto get_result(Call call) {
    using value_type = std::decay_t<decltype(*call())>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<call_result<value_type>> {
            BOOST_LEAF_AUTO(value, call());
            return call_result<value_type>{std::move(value), {}};
        },
        [](const table_error& error) {
            return call_result<value_type>{{}, error};
        },
        [] {
            return call_result<value_type>{{}, {false, "other error"}};
        });
}

class table_client_test : public tests::platform_fixture {
protected:
    std::optional<bool> commit(table_client& client, std::vector<table_condition> conditions,
                               std::vector<table_write> writes) {
        return get_result([&] { return client.commit(conditions, writes); }).value;
    }
};

// Guards against lost updates when several writers increment one row at once.
TEST_F(table_client_test, compare_and_set_loses_no_increment) {
    table_client setup(settings_.listen_address, call_timeout);
    ASSERT_EQ(commit(setup, {{"t", "n", {}}}, {{"t", "n", json(0)}}), true);
    ASSERT_EQ(commit(setup, {{"t", "n", {}}}, {{"t", "n", json(9)}}), false);
    constexpr int writers = 4;
    constexpr int increments = 25;
    std::atomic<int> failures = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < writers; ++i) {
        threads.emplace_back([&] {
            table_client client(settings_.listen_address, call_timeout);
            for (int done = 0; done < increments;) {
                const auto row = get_result([&] { return client.get_row("t", "n"); });
                if (!row.value || !*row.value) {
                    ++failures;
                    return;
                }
                const table_row& current = **row.value;
                const auto committed = commit(client, {{"t", "n", current.version}},
                                              {{"t", "n", json(current.value.get<int>() + 1)}});
                if (!committed) {
                    ++failures;
                    return;
                }
                done += *committed ? 1 : 0;
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(failures, 0);
    const auto row = get_result([&] { return setup.get_row("t", "n"); });
    ASSERT_TRUE(row.value && *row.value);
    EXPECT_EQ((*row.value)->value, writers * increments);
}

// Guards against a transaction of which only some writes take effect.
TEST_F(table_client_test, a_failed_condition_writes_nothing) {
    table_client client(settings_.listen_address, call_timeout);
    ASSERT_EQ(commit(client, {}, {{"t", "a", json(1)}}), true);
    EXPECT_EQ(commit(client, {{"t", "b", {}}, {"t", "a", {}}},
                     {{"t", "b", json(2)}, {"t", "a", std::nullopt}}),
              false);
    const auto rows = get_result([&] { return client.get_rows("t", "", "", 10); });
    ASSERT_TRUE(rows.value);
    ASSERT_EQ(rows.value->size(), 1U);
    EXPECT_EQ(rows.value->front().value, 1);
    EXPECT_EQ(commit(client, {}, {{"t", "a", std::nullopt}}), true);
    const auto row = get_result([&] { return client.get_row("t", "a"); });
    ASSERT_TRUE(row.value);
    EXPECT_FALSE(*row.value);
}

// Guards against keys that are mangled on the way and pages that repeat or skip rows.
TEST_F(table_client_test, pages_through_keys_with_special_characters) {
    table_client client(settings_.listen_address, call_timeout);
    const std::vector<std::string> keys{"p/a b",      "p/a%2Fb", "p/a+b",  "p/a?c&d=e",
                                        "p/\xc3\xa9", "p/z",     "q/other"};
    for (const std::string& key : keys) {
        ASSERT_EQ(commit(client, {}, {{"t", key, json(key)}}), true);
        const auto row = get_result([&] { return client.get_row("t", key); });
        ASSERT_TRUE(row.value && *row.value) << key;
        EXPECT_EQ((*row.value)->value, key);
        EXPECT_EQ((*row.value)->key, key);
    }
    std::set<std::string> seen;
    std::string after;
    while (true) {
        const auto rows = get_result([&] { return client.get_rows("t", "p/", after, 2); });
        ASSERT_TRUE(rows.value) << rows.error.message;
        if (rows.value->empty()) {
            break;
        }
        for (const table_row& row : *rows.value) {
            EXPECT_TRUE(seen.insert(row.key).second) << row.key;
            after = row.key;
        }
    }
    EXPECT_EQ(seen.size(), keys.size() - 1);
}

// Guards against a refused write reported as one that may have run.
TEST_F(table_client_test, an_outage_has_no_effect_and_says_so) {
    table_client client(settings_.listen_address, call_timeout);
    set_faults({{"outage", "refuse"}});
    const auto refused = get_result([&] { return client.commit({}, {{"t", "a", json(1)}}); });
    EXPECT_FALSE(refused.value);
    EXPECT_FALSE(refused.error.may_have_taken_effect);
    EXPECT_FALSE(get_result([&] { return client.get_vms(); }).value);
    set_faults({{"outage", "none"}});
    const auto row = get_result([&] { return client.get_row("t", "a"); });
    ASSERT_TRUE(row.value);
    EXPECT_FALSE(*row.value);
}

// Guards against calls that block longer than their timeout while the service hangs.
TEST_F(table_client_test, a_hanging_service_ends_in_a_timeout) {
    table_client client(settings_.listen_address, short_timeout);
    set_faults({{"outage", "hang"}});
    const auto result = get_result([&] { return client.commit({}, {{"t", "a", json(1)}}); });
    EXPECT_FALSE(result.value);
    EXPECT_TRUE(result.error.may_have_taken_effect);
    EXPECT_FALSE(get_result([&] { return client.get_row("t", "a"); }).value);
    set_faults({{"outage", "none"}});
    table_client patient(settings_.listen_address, call_timeout);
    const auto row = get_result([&] { return patient.get_row("t", "a"); });
    ASSERT_TRUE(row.value);
    EXPECT_FALSE(*row.value);
}

// Guards against a lost answer reported as "no effect", and against losing answers of other tables.
TEST_F(table_client_test, a_lost_answer_has_its_effect) {
    table_client client(settings_.listen_address, short_timeout);
    table_client patient(settings_.listen_address, call_timeout);
    set_faults({{"lose_answers", 1}, {"lose_answers_of", "t"}});
    EXPECT_EQ(commit(patient, {}, {{"other", "a", json(1)}}), true);
    const auto lost = get_result([&] { return client.commit({}, {{"t", "a", json(1)}}); });
    EXPECT_FALSE(lost.value);
    EXPECT_TRUE(lost.error.may_have_taken_effect);
    EXPECT_EQ(commit(patient, {}, {{"t", "b", json(1)}}), true);
    const auto row = get_result([&] { return patient.get_row("t", "a"); });
    ASSERT_TRUE(row.value);
    EXPECT_TRUE(*row.value);
    EXPECT_EQ(get_status()["lost_answers"], 1);
}

// Guards against a refused connection reported as a write that may have run.
TEST_F(table_client_test, a_stopped_service_is_a_plain_failure) {
    table_client client(settings_.listen_address, call_timeout);
    service_->stop();
    const auto result = get_result([&] { return client.commit({}, {{"t", "a", json(1)}}); });
    EXPECT_FALSE(result.value);
    EXPECT_FALSE(result.error.may_have_taken_effect);
}

// Guards against slow answers that reach the wrong request.
TEST_F(table_client_test, slow_answers_reach_their_own_request) {
    table_client setup(settings_.listen_address, call_timeout);
    for (int i = 0; i < 8; ++i) {
        ASSERT_EQ(commit(setup, {}, {{"t", std::to_string(i), json(i)}}), true);
    }
    set_faults({{"latency_ms", 20}});
    std::atomic<int> wrong = 0;
    std::vector<std::thread> threads;
    for (int i = 0; i < 8; ++i) {
        threads.emplace_back([&, i] {
            for (int round = 0; round < 5; ++round) {
                const auto row = get_result([&] { return setup.get_row("t", std::to_string(i)); });
                wrong += row.value && *row.value && (*row.value)->value == i ? 0 : 1;
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(wrong, 0);
}

// Guards against objects that change in the store.
TEST_F(table_client_test, keeps_objects_byte_for_byte) {
    table_client client(settings_.listen_address, call_timeout);
    const std::string body = std::string("\0\xff binary\n", 10) + std::string(100'000, 'x');
    const auto absent = get_result([&] { return client.get_object("a/b"); });
    ASSERT_TRUE(absent.value);
    EXPECT_FALSE(*absent.value);
    EXPECT_TRUE(static_cast<bool>(client.put_object("a/b", body)));
    const auto stored = get_result([&] { return client.get_object("a/b"); });
    ASSERT_TRUE(stored.value);
    EXPECT_EQ(*stored.value, body);
}

// Guards against a VM list that shows changes before its lag, or never.
TEST_F(table_client_test, the_vm_list_lags) {
    table_client client(settings_.listen_address, call_timeout);
    const vm_entry entry{"vm-1", "127.0.0.1:9", "cairo", "cairo-1", false};
    set_faults({{"vm_list_lag_ms", 600000}});
    EXPECT_TRUE(static_cast<bool>(client.put_vm(entry)));
    EXPECT_EQ(get_result([&] { return client.get_vms(); }).value, std::vector<vm_entry>());
    set_faults({{"vm_list_lag_ms", 0}});
    EXPECT_EQ(get_result([&] { return client.get_vms(); }).value, std::vector<vm_entry>{entry});
    vm_entry leaving = entry;
    leaving.is_leaving = true;
    EXPECT_TRUE(static_cast<bool>(client.put_vm(leaving)));
    EXPECT_EQ(get_result([&] { return client.get_vms(); }).value, std::vector<vm_entry>{leaving});
}

// Guards against counters that tests could not use as a budget of reads and writes.
TEST_F(table_client_test, counts_reads_and_writes_by_table) {
    table_client client(settings_.listen_address, call_timeout);
    ASSERT_EQ(commit(client, {}, {{"t", "a", json(1)}, {"u", "b", json(1)}}), true);
    get_result([&] { return client.get_row("t", "a"); });
    get_result([&] { return client.get_rows("t", "", "", 5); });
    const json tables = get_status()["tables"];
    EXPECT_EQ(tables["t"]["writes"], 1);
    EXPECT_EQ(tables["t"]["reads"], 2);
    EXPECT_EQ(tables["t"]["rows_read"], 2);
    EXPECT_EQ(tables["u"]["writes"], 1);
}

}  // namespace
}  // namespace hornbeamhook::protocol
