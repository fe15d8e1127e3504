#include "standin/target/target_settings.h"

#include <gtest/gtest.h>

#include "standin/target/fault_state.h"
#include "state/json_reader.h"

namespace hornbeamhook::standin::target {
namespace {

namespace leaf = boost::leaf;

const nlohmann::json minimal{{"name", "a"},
                             {"listen_address", "127.0.0.1:1"},
                             {"control_address", "127.0.0.1:2"},
                             {"replication_address", "127.0.0.1:3"},
                             {"peers", {{{"name", "b"}, {"address", "127.0.0.1:4"}}}},
                             {"initial_primary", "b"}};

template <class Function>
std::string get_error(Function&& parse) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(parse());
            return std::string();
        },
        [](const state::state_error& error) { return error.message; },
        [] { return std::string("unknown error"); });
}

// Guards against settings that are accepted and then ignored, or errors that name nothing.
TEST(target_settings, errors_name_the_field_and_what_is_allowed) {
    EXPECT_EQ(get_error([] { return parse_target_settings(minimal); }), "");
    const std::vector<std::pair<nlohmann::json, std::string>> cases{
        {{{"slots", 0}}, "slots: 0 is not allowed; allowed: an integer from 1 to 1024"},
        {{{"slot", 1}}, "slot: unknown field with value 1"},
        {{{"initial_primary", "z"}},
         "initial_primary: \"z\" is not allowed; allowed: name or one of peers"},
        {{{"peers", {{{"name", "a"}, {"address", "x"}}}}},
         "peers: \"a\" is not allowed; allowed: each other target once"},
        {{{"peers", {{{"name", "b"}}}}}, "peers[0].address: missing; allowed: a string"},
        {{{"connect_cost_ms", "10"}},
         "connect_cost_ms: \"10\" is not allowed; allowed: an integer from 0 to 600000"},
    };
    for (const auto& [change, message] : cases) {
        nlohmann::json object = minimal;
        object.update(change);
        EXPECT_EQ(get_error([&] { return parse_target_settings(object); }), message);
    }
}

// Guards against a change of one fault resetting another.
TEST(fault_set, absent_fields_keep_their_value) {
    const fault_set base{.replication_lag = std::chrono::milliseconds(7),
                         .cut_peers = {"b"},
                         .refuse_connections = true,
                         .answer_delay = std::chrono::milliseconds(8),
                         .lose_commit_answers = 9,
                         .loss = answer_loss::silent};
    const auto parse = [&](const nlohmann::json& object) {
        return leaf::try_handle_all([&] { return parse_faults(object, base); },
                                    [] { return fault_set{}; });
    };
    EXPECT_EQ(parse(nlohmann::json::object()), base);
    EXPECT_EQ(parse(to_json(base)), base);
    fault_set changed = base;
    changed.cut_peers.clear();
    EXPECT_EQ(parse({{"cut_peers", nlohmann::json::array()}}), changed);
    EXPECT_EQ(get_error([&] {
                  return parse_faults({{"cut_peers", {1}}}, base);
              }),
              "cut_peers: 1 is not allowed; allowed: names of peers");
    EXPECT_EQ(get_error([&] {
                  return parse_faults({{"lag", 1}}, base);
              }),
              "lag: unknown field with value 1");
}

}  // namespace
}  // namespace hornbeamhook::standin::target
