#include "state/configuration.h"

#include <gtest/gtest.h>

#include <random>

#include "state/member.h"
#include "state/state_error.h"
#include "support/random_seed.h"

namespace hornbeamhook::state {
namespace {

namespace leaf = boost::leaf;
using nlohmann::json;

/** The value, or empty with the message of the error. */
template <class T>
std::optional<T> get_value(leaf::result<T> (*function)(const json&), const json& input,
                           std::string& message) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<T>> {
            BOOST_LEAF_AUTO(value, function(input));
            return std::optional<T>(std::move(value));
        },
        [&](const state_error& error) {
            message = error.message;
            return std::optional<T>();
        },
        [] { return std::optional<T>(); });
}

std::optional<configuration> apply(const configuration& base, const configuration_change& change,
                                   std::string& message) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<configuration>> {
            BOOST_LEAF_AUTO(value, apply_change(base, change));
            return std::optional<configuration>(std::move(value));
        },
        [&](const state_error& error) {
            message = error.message;
            return std::optional<configuration>();
        },
        [] { return std::optional<configuration>(); });
}

json make_target() {
    return {{"address", "127.0.0.1:5432"}, {"place", "cairo"}, {"data_center", "cairo-1"}};
}

configuration_change make_change(std::uint64_t version, std::vector<configuration_put> puts,
                                 std::vector<configuration_delete> deletes = {}) {
    return {version,           "id-" + std::to_string(version), "test", 1, std::move(puts),
            std::move(deletes)};
}

configuration make_base() {
    std::string message;
    const auto result = apply({},
                              make_change(1, {{"pool", "ledger", json::object()},
                                              {"target", "ledger/b", make_target()},
                                              {"target", "ledger/a", make_target()}}),
                              message);
    EXPECT_TRUE(result) << message;
    return result.value_or(configuration());
}

// Guards against targets out of order, which find and majority logic would not notice.
TEST(configuration, orders_targets_and_records_versions) {
    const configuration base = make_base();
    const pool_description* pool = base.find_pool("ledger");
    ASSERT_NE(pool, nullptr);
    ASSERT_EQ(pool->targets.size(), 2U);
    EXPECT_EQ(pool->targets[0].name, "a");
    EXPECT_EQ(pool->get_majority(), 2U);
    EXPECT_NE(pool->find_target("b"), nullptr);
    EXPECT_EQ(pool->find_target("c"), nullptr);
    EXPECT_EQ(base.object_versions.at("target/ledger/a"), 1U);
}

// Guards against a pool change that silently drops the targets of the pool.
TEST(configuration, altering_a_pool_keeps_its_targets) {
    std::string message;
    const auto next =
        apply(make_base(), make_change(2, {{"pool", "ledger", {{"queue_length", 9}}}}), message);
    ASSERT_TRUE(next) << message;
    EXPECT_EQ(next->find_pool("ledger")->queue_length, 9);
    EXPECT_EQ(next->find_pool("ledger")->targets.size(), 2U);
    EXPECT_EQ(next->object_versions.at("pool/ledger"), 2U);
    EXPECT_EQ(next->object_versions.at("target/ledger/a"), 1U);
}

// Guards against targets (and their versions) that outlive their pool.
TEST(configuration, deleting_a_pool_deletes_its_targets) {
    std::string message;
    const auto next = apply(make_base(), make_change(2, {}, {{"pool", "ledger"}}), message);
    ASSERT_TRUE(next) << message;
    EXPECT_TRUE(next->pools.empty());
    EXPECT_TRUE(next->object_versions.empty());
    const auto again = apply(*next, make_change(3, {{"pool", "ledger", json::object()}}), message);
    ASSERT_TRUE(again) << message;
    EXPECT_TRUE(again->find_pool("ledger")->targets.empty());
}

// Guards against adopting versions twice, out of order or with a gap.
TEST(configuration, refuses_any_version_but_the_next) {
    std::string message;
    const configuration base = make_base();
    for (const std::uint64_t version : {0U, 1U, 3U}) {
        EXPECT_FALSE(apply(base, make_change(version, {}), message));
        EXPECT_NE(message.find("allowed: 2"), std::string::npos) << message;
    }
}

// Guards against references to objects that do not exist.
TEST(configuration, refuses_unknown_references) {
    std::string message;
    const configuration base = make_base();
    EXPECT_FALSE(apply(base, make_change(2, {{"target", "other/a", make_target()}}), message));
    EXPECT_NE(message.find("pool \"other\" does not exist"), std::string::npos) << message;
    for (const char* kind : {"pool", "caller", "operator", "token_key"}) {
        EXPECT_FALSE(apply(base, make_change(2, {}, {{kind, "nobody"}}), message)) << kind;
        EXPECT_NE(message.find("does not exist"), std::string::npos) << message;
    }
    EXPECT_FALSE(apply(base, make_change(2, {}, {{"target", "ledger/z"}}), message));
}

// Guards against two callers with one credential, of which only one would ever be found.
TEST(configuration, refuses_a_credential_hash_in_use) {
    std::string message;
    const std::string hash(64, 'a');
    const auto one = apply(
        make_base(), make_change(2, {{"caller", "bench", {{"credential_hash", hash}}}}), message);
    ASSERT_TRUE(one) << message;
    EXPECT_EQ(one->find_caller(hash)->name, "bench");
    EXPECT_EQ(one->find_caller(std::string(64, 'b')), nullptr);
    EXPECT_FALSE(
        apply(*one, make_change(3, {{"caller", "van", {{"credential_hash", hash}}}}), message));
    EXPECT_NE(message.find("already used by \"bench\""), std::string::npos) << message;
}

// Guards against rights that leak from one pool or direction to another.
TEST(configuration, rights_cover_only_what_they_name) {
    principal caller;
    caller.rights = {{"ledger", true, false}, {"orders", false, true}};
    EXPECT_TRUE(caller.is_allowed("ledger", false));
    EXPECT_FALSE(caller.is_allowed("ledger", true));
    EXPECT_FALSE(caller.is_allowed("orders", false));
    EXPECT_TRUE(caller.is_allowed("orders", true));
    EXPECT_FALSE(caller.is_allowed("stock", false));
    caller.rights = {{"*", true, false}};
    EXPECT_TRUE(caller.is_allowed("stock", false));
    EXPECT_FALSE(caller.is_allowed("stock", true));
}

// Guards against puts that are stored unchecked and against errors that do not name the field.
TEST(configuration, checks_each_put_in_full) {
    struct wrong_case {
        json put;
        std::string field;
        std::string text;
    };
    json bad_address = make_target();
    bad_address["address"] = "example.org:5432";
    json bad_port = make_target();
    bad_port["address"] = "127.0.0.1:65536";
    json bad_slots = make_target();
    bad_slots["slots"] = 0;
    json unknown = make_target();
    unknown["weight"] = 1;
    const std::vector<wrong_case> cases{
        {{{"kind", "zone"}, {"name", "a"}, {"value", json::object()}}, "kind", "\"zone\""},
        {{{"kind", "pool"}, {"name", "a b"}, {"value", json::object()}}, "name", "\"a b\""},
        {{{"kind", "pool"}, {"name", "a"}, {"value", {{"queue_length", 0}}}},
         "queue_length",
         "1 to 100000"},
        {{{"kind", "pool"},
          {"name", "a"},
          {"value", {{"default_read_policy", {{"strict", true}, {"max_age_ms", 1}}}}}},
         "default_read_policy",
         "exactly one"},
        {{{"kind", "target"}, {"name", "a"}, {"value", make_target()}}, "name", "pool/target"},
        {{{"kind", "target"}, {"name", "p/a"}, {"value", bad_address}}, "address", "example.org"},
        {{{"kind", "target"}, {"name", "p/a"}, {"value", bad_port}}, "address", "65536"},
        {{{"kind", "target"}, {"name", "p/a"}, {"value", bad_slots}}, "slots", "1 to 1000"},
        {{{"kind", "target"}, {"name", "p/a"}, {"value", unknown}}, "weight", "unknown field"},
        {{{"kind", "caller"}, {"name", "c"}, {"value", {{"credential_hash", "plain"}}}},
         "credential_hash",
         "64 lower-case hex digits"},
        {{{"kind", "caller"},
          {"name", "c"},
          {"value",
           {{"credential_hash", std::string(64, '0')},
            {"rights", json::array({{{"pool", "p"}}, {{"pool", "p"}}})}}}},
         "rights[1].pool",
         "listed twice"},
        {{{"kind", "token_key"}, {"name", "k"}, {"value", {{"secret", "XY"}}}}, "secret", "64"},
    };
    for (const wrong_case& item : cases) {
        const json change{{"version", 1},
                          {"change_id", "x"},
                          {"author", "a"},
                          {"at_ms", 0},
                          {"puts", {item.put}}};
        std::string message;
        EXPECT_FALSE(get_value(&parse_configuration_change, change, message)) << item.put;
        EXPECT_NE(message.find(item.field), std::string::npos) << message;
        EXPECT_NE(message.find(item.text), std::string::npos) << message;
    }
}

// Guards against a secret or credential that is echoed into logs by an error message.
TEST(configuration, errors_do_not_show_secrets) {
    for (const char* kind : {"caller", "operator", "token_key"}) {
        const char* field = std::string(kind) == "token_key" ? "secret" : "credential_hash";
        const json change{
            {"version", 1},
            {"change_id", "x"},
            {"author", "a"},
            {"at_ms", 0},
            {"puts", json::array({{{"kind", kind}, {"name", "n"}, {"value", {{field, "tell"}}}}})}};
        std::string message;
        EXPECT_FALSE(get_value(&parse_configuration_change, change, message));
        EXPECT_EQ(message.find("tell"), std::string::npos) << message;
    }
}

// Guards against a change or configuration that differs after a round trip through JSON.
TEST(configuration, round_trips_through_json) {
    std::string message;
    const configuration_change change = make_change(
        2,
        {{"pool", "recipes", {{"default_read_policy", {{"max_age_ms", 250}}}, {"queue_length", 7}}},
         {"caller",
          "van",
          {{"credential_hash", std::string(64, '1')},
           {"rights", json::array({{{"pool", "*"}, {"may_read", true}}})}}},
         {"operator", "ada", {{"credential_hash", std::string(64, '2')}}},
         {"token_key", "k1", {{"secret", std::string(64, '3')}}}},
        {{"target", "ledger/a"}});
    EXPECT_EQ(get_value(&parse_configuration_change, to_json(change), message), change) << message;
    const auto result = apply(make_base(), change, message);
    ASSERT_TRUE(result) << message;
    EXPECT_EQ(get_value(&parse_configuration, to_json(*result), message), result) << message;
}

// Guards against a snapshot that differs from the log it stands for.
TEST(configuration, snapshot_plus_tail_equals_full_log) {
    const std::uint64_t seed = tests::get_seed("configuration", std::random_device{}());
    std::mt19937_64 random(seed);
    configuration full;
    std::optional<configuration> resumed;
    for (std::uint64_t version = 1; version <= 300; ++version) {
        const std::string pool = "p" + std::to_string(random() % 6);
        configuration_change change = make_change(version, {});
        const auto kind = random() % 4;
        if (full.find_pool(pool) == nullptr) {
            change.puts = {{"pool", pool, {{"queue_length", 1 + random() % 9}}}};
        } else if (kind == 0) {
            change.deletes = {{"pool", pool}};
        } else if (kind == 1) {
            change.puts = {{"pool", pool, {{"queue_length", 1 + random() % 9}}}};
        } else {
            change.puts = {{"target", pool + "/t" + std::to_string(random() % 3), make_target()}};
        }
        std::string message;
        auto next = apply(full, change, message);
        ASSERT_TRUE(next) << message;
        full = std::move(*next);
        if (version == 150) {
            resumed = get_value(&parse_configuration, to_json(full), message);
            ASSERT_TRUE(resumed) << message;
        } else if (resumed) {
            resumed = apply(*resumed, change, message);
            ASSERT_TRUE(resumed) << message;
        }
    }
    EXPECT_EQ(resumed, full);
}

// Guards against members that change in transit between proxies.
TEST(member, round_trips_and_names_wrong_fields) {
    const member value{"vm-1", "127.0.0.1:1",         "cairo", "cairo-1", 12,
                       34,     member_state::leaving, 56};
    std::string message;
    EXPECT_EQ(get_value(&parse_member, to_json(value), message), value) << message;
    json wrong = to_json(value);
    wrong["state"] = "tired";
    EXPECT_FALSE(get_value(&parse_member, wrong, message));
    EXPECT_NE(message.find("member.state"), std::string::npos) << message;
    wrong = to_json(value);
    wrong["vm"] = "";
    EXPECT_FALSE(get_value(&parse_member, wrong, message));
}

}  // namespace
}  // namespace hornbeamhook::state
