#include "load/history_checker.h"

#include <gtest/gtest.h>

#include <string>

namespace hornbeamhook::load {
namespace {

using std::chrono::milliseconds;
using kind = state::read_policy::kind;

time_point at(int ms) {
    return time_point{} + std::chrono::hours(1) + milliseconds(ms);
}

/** Two acknowledged writes, fresh reads, one transaction, with final rows to match. */
class history_checker_test : public testing::Test {
protected:
    history_checker_test() {
        add_write("m1", 0, 10, 1);
        add_write("m2", 20, 30, 2);
        add_read(kind::own_writes, 40, 2, "m2");
        add_read(kind::strict, 50, 2, "m2");
        add_transaction("t1", write_outcome::acknowledged);
        seen_.answers.push_back(
            {"proxy1", "ledger", at(0), at(10), "echo1", "echo1", "t1", false, 4});
        final_state& pool = pools_["ledger"];
        pool.entries = {{"m1", 1}, {"m2", 1}};
        pool.entries_by_item = {{"bolt", 2}};
        pool.versions = {{"bolt", 2}};
        pool.legs = {{"t1", 2}};
        pool.balance_sum = 1000;
        pool.expected_balance_sum = 1000;
    }

    write_record& add_write(const std::string& marker, int begin, int end, std::int64_t version) {
        write_record write;
        write.session = 1;
        write.pool = "ledger";
        write.kind = "use_part";
        write.marker = marker;
        write.item = "bolt";
        write.is_keyed = true;
        write.begin = at(begin);
        write.end = at(end);
        write.outcome = write_outcome::acknowledged;
        write.version = version;
        seen_.writes.push_back(write);
        return seen_.writes.back();
    }

    read_record& add_read(kind policy, int begin, std::int64_t value, const std::string& marker) {
        read_record read;
        read.session = 1;
        read.pool = "ledger";
        read.kind = "stock_read";
        read.policy.policy = policy;
        read.key = "bolt";
        read.begin = at(begin);
        read.end = at(begin + 5);
        read.value = value;
        read.marker = marker;
        seen_.reads.push_back(read);
        return seen_.reads.back();
    }

    void add_transaction(const std::string& marker, write_outcome outcome) {
        transaction_record transaction;
        transaction.pool = "ledger";
        transaction.marker = marker;
        transaction.outcome = outcome;
        seen_.transactions.push_back(transaction);
    }

    /** The count of one kind, provided that nothing else was counted. */
    std::int64_t count(violation_kind expected) {
        const check_result result = check_history(seen_, pools_);
        EXPECT_EQ(result.violations.get_total(), result.violations.get_count(expected))
            << result.violations.to_json().dump();
        return result.violations.get_count(expected);
    }

    final_state& pool() { return pools_.at("ledger"); }

    history seen_;
    std::map<std::string, final_state> pools_;
};

// Guards against a checker that reports violations where there are none.
TEST_F(history_checker_test, clean_history_gives_no_violation) {
    EXPECT_EQ(check_history(seen_, pools_).violations.get_total(), 0);
}

// The following tests guard against a checker that overlooks one kind of violation.
TEST_F(history_checker_test, counts_a_read_that_misses_an_own_write) {
    read_record& read = add_read(kind::own_writes, 45, 1, "m1");
    EXPECT_GE(count(violation_kind::stale_own_reads), 1);
    read.session = 2;
    EXPECT_EQ(count(violation_kind::stale_own_reads), 0);
}

TEST_F(history_checker_test, counts_an_own_row_that_is_not_found) {
    read_record& read = add_read(kind::own_writes, 45, 0, "");
    read.subject = read_subject::entry_count;
    read.key = "m2";
    EXPECT_EQ(count(violation_kind::stale_own_reads), 1);
}

TEST_F(history_checker_test, counts_a_session_that_reads_backwards) {
    add_read(kind::own_writes, 60, 2, "m2").session = 7;
    add_read(kind::own_writes, 70, 1, "m1").session = 7;
    EXPECT_EQ(count(violation_kind::stale_own_reads), 1);
}

// A state that was never acknowledged may vanish with its primary.
TEST_F(history_checker_test, going_back_behind_an_unacknowledged_state_is_no_violation) {
    add_read(kind::own_writes, 60, 3, "never_acknowledged").session = 7;
    add_read(kind::own_writes, 70, 2, "m2").session = 7;
    const check_result result = check_history(seen_, pools_);
    EXPECT_EQ(result.violations.get_total(), 0);
    EXPECT_EQ(result.reverted_unacknowledged_reads, 1);
}

TEST_F(history_checker_test, counts_a_strict_read_of_another_session_that_is_old) {
    add_read(kind::strict, 31, 1, "m1").session = 2;
    EXPECT_EQ(count(violation_kind::reads_older_than_asked), 1);
}

TEST_F(history_checker_test, allows_a_strict_read_that_began_before_the_acknowledgement) {
    add_read(kind::strict, 29, 1, "m1").session = 2;
    EXPECT_EQ(count(violation_kind::reads_older_than_asked), 0);
}

TEST_F(history_checker_test, counts_a_read_older_than_its_age) {
    read_record& allowed = add_read(kind::max_age, 120, 1, "m1");
    allowed.session = 2;
    allowed.policy.max_age = milliseconds(100);
    EXPECT_EQ(count(violation_kind::reads_older_than_asked), 0);
    read_record& old = add_read(kind::max_age, 131, 1, "m1");
    old.session = 2;
    old.policy.max_age = milliseconds(100);
    EXPECT_EQ(count(violation_kind::reads_older_than_asked), 1);
}

TEST_F(history_checker_test, counts_an_acknowledged_row_that_is_missing) {
    pool().entries.erase("m1");
    EXPECT_EQ(count(violation_kind::lost_acknowledged), 1);
}

TEST_F(history_checker_test, counts_two_writes_acknowledged_as_the_same_version) {
    add_write("m3", 60, 70, 2);
    pool().entries["m3"] = 1;
    EXPECT_EQ(count(violation_kind::lost_acknowledged), 1);
}

TEST_F(history_checker_test, counts_a_version_that_went_back) {
    pool().versions["bolt"] = 1;
    pool().entries_by_item["bolt"] = 1;
    EXPECT_EQ(count(violation_kind::lost_acknowledged), 1);
}

TEST_F(history_checker_test, counts_an_acknowledged_transaction_that_is_missing) {
    pool().legs.clear();
    EXPECT_EQ(count(violation_kind::lost_acknowledged), 1);
}

TEST_F(history_checker_test, counts_a_row_that_is_present_twice) {
    pool().entries["m1"] = 2;
    EXPECT_EQ(count(violation_kind::doubled), 1);
}

TEST_F(history_checker_test, counts_a_transaction_that_is_present_twice) {
    pool().legs["t1"] = 4;
    EXPECT_EQ(count(violation_kind::doubled), 1);
}

TEST_F(history_checker_test, counts_half_a_transaction) {
    pool().legs["t1"] = 1;
    EXPECT_EQ(count(violation_kind::mixed_transactions), 1);
}

TEST_F(history_checker_test, counts_foreign_rows_in_a_transaction) {
    seen_.transactions[0].has_foreign_rows = true;
    EXPECT_EQ(count(violation_kind::mixed_transactions), 1);
}

TEST_F(history_checker_test, counts_a_version_without_its_row) {
    pool().entries_by_item["bolt"] = 1;
    EXPECT_EQ(count(violation_kind::mixed_transactions), 1);
}

TEST_F(history_checker_test, counts_a_wrong_balance_sum) {
    pool().balance_sum = 990;
    EXPECT_EQ(count(violation_kind::mixed_transactions), 1);
    pool().balance_sum = 1000;
    read_record& read = add_read(kind::own_writes, 60, 990, "");
    read.subject = read_subject::balance_sum;
    EXPECT_EQ(count(violation_kind::mixed_transactions), 1);
}

TEST_F(history_checker_test, counts_an_answer_to_another_request) {
    seen_.answers[0].received = "echo2";
    EXPECT_EQ(count(violation_kind::wrong_answers), 1);
}

TEST_F(history_checker_test, counts_an_effect_after_not_run) {
    write_record& write = add_write("m3", 60, 70, 0);
    write.outcome = write_outcome::not_run;
    write.item.clear();
    EXPECT_EQ(count(violation_kind::false_not_run), 0);
    pool().entries["m3"] = 1;
    EXPECT_EQ(count(violation_kind::false_not_run), 1);
}

TEST_F(history_checker_test, counts_a_transaction_present_after_not_run) {
    add_transaction("t2", write_outcome::not_run);
    pool().legs["t2"] = 2;
    EXPECT_EQ(count(violation_kind::false_not_run), 1);
}

TEST_F(history_checker_test, counts_work_of_a_leaving_target) {
    seen_.events.push_back({event_kind::target_leaving, "ledger", "t1", 0, "", at(100), at(100)});
    seen_.answers.push_back({"proxy1", "ledger", at(2099), at(2110), "e", "e", "t1", false, 4});
    seen_.answers.push_back({"proxy1", "ledger", at(2200), at(2210), "e", "e", "t1", true, 4});
    EXPECT_EQ(count(violation_kind::leaving_targets_served), 0);
    seen_.answers.push_back({"proxy1", "ledger", at(2101), at(2110), "e", "e", "t1", false, 4});
    EXPECT_EQ(count(violation_kind::leaving_targets_served), 1);
}

TEST_F(history_checker_test, counts_a_configuration_that_went_back) {
    seen_.answers.push_back({"proxy1", "ledger", at(20), at(30), "e", "e", "t1", false, 3});
    EXPECT_EQ(count(violation_kind::configuration_reverted), 1);
}

TEST_F(history_checker_test, counts_a_configuration_that_is_late) {
    seen_.events.push_back({event_kind::configuration_accepted, "", "", 5, "", at(100), at(100)});
    seen_.answers.push_back({"proxy1", "ledger", at(3090), at(3099), "e", "e", "t1", false, 4});
    EXPECT_EQ(count(violation_kind::configuration_reverted), 0);
    seen_.answers.push_back({"proxy2", "ledger", at(3101), at(3110), "e", "e", "t1", false, 4});
    EXPECT_EQ(count(violation_kind::configuration_reverted), 1);
}

}  // namespace
}  // namespace hornbeamhook::load
