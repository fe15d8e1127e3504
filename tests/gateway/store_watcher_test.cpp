#include "gateway/store_watcher.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <set>

#include "gateway/change_propagation.h"
#include "gateway/leadership_manager.h"
#include "platform/store_codec.h"
#include "support/free_port.h"
#include "support/test_caller.h"

namespace hornbeamhook::gateway {
namespace {

class store_watcher_test : public testing::Test {
protected:
    store_watcher_test()
        : store_(loop_, store_address_, log_, counters_),
          watcher_(loop_, store_, codec_, log_,
                   {.configuration_changed =
                        [this](const configuration& value) {
                            adopted_version_ = value.version;
                            adopted_versions_.push_back(value.version);
                        },
                    .target_changed =
                        [this](const std::string& id, const std::optional<target_entry>& entry) {
                            targets_[id] = entry.has_value();
                            if (entry && entry->is_leaving) {
                                leaving_targets_.insert(id);
                            }
                        },
                    .rows_read =
                        [this](const std::vector<stored_row>& rows, std::int64_t requested_at) {
                            ++reads_;
                            rows_read_ = rows;
                            requested_at_ = requested_at;
                        },
                    .rows_confirmed =
                        [this](std::int64_t requested_at) { requested_at_ = requested_at; },
                    .is_read_due = [] { return false; }}) {}

    /** An answer of a hub that holds one of the product's rows, read `age_ms` ago. */
    static std::string make_updates(std::int64_t age_ms) {
        const table_update update{9, {{"group/g", 7}}, {{{}, "group/g", "{}", 7, false}}};
        return nlohmann::json{{"rows", format_table_update(update)}, {"rows_age_ms", age_ms}}
            .dump();
    }

    /** The configuration's row, as the store lists it. */
    std::string make_configuration_row(std::int64_t version, row_version row) const {
        const nlohmann::json value{{"Version", version}, {"Routes", nlohmann::json::array()}};
        return make_stored_row("op", "config", value, row);
    }

    std::string make_stored_row(const std::string& table, const std::string& key,
                                const nlohmann::json& value, row_version row) const {
        const auto change = codec_.format_change({{table, key, value.dump(), 0, false}, 0, false});
        const nlohmann::json put = nlohmann::json::parse(change.body).at("Puts").at(0);
        return nlohmann::json{
            {"Table", table}, {"Key", key}, {"Value", put.at("Value")}, {"RowVersion", row}}
            .dump();
    }

    /** A target's row, as the store lists it. */
    std::string make_target_row(const std::string& id, row_version row,
                                const std::string& state = "ready") const {
        const nlohmann::json value{{"Service", "s"},     {"Addr", "10.0.0.1:80"}, {"Zone", "z"},
                                   {"Slots", 3},         {"State", state},        {"Seq", 1},
                                   {"DbRole", "replica"}};
        return make_stored_row("servers", id, value, row);
    }

    /** The store's answer to a read or a watch. */
    static transport::http_reply make_rows_reply(const std::string& rows, row_version version,
                                                 int era = 1) {
        return {
            .status = 200,
            .body = R"({"rows":[)" + rows + R"(],"RowVersion":)" + std::to_string(version) + "}",
            .headers = {{"Store-Era", std::to_string(era)}}};
    }

    transport::event_loop loop_;
    /// Nothing listens here unless a test does.
    transport::endpoint store_address_ = *transport::parse_endpoint(tests::get_free_address());
    bounded_log log_{"vm1"};
    gateway_counters counters_;
    platform::store_codec codec_;
    store_client store_;
    store_watcher watcher_;
    std::vector<stored_row> rows_read_;
    std::int64_t requested_at_ = 0;
    std::int64_t adopted_version_ = 0;
    std::vector<std::int64_t> adopted_versions_;
    std::map<std::string, bool> targets_;  ///< Whether the target is listed, by its last change.
    std::set<std::string> leaving_targets_;
    int reads_ = 0;
};

// Guards against a lease that counts from the answer of a hub instead of the hub's read.
TEST_F(store_watcher_test, rows_of_a_hub_count_from_its_read) {
    watcher_.apply_updates(make_updates(300), 5000);
    EXPECT_EQ(requested_at_, 4700);
    ASSERT_EQ(rows_read_.size(), 1U);
    EXPECT_EQ(rows_read_[0].version, 7);
    watcher_.confirm_rows(4600);
    EXPECT_EQ(requested_at_, 4700);
    watcher_.confirm_rows(5100);
    EXPECT_EQ(requested_at_, 5100);
}

// Guards against a lease that lasts longer than a promoter waits.
TEST_F(store_watcher_test, rows_from_the_future_are_ignored) {
    watcher_.apply_updates(make_updates(-4000), 5000);
    EXPECT_EQ(requested_at_, 0);
}

TEST_F(store_watcher_test, an_update_request_names_the_tables_that_differ) {
    watcher_.apply_updates(make_updates(0), 5000);
    table_digests digests = watcher_.get_digests();
    EXPECT_EQ(watcher_.format_update_request(digests), "{}");
    digests.rows += 1;
    EXPECT_EQ(watcher_.format_update_request(digests), R"({"changes":{"rows":9},"rows":7})");
}

// Guards against an update that lists all rows: while a fleet starts, its rows change all the time,
// and a hub would send the list of all of them to each VM of its place several times a second.
TEST_F(store_watcher_test, an_update_holds_only_the_changes) {
    table_copy hub;
    std::vector<stored_row> rows;
    for (int i = 0; i < 600; ++i) {
        rows.push_back({{}, "vm/" + std::to_string(i), "{}", i + 1, false});
    }
    hub.apply_read(rows, 700);
    watcher_.apply_updates(
        nlohmann::json{{"rows", format_table_update(hub.get_update(0))}, {"rows_age_ms", 0}}.dump(),
        5000);
    rows.pop_back();
    rows.push_back({{}, "vm/600", "{}", 701, false});
    hub.apply_read(rows, 701);
    const std::string changes = format_table_changes(hub.get_changes(700));
    EXPECT_LT(changes.size(), 300U);
    watcher_.apply_updates(
        nlohmann::json{{"changes", {{"rows", changes}}}, {"rows_age_ms", 100}}.dump(), 6000);
    EXPECT_EQ(requested_at_, 5900);
    EXPECT_EQ(watcher_.get_digests().rows, hub.get_digest());
    EXPECT_FALSE(watcher_.find_row("vm/599").has_value());
    EXPECT_TRUE(watcher_.find_row("vm/600").has_value());
    const nlohmann::json answer =
        nlohmann::json::parse(watcher_.format_updates(R"({"changes":{"rows":700},"rows":600})"));
    EXPECT_EQ(parse_table_changes(answer.at("changes").at("rows")), hub.get_changes(700));
    EXPECT_FALSE(answer.contains("rows"));
}

// Guards against a lease of a VM that was removed: the hub never saw its row, so the changes do not
// mention it, and this VM still counts itself as listed.
TEST_F(store_watcher_test, changes_that_leave_a_difference_renew_no_lease) {
    table_copy hub;
    hub.apply_read({{{}, "group/g", "{}", 7, false}}, 9);
    table_copy own = hub;
    own.apply({{{}, "vm/self", "{}", 8, false}});
    watcher_.apply_updates(
        nlohmann::json{{"rows", format_table_update(own.get_update(0))}, {"rows_age_ms", 0}}.dump(),
        5000);
    EXPECT_EQ(reads_, 1);
    hub.apply_read({{{}, "group/g", "{}", 7, false}}, 12);
    watcher_.apply_updates(
        nlohmann::json{{"changes", {{"rows", format_table_changes(hub.get_changes(9))}}},
                       {"rows_age_ms", 0}}
            .dump(),
        6000);
    EXPECT_EQ(reads_, 1);
    EXPECT_EQ(requested_at_, 5000);
    table_digests digests = watcher_.get_digests();
    digests.rows = hub.get_digest();
    EXPECT_EQ(watcher_.format_update_request(digests), R"({"rows":8})");
    watcher_.apply_updates(
        nlohmann::json{{"rows", format_table_update(hub.get_update(8))}, {"rows_age_ms", 0}}.dump(),
        7000);
    EXPECT_EQ(requested_at_, 7000);
    EXPECT_FALSE(watcher_.find_row("vm/self").has_value());
}

// Guards against an answer of another VM that ends the process.
TEST_F(store_watcher_test, malformed_answers_of_other_vms_are_dropped) {
    for (const char* text :
         {"", "7", "[]", "{}", R"({"0":7,"1":{}})", R"({"0":[{"key":7}],"1":[[]]})",
          R"({"0":[{"key":"a","value":1,"version":"x","deleted":2}]})"}) {
        watcher_.merge_snapshot(text);
    }
    for (const char* text :
         {"", "7", "[]", R"({"rows":7,"rows_age_ms":"1"})", R"({"rows":"{}","rows_age_ms":1})",
          R"({"targets":[]})", R"({"changes":7})", R"({"changes":{"rows":7},"rows_age_ms":1})",
          R"({"changes":{"rows":"{\"read_version\":9}"},"rows_age_ms":1})"}) {
        watcher_.apply_updates(text, 5000);
    }
    for (const char* text : {"", "7", "[]", R"({"rows":"x","targets":null})", R"({"changes":[]})",
                             R"({"changes":{"rows":"x"}})"}) {
        watcher_.format_updates(text);
    }
    EXPECT_EQ(requested_at_, 0);
}

// Guards against rows that count as removed because they are not on the first page: a member would
// take itself for unlisted.
TEST_F(store_watcher_test, reads_all_pages_of_the_rows) {
    std::vector<std::string> requests;
    const transport::http_listener store(
        loop_, store_address_,
        [&](const transport::http_call& call, const transport::http_listener::responder& respond) {
            if (!call.path.starts_with("/v1/rows-get?Table=" + std::string(product_table))) {
                return;
            }
            requests.push_back(call.path);
            const bool is_first = call.path.find("&From=") == std::string::npos;
            respond({200, is_first ? R"({"rows":[{"Key":"vm/a","Value":"","RowVersion":3}],)"
                                     R"("RowVersion":5,"HasMore":true})"
                                   : R"({"rows":[{"Key":"vm/b","Value":"","RowVersion":6}],)"
                                     R"("RowVersion":7,"HasMore":false})"});
        });
    watcher_.read_rows();
    tests::run_until(loop_, [&] { return reads_ == 1; });
    ASSERT_EQ(rows_read_.size(), 2U);
    EXPECT_EQ(rows_read_[0].key, "vm/a");
    EXPECT_EQ(rows_read_[1].key, "vm/b");
    ASSERT_EQ(requests.size(), 2U);
    EXPECT_TRUE(requests[1].ends_with("&From=vm/a%00"));
}

// Guards against a configuration that no VM learns of in time (CONFIG), because the connections of
// all watches went silent at the same moment: each VM relied on another one to announce it.
TEST_F(store_watcher_test, a_configuration_is_adopted_although_the_watch_went_silent) {
    // VMs have to follow the store again this long after their connections went silent.
    constexpr std::int64_t silence_limit_ms = 4000;
    std::int64_t silent_since = 0;
    const transport::http_listener store(
        loop_, store_address_,
        [&](const transport::http_call& call, const transport::http_listener::responder& respond) {
            if (call.path.starts_with("/v1/rows-feed?Table=op") && silent_since == 0) {
                silent_since = transport::get_boot_time();
                return;
            }
            const bool is_configuration = call.path.starts_with("/v1/rows-get?Table=op");
            const bool is_changed = silent_since != 0;
            if (is_configuration || call.path.starts_with("/v1/rows-get")) {
                respond(make_rows_reply(
                    is_configuration
                        ? make_configuration_row(is_changed ? 8 : 7, is_changed ? 6 : 5)
                        : "",
                    is_changed ? 6 : 5));
            }
        });
    watcher_.start();
    tests::run_until(loop_, [&] { return silent_since != 0; });
    EXPECT_EQ(adopted_version_, 7);
    tests::run_until(loop_, [&] {
        return adopted_version_ == 8 ||
               transport::get_boot_time() - silent_since > silence_limit_ms;
    });
    EXPECT_EQ(adopted_version_, 8);
}

/**
 * A store whose connections go silent, as often as the test says: it never answers a call on such a
 * connection, and answers new ones.
 */
class silent_connections_test : public store_watcher_test {
protected:
    silent_connections_test()
        : listener_(loop_, store_address_,
                    [this](const std::shared_ptr<transport::tcp_stream>& stream) {
                        streams_.push_back(stream);
                        stream->start({.connected = {},
                                       .received =
                                           [this, stream](std::string_view bytes) {
                                               receive(stream, std::string(bytes));
                                           },
                                       .ended = {}});
                    }) {}

    /** Makes all connections silent that are open now. */
    void silence() {
        for (const auto& stream : streams_) {
            silent_.insert(stream.get());
        }
    }

    /** Lists the target as leaving in the pause between two watches, and silences the connections.
     */
    void announce_leaving_and_silence() {
        watcher_.start();
        tests::run_until(loop_, [&] { return target_watches_ == 1; });
        leaving_since_ = transport::get_boot_time();
        silence();
    }

    /** Ends when the watcher knows that the target leaves, or when the target may not be used. */
    void wait_until_leaving() {
        transport::loop_timer wake_up(loop_);
        wake_up.start(min_leaving_time_ms, 0, [] {});
        while (!leaving_targets_.contains("t1") &&
               transport::get_boot_time() - leaving_since_ < min_leaving_time_ms) {
            uv_run(loop_.get_handle(), UV_RUN_ONCE);
        }
    }

    std::int64_t leaving_since_ = 0;  ///< The target is listed as leaving from then on.
    int silences_after_watch_ = 0;    ///< Connections that go silent as a failed watch is retried.
    int target_reads_ = 0;
    int target_watches_ = 0;

private:
    void receive(const std::shared_ptr<transport::tcp_stream>& stream, const std::string& call) {
        const bool is_target_read = call.starts_with("GET /v1/rows-get?Table=servers");
        target_reads_ += is_target_read ? 1 : 0;
        if (is_target_read && target_reads_ > 1 && silences_after_watch_ > 0) {
            --silences_after_watch_;
            silence();
        }
        if (silent_.contains(stream.get())) {
            return;
        }
        const bool is_leaving = leaving_since_ != 0;
        const row_version version = is_leaving ? 6 : 5;
        std::string rows;
        if (is_target_read) {
            rows = make_target_row("t1", version, is_leaving ? "draining" : "ready");
        } else if (call.starts_with("GET /v1/rows-feed?Table=servers")) {
            // The answer to the first watch ends it with a change, and the pause begins.
            if (++target_watches_ > 1) {
                return;
            }
        } else if (call.starts_with("GET /v1/rows-feed")) {
            return;
        }
        const std::string body = make_rows_reply(rows, version).body;
        stream->write("HTTP/1.1 200 -\r\nStore-Era: 1\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    std::vector<std::shared_ptr<transport::tcp_stream>> streams_;
    std::set<const transport::tcp_stream*> silent_;
    transport::tcp_listener listener_;
};

// Guards against a leaving target that is used for too long (DRAIN), because the connections go
// silent in the pause between two watches (review case 5).
TEST_F(silent_connections_test, a_leaving_target_is_known_although_connections_went_silent) {
    announce_leaving_and_silence();
    wait_until_leaving();
    EXPECT_TRUE(leaving_targets_.contains("t1"));
}

// Guards against the same when the connection of the read after the watch goes silent as well.
TEST_F(silent_connections_test, a_leaving_target_is_known_although_the_next_connection_is_silent) {
    announce_leaving_and_silence();
    silences_after_watch_ = 1;
    wait_until_leaving();
    EXPECT_TRUE(leaving_targets_.contains("t1"));
    EXPECT_EQ(silences_after_watch_, 0);
    EXPECT_LE(transport::get_boot_time() - leaving_since_,
              get_max_watch_delay_ms(targets_schedule));
}

/** A store that may be restored. It keeps the watches of the configuration open. */
class restorable_store_test : public store_watcher_test {
protected:
    restorable_store_test()
        : listener_(loop_, store_address_,
                    [this](const transport::http_call& call,
                           const transport::http_listener::responder& respond) {
                        if (call.path.starts_with("/v1/rows-feed?Table=op")) {
                            watches_.push_back(respond);
                        } else if (call.path.starts_with("/v1/rows-get?Table=op")) {
                            ++configuration_reads_;
                            respond(make_rows_reply(configuration_, version_, era_));
                        } else if (call.path.starts_with("/v1/rows-get")) {
                            respond(make_rows_reply("", version_, era_));
                        }
                    }) {}

    /** Continues in the second era with this configuration. */
    void restore(std::int64_t configuration, row_version row, row_version version) {
        era_ = 2;
        configuration_ = make_configuration_row(configuration, row);
        version_ = version;
    }

    void run_for(std::int64_t time_ms) {
        const std::int64_t started_at = transport::get_boot_time();
        tests::run_until(loop_, [&] { return transport::get_boot_time() - started_at > time_ms; });
    }

    void wait_for_watches(std::size_t count) {
        tests::run_until(loop_, [&] { return watches_.size() == count; });
    }

    std::string configuration_ = make_configuration_row(7, 24);
    row_version version_ = 24;
    int era_ = 1;
    int configuration_reads_ = 0;
    std::vector<transport::http_listener::responder> watches_;
    transport::http_listener listener_;
};

// Guards against a configuration that is acknowledged after the store came back from an earlier
// copy and is never in force (CONFIG): its row has a version that was given out before.
TEST_F(restorable_store_test, a_configuration_with_a_repeated_row_version_is_adopted) {
    watcher_.start();
    wait_for_watches(1);
    restore(6, 20, 22);
    watches_[0]({.status = 410, .body = "{}", .headers = {{"Store-Era", "2"}}});
    wait_for_watches(2);
    watches_[1](make_rows_reply(make_configuration_row(8, 24), 24, 2));
    wait_for_watches(3);
    EXPECT_EQ(adopted_versions_, (std::vector<std::int64_t>{7, 8}));
}

// Guards against a change that is missed because the store has given out the watched version again
// since it came back from an earlier copy: the watch then shows only what is newer than that.
TEST_F(restorable_store_test, a_watch_across_a_restore_reads_the_table_again) {
    watcher_.start();
    wait_for_watches(1);
    EXPECT_EQ(configuration_reads_, 1);
    restore(8, 23, 25);
    watches_[0](make_rows_reply("", 25, 2));
    wait_for_watches(2);
    EXPECT_EQ(adopted_versions_, (std::vector<std::int64_t>{7, 8}));
}

// Guards against a VM that follows the store only until it is restored, because its watch stays
// open without an answer; and against an answer from before the restore that arrives after it.
TEST_F(restorable_store_test, a_restore_seen_by_another_read_ends_the_watch) {
    watcher_.start();
    wait_for_watches(1);
    restore(8, 24, 24);
    watcher_.read_rows();
    wait_for_watches(2);
    EXPECT_EQ(adopted_versions_, (std::vector<std::int64_t>{7, 8}));
    era_ = 1;
    run_for(200);  // Answers of the second era may still be on the way.
    const int reads = reads_;
    watcher_.read_rows();
    watches_[1](make_rows_reply(make_configuration_row(9, 30), 30, 1));
    watches_[0](make_rows_reply(make_configuration_row(10, 31), 31, 1));
    run_for(200);
    EXPECT_EQ(adopted_version_, 8);
    EXPECT_EQ(reads_, reads);
}

// Guards against a target that is given up because its entry was lost in a restore, before it has
// had the time to write it again; and against one that stays in use although it does not return.
TEST_F(store_watcher_test, targets_lost_in_a_restore_may_return) {
    int era = 1;
    bool has_returned = false;
    const transport::http_listener store(
        loop_, store_address_,
        [&](const transport::http_call& call, const transport::http_listener::responder& respond) {
            if (call.path.starts_with("/v1/rows-get?Table=servers")) {
                respond(era == 1 ? make_rows_reply(make_target_row("old", 3) + "," +
                                                       make_target_row("new", 20) + "," +
                                                       make_target_row("gone", 21),
                                                   24)
                                 : make_rows_reply(make_target_row("old", 3), 10, 2));
            } else if (call.path.starts_with("/v1/rows-feed?Table=servers")) {
                if (era == 2 && !std::exchange(has_returned, true)) {
                    respond(make_rows_reply(make_target_row("new", 20), 20, 2));
                }
            } else if (call.path.starts_with("/v1/rows-get")) {
                respond(make_rows_reply("", 24, era));
            }
        });
    watcher_.start();
    tests::run_until(loop_, [&] { return targets_.size() == 3; });
    era = 2;
    watcher_.read_rows();
    tests::run_until(loop_, [&] { return !targets_.at("gone"); });
    EXPECT_TRUE(has_returned);
    EXPECT_TRUE(targets_.at("old"));
    EXPECT_TRUE(targets_.at("new"));
}

// Guards against a stored record that ends each process that reads it.
TEST(parse_record, malformed_records_are_rejected) {
    for (const char* value :
         {"", "7", "[]", "{}", R"({"target":1,"term":1})", R"({"target":"t1","term":"x"})",
          R"({"target":"t1","term":1,"changer":7})", R"({"target":"t1","term":1,"era":"1"})"}) {
        EXPECT_FALSE(parse_record({"t", "group/g", value, 3, false}).has_value()) << value;
    }
    const auto record = parse_record({"t", "group/g", R"({"target":"t1","term":1})", 3, false});
    ASSERT_TRUE(record.has_value());
    EXPECT_EQ(*record, (coordination::leadership_record{"t1", 1, {}, 3}));
    // A record without an era is from an earlier release and counts as written in the present era.
    const auto older = parse_record({"t", "group/g", R"({"target":"t1","term":1})",
                                     coordination::make_store_version(2, 3), false});
    ASSERT_TRUE(older.has_value());
    EXPECT_FALSE(older->is_restored());
    const coordination::leadership_record written{"t1", 1, {}, 0, 1};
    const auto restored = parse_record(
        {"t", "group/g", format_record(written), coordination::make_store_version(2, 3), false});
    ASSERT_TRUE(restored.has_value());
    EXPECT_TRUE(restored->is_restored());
}

}  // namespace
}  // namespace hornbeamhook::gateway
