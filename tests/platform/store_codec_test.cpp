#include "platform/store_codec.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace hornbeamhook::platform {
namespace {

using namespace gateway;

stored_row make_row(const std::string& key, const nlohmann::json& value) {
    return {"servers", key, value.dump(), 5, false};
}

nlohmann::json make_target() {
    return {{"Service", "s"},    {"Addr", "10.0.0.1:80"}, {"Zone", "z"}, {"Version", "v1"},
            {"Slots", 3},        {"State", "ready"},      {"Seq", 4},    {"born", 1700},
            {"WarmupLeftMs", 0}, {"DbRole", "replica"}};
}

TEST(store_codec, reads_a_target) {
    const auto rows =
        store_codec().decode(platform_table::targets, {make_row("i-1", make_target())});
    ASSERT_TRUE(rows.targets.at("i-1").has_value());
    const target_entry& target = *rows.targets.at("i-1");
    EXPECT_EQ(target.group, "s");
    EXPECT_EQ(target.started_at, 1700);
    EXPECT_EQ(target.slots, 3);
    EXPECT_FALSE(target.is_primary);
    EXPECT_FALSE(target.is_leaving);
}

// Guards against an invalid entry that yields a usable target, or hides the valid entries.
TEST(store_codec, rejects_invalid_entries_and_keeps_valid_ones) {
    std::vector<stored_row> rows{make_row("good", make_target())};
    for (const char* field : {"Service", "Addr", "State", "DbRole"}) {
        nlohmann::json missing = make_target();
        missing.erase(field);
        rows.push_back(make_row(std::string("no-") + field, missing));
        nlohmann::json invalid = make_target();
        invalid[field] = 7;
        rows.push_back(make_row(std::string("odd-") + field, invalid));
    }
    rows.push_back({"servers", "bytes", "\xff\x00{", 6, false});
    rows.push_back({"servers", "list", "[1]", 6, false});
    const auto decoded = store_codec().decode(platform_table::targets, rows);
    for (const auto& [id, entry] : decoded.targets) {
        EXPECT_EQ(entry.has_value(), id == "good") << id;
    }
    EXPECT_EQ(decoded.errors.size(), rows.size() - 1);
}

/** An entry as another program may write it; not all of them are JSON. */
struct odd_target {
    std::string name;
    std::string value;
};

/** Keeps the text of the entry out of the test's name. */
void PrintTo(const odd_target& target, std::ostream* out) {
    *out << target.name;
}

/** The entry of a valid target with one field replaced by this text. */
std::string replace_field(const std::string& field, const std::string& text) {
    nlohmann::json target = make_target();
    target[field] = "REPLACED";
    std::string value = target.dump();
    const std::string quoted = "\"REPLACED\"";
    return value.replace(value.find(quoted), quoted.size(), text);
}

std::string nest(const std::string& open, const std::string& close) {
    constexpr int levels = 60000;
    std::string text;
    for (int i = 0; i < levels; ++i) {
        text += open;
    }
    text += "1";
    for (int i = 0; i < levels; ++i) {
        text += close;
    }
    return text;
}

class odd_target_test : public testing::TestWithParam<odd_target> {};

// Guards against an entry of another writer that ends each process which reads it, hides the valid
// entries, or yields a target that cannot be used.
TEST_P(odd_target_test, names_no_target_and_hides_no_other) {
    const auto decoded = store_codec().decode(
        platform_table::targets,
        {make_row("good", make_target()), {"servers", "odd", GetParam().value, 6, false}});
    EXPECT_TRUE(decoded.targets.at("good").has_value());
    EXPECT_FALSE(decoded.targets.at("odd").has_value());
    EXPECT_EQ(decoded.errors.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    store_codec, odd_target_test,
    testing::Values(
        odd_target{"nested_lists", nest("[", "]")},
        odd_target{"nested_objects", nest("{\"a\":", "}")},
        odd_target{"nested_field", replace_field("Zone", nest("[", "]"))},
        odd_target{"slots_overflow", replace_field("Slots", "1e999")},
        odd_target{"slots_too_large", replace_field("Slots", "99999999999999999999")},
        odd_target{"slots_above_int", replace_field("Slots", "4294967299")},
        odd_target{"slots_max", replace_field("Slots", "2147483647")},
        odd_target{"slots_zero", replace_field("Slots", "0")},
        odd_target{"slots_fraction", replace_field("Slots", "2.5")},
        odd_target{"start_above_int64", replace_field("born", "18446744073709551615")},
        odd_target{"start_negative", replace_field("born", "-1")},
        odd_target{"start_text", replace_field("born", "\"1700\"")},
        odd_target{"port_out_of_range", replace_field("Addr", "\"10.0.0.1:65536\"")},
        odd_target{"port_zero", replace_field("Addr", "\"10.0.0.1:0\"")},
        odd_target{"port_overflow", replace_field("Addr", "\"10.0.0.1:99999999999999999999\"")},
        odd_target{"host_name", replace_field("Addr", "\"server:80\"")},
        odd_target{"host_out_of_range", replace_field("Addr", "\"10.0.0.256:80\"")},
        odd_target{"zone_missing", replace_field("Zone", "\"\"")},
        odd_target{"service_with_blank", replace_field("Service", "\"s x\"")},
        odd_target{"service_with_line_end", replace_field("Service", "\"s\\r\\nQUERY - RESUME\"")},
        odd_target{"service_with_tab", replace_field("Service", "\"s\\tx\"")},
        odd_target{"service_too_long",
                   replace_field("Service", "\"" + std::string(129, 's') + "\"")},
        odd_target{"zone_with_blank", replace_field("Zone", "\"z \"")},
        odd_target{"zone_with_zero_byte", replace_field("Zone", "\"z\\u0000\"")},
        odd_target{"not_utf8", replace_field("Zone", "\"\xff\"")}),
    [](const testing::TestParamInfo<odd_target>& tested) { return tested.param.name; });

// Guards against the id of an entry of another writer that a target reads as other fields of the
// line that opens a session: "i-1 x" was used, and expected as instance "i-1 x" or "i-1".
TEST(store_codec, an_id_that_is_no_word_names_no_target) {
    for (const char* id :
         {"", "i-1 x", " i-1", "i-1 ", "i-1\r\nQUERY - STEPDOWN 9", "i\t1", "\x7f"}) {
        const auto decoded =
            store_codec().decode(platform_table::targets, {make_row(id, make_target())});
        EXPECT_FALSE(decoded.targets.at(id).has_value()) << id;
        EXPECT_EQ(decoded.errors.size(), 1U) << id;
    }
}

// Guards against a route to a group whose name is read as other fields.
TEST(store_codec, a_route_with_a_field_that_is_no_word_is_skipped) {
    const auto decode = [](const std::string& database, const std::string& group) {
        const nlohmann::json value{
            {"Version", 7},
            {"Routes", {{{"Hostname", database}, {"Service", group}, {"RouteType", "primary"}}}}};
        const auto rows = store_codec().decode(platform_table::configuration,
                                               {{"op", "config", value.dump(), 9, false}});
        return rows.newest_configuration->routes.size();
    };
    EXPECT_EQ(decode("db1", "s"), 1U);
    for (const char* odd : {"s x", " s", "s\r\n", "s\t", ""}) {
        EXPECT_EQ(decode("db1", odd), 0U) << odd;
        EXPECT_EQ(decode(odd, "s"), 0U) << odd;
    }
}

// Guards against a page of rows that is asked for with a key of another writer which ends the
// query.
TEST(store_codec, a_key_is_escaped_in_the_request_of_the_next_page) {
    const auto request =
        store_codec().format_platform_read(platform_table::targets, "a&b c#%?\xc3\xa4-_.~9");
    EXPECT_NE(request.path.find("&From=a%26b%20c%23%25%3F%C3%A4-_.~9%00"), std::string::npos)
        << request.path;
}

TEST(store_codec, reads_a_configuration_and_skips_an_invalid_route) {
    const nlohmann::json value{
        {"Version", 7},
        {"Routes",
         {{{"Hostname", "db1"},
           {"Service", "s"},
           {"RouteType", "bounded_staleness"},
           {"MaxStalenessMs", 1500},
           {"TimeoutMs", 2000},
           {"GoalLatencyMs", 600},
           {"Priority", 2}},
          {{"Hostname", "db2"}, {"Service", "s"}, {"RouteType", "unheard"}}}},
        {"Services", {{{"Name", "s"}, {"MaxConns", 23}}}},
        {"Limits", {{"TxIdleMs", 3000}}}};
    const auto rows = store_codec().decode(platform_table::configuration,
                                           {{"op", "config", value.dump(), 9, false}});
    ASSERT_TRUE(rows.newest_configuration.has_value());
    EXPECT_EQ(rows.newest_configuration->version, 7);
    EXPECT_EQ(rows.newest_configuration->routes.size(), 1U);
    EXPECT_EQ(rows.newest_configuration->routes.at("db1").policy, read_policy::bounded);
    EXPECT_EQ(rows.newest_configuration->connection_limits.at("s"), 23);
    EXPECT_EQ(rows.newest_configuration->transaction_idle_ms, 3000);
    EXPECT_EQ(rows.errors.size(), 1U);
}

nlohmann::json make_organisation(const std::string& name, const std::vector<std::string>& keys) {
    return {{"Name", name}, {"ApiKeys", keys}, {"Priority", 1}, {"RatePerS", 30}, {"Burst", 40}};
}

platform_rows decode_organisations(const nlohmann::json& list) {
    const nlohmann::json value{
        {"Version", 7}, {"Routes", nlohmann::json::array()}, {"Tenants", list}};
    return store_codec().decode(platform_table::configuration,
                                {{"op", "config", value.dump(), 5, false}});
}

TEST(store_codec, reads_organisations_and_their_keys) {
    const platform_rows rows = decode_organisations(
        {make_organisation("anna", {"k1", "k2"}), make_organisation("bert", {"k3"})});
    ASSERT_TRUE(rows.newest_configuration);
    EXPECT_TRUE(rows.errors.empty());
    const organisation_table& table = rows.newest_configuration->organisations;
    ASSERT_NE(table.find_by_key(make_key_digest("k2")), nullptr);
    EXPECT_EQ(*table.find_by_key(make_key_digest("k2")),
              (organisation{"anna", 1, operation_limit{30, 40}}));
    EXPECT_EQ(table.find_by_key(make_key_digest("k3"))->name, "bert");
    EXPECT_EQ(table.find_by_key(make_key_digest("k4")), nullptr);
}

// Guards against one bad organisation that hides the others or their keys, and against keys in the
// errors, which are logged.
TEST(store_codec, skips_invalid_organisations_and_names_no_key) {
    nlohmann::json unlimited = make_organisation("unlimited", {"key-u"});
    unlimited.erase("RatePerS");
    unlimited.erase("Burst");
    nlohmann::json list{make_organisation("good", {"key-g"}),
                        unlimited,
                        make_organisation("", {"key-1"}),
                        make_organisation("a b", {"key-2"}),
                        make_organisation("good", {"key-3"}),
                        make_organisation("keyless", {}),
                        7,
                        nullptr};
    for (const nlohmann::json& odd : {nlohmann::json(-1), nlohmann::json(1.5), nlohmann::json("9"),
                                      nlohmann::json(1e30), nlohmann::json()}) {
        nlohmann::json entry = make_organisation("odd" + std::to_string(list.size()),
                                                 {"key-o" + std::to_string(list.size())});
        entry["RatePerS"] = odd;
        list.push_back(entry);
    }
    nlohmann::json odd_keys = make_organisation("odd-keys", {"key-k"});
    odd_keys["ApiKeys"].push_back(7);
    odd_keys["ApiKeys"].push_back("");
    list.push_back(odd_keys);
    const platform_rows rows = decode_organisations(list);
    ASSERT_TRUE(rows.newest_configuration);
    const organisation_table& table = rows.newest_configuration->organisations;
    EXPECT_EQ(table.find_by_key(make_key_digest("key-g"))->name, "good");
    EXPECT_FALSE(table.find_by_key(make_key_digest("key-u"))->limit);
    EXPECT_EQ(table.find_by_key(make_key_digest("key-k"))->name, "odd-keys");
    EXPECT_EQ(table.find_by_key(make_key_digest("key-3")), nullptr);
    EXPECT_EQ(table.find_by_key(make_key_digest("")), nullptr);
    EXPECT_EQ(table.find("odd8")->limit, std::nullopt);
    EXPECT_EQ(rows.errors.size(), 13U);
    for (const std::string& error : rows.errors) {
        EXPECT_EQ(error.find("key-"), std::string::npos) << error;
    }
}

// Guards against callers that are all refused while no log line tells why.
TEST(store_codec, reports_organisations_that_are_no_list) {
    for (const nlohmann::json& odd :
         {nlohmann::json::object(), nlohmann::json("anna"), nlohmann::json(7)}) {
        const platform_rows rows = decode_organisations(odd);
        ASSERT_TRUE(rows.newest_configuration) << odd;
        EXPECT_EQ(rows.errors.size(), 1U) << odd;
    }
}

// Guards against a version that is dropped without a log line.
TEST(store_codec, reports_a_configuration_that_is_no_object) {
    for (const char* text : {"", "[]", "{", "7", "{\"Version\": 7, \"Routes\": [\"\xff\"]}"}) {
        const platform_rows rows =
            store_codec().decode(platform_table::configuration, {{"op", "config", text, 1, false}});
        EXPECT_FALSE(rows.newest_configuration) << text;
        EXPECT_EQ(rows.errors.size(), 1U) << text;
    }
}

// Guards against a rate of 0 that is taken for no limit.
TEST(store_codec, a_rate_of_zero_is_a_limit) {
    nlohmann::json entry = make_organisation("anna", {"k"});
    entry["RatePerS"] = 0;
    entry["Burst"] = 0;
    const platform_rows rows = decode_organisations(nlohmann::json::array({entry}));
    EXPECT_EQ(rows.newest_configuration->organisations.find("anna")->limit,
              (operation_limit{0, 0}));
    EXPECT_TRUE(rows.errors.empty());
}

// Guards against callers of one organisation that run as another one.
TEST(store_codec, a_key_that_two_organisations_share_identifies_neither) {
    const platform_rows rows = decode_organisations({make_organisation("anna", {"own", "shared"}),
                                                     make_organisation("bert", {"shared"}),
                                                     make_organisation("cleo", {"shared"})});
    const organisation_table& table = rows.newest_configuration->organisations;
    EXPECT_EQ(table.find_by_key(make_key_digest("shared")), nullptr);
    EXPECT_EQ(table.find_by_key(make_key_digest("own"))->name, "anna");
    EXPECT_EQ(rows.errors.size(), 2U);
}

// Guards against a table that grows faster than its configuration, or is cut.
TEST(store_codec, reads_500_organisations) {
    nlohmann::json list = nlohmann::json::array();
    for (int i = 0; i < 500; ++i) {
        list.push_back(make_organisation("o" + std::to_string(i),
                                         {"a" + std::to_string(i), "b" + std::to_string(i)}));
    }
    const platform_rows rows = decode_organisations(list);
    EXPECT_EQ(rows.newest_configuration->organisations.organisations.size(), 500U);
    EXPECT_EQ(rows.newest_configuration->organisations.names.size(), 1000U);
}

// Guards against treating a call without an answer as not applied.
TEST(store_codec, distinguishes_refused_from_unknown) {
    const store_codec codec;
    EXPECT_EQ(codec.parse_store_answer({0, "", {}}).outcome, store_outcome::unknown);
    EXPECT_EQ(codec.parse_store_answer({200, "garbage", {}}).outcome, store_outcome::unknown);
    EXPECT_EQ(codec.parse_store_answer({503, "", {}}).outcome, store_outcome::refused);
    EXPECT_EQ(codec.parse_store_answer({429, "", {}}).outcome, store_outcome::refused);
    EXPECT_EQ(codec.parse_store_answer({410, "", {}}).outcome, store_outcome::history_lost);
    EXPECT_EQ(codec.parse_store_answer({412, "{\"rows\":[]}", {}}).outcome,
              store_outcome::conflict);
    const auto done = codec.parse_store_answer(
        {200,
         R"({"rows":[{"Table":"t","part":"","Key":"k","Value":"bm9kZS0x","RowVersion":412}],)"
         R"("RowVersion":530,"NowMs":1})",
         {}});
    EXPECT_EQ(done.outcome, store_outcome::done);
    EXPECT_EQ(done.version, 530);
    ASSERT_EQ(done.rows.size(), 1U);
    EXPECT_EQ(done.rows[0], (stored_row{"t", "k", "node-1", 412, false}));
    EXPECT_FALSE(done.has_more);
    EXPECT_TRUE(codec.parse_store_answer({200, R"({"rows":[],"HasMore":true})", {}}).has_more);
}

// Guards against a restored store that goes unnoticed, and against an odd header that ends the
// process.
TEST(store_codec, reads_the_era_of_any_answer) {
    const store_codec codec;
    EXPECT_EQ(codec.parse_store_answer({200, "{}", {}, {{"Store-Era", "3"}}}).era, 3);
    EXPECT_EQ(codec.parse_store_answer({410, "", {}, {{"store-era", "4"}}}).era, 4);
    for (const char* text : {"", "x", "-1", "0", "3x", " 3", "99999999999999999999"}) {
        EXPECT_EQ(codec.parse_store_answer({200, "{}", {}, {{"Store-Era", text}}}).era, 0) << text;
    }
    EXPECT_EQ(codec.parse_store_answer({200, "{}", {}, {{"Store-Era-Old", "5"}}}).era, 0);
    EXPECT_EQ(codec.parse_store_answer({200, "{}", {}, {{"Store-Era", "1000001"}}}).era, 0);
    EXPECT_EQ(codec.parse_store_answer({200, "{}", {}, {}}).era, 0);
}

// Guards against comparing versions of different eras as numbers (CONFIG after a restored store),
// and against a condition or a watch that names a version unknown to the store.
TEST(store_codec, versions_rise_over_eras_and_calls_name_the_number) {
    const store_codec codec;
    const std::string body = R"({"rows":[{"Table":"t","Key":"k","Value":"","RowVersion":412}],)"
                             R"("RowVersion":530})";
    const auto before = codec.parse_store_answer({200, body, {}, {{"Store-Era", "1"}}});
    const auto after = codec.parse_store_answer({200, body, {}, {{"Store-Era", "2"}}});
    EXPECT_GT(after.rows.at(0).version, before.version);
    const auto change =
        codec.format_change({{"t", "k", "", 0, false}, after.rows[0].version, true});
    EXPECT_EQ(nlohmann::json::parse(change.body).at("Expect").at(0).at("RowVersion"), 412);
    const auto absent = codec.format_change({{"t", "k", "", 0, false}, 0, true});
    EXPECT_EQ(nlohmann::json::parse(absent.body).at("Expect").at(0).at("RowVersion"), 0);
    const auto watch = codec.format_watch(platform_table::targets, after.version, {1, 1});
    EXPECT_NE(watch.path.find("&after=530&"), std::string::npos);
}

TEST(store_codec, formats_a_conditional_change) {
    const auto request = store_codec().format_change({{"t", "k", "node-1", 0, false}, 412, true});
    EXPECT_EQ(nlohmann::json::parse(request.body),
              nlohmann::json::parse(
                  R"({"Expect":[{"Table":"t","part":"","Key":"k","RowVersion":412}],)"
                  R"("Puts":[{"Table":"t","part":"","Key":"k","Value":"bm9kZS0x"}],"Remove":[]})"));
}

}  // namespace
}  // namespace hornbeamhook::platform
