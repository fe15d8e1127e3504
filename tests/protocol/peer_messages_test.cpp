#include "protocol/peer_messages.h"

#include <gtest/gtest.h>

#include <limits>
#include <optional>
#include <string>
#include <utility>

#include "state/state_error.h"

namespace hornbeamhook::protocol {
namespace {

namespace leaf = boost::leaf;
using coordination::membership_message;
using nlohmann::json;
using state::member;
using state::member_state;

/** The parsed message, or the error as text. */
std::pair<std::optional<membership_message>, std::string> parse(const json& array) {
    using result = std::pair<std::optional<membership_message>, std::string>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<result> {
            BOOST_LEAF_AUTO(message, parse_exchange_message(array));
            return result{std::move(message), ""};
        },
        [](const state::state_error& error) {
            return result{std::nullopt, error.message};
        },
        [] {
            return result{std::nullopt, "no state_error"};
        });
}

member make_member(member_state value) {
    return {"vm1", "10.0.0.1:80", "cairo", "cairo-1", 1'796'000'000'000, 3, value, 21'000};
}

// Guards against a field or a state that another proxy reads as a different one.
TEST(peer_messages, an_exchange_keeps_every_field) {
    membership_message message{
        make_member(member_state::alive), {}, 3900, std::numeric_limits<std::uint64_t>::max()};
    for (const member_state value :
         {member_state::alive, member_state::suspect, member_state::leaving, member_state::dead}) {
        message.updates.push_back(make_member(value));
    }
    // By text, because numbers may change their type on the way.
    const auto [parsed, error] = parse(json::parse(to_json(message).dump()));
    ASSERT_TRUE(parsed) << error;
    EXPECT_EQ(*parsed, message);
}

// Guards against malformed messages that are taken in part, and errors that do not name the fault.
TEST(peer_messages, wrong_exchanges_are_refused) {
    const json good = to_json(membership_message{make_member(member_state::alive), {}, 1, 2});
    ASSERT_TRUE(parse(good).first);
    json wrong = good;
    wrong[2][6] = 4;
    EXPECT_NE(parse(wrong).second.find("state: 4"), std::string::npos) << parse(wrong).second;
    wrong = good;
    wrong[2].push_back(1);
    EXPECT_NE(parse(wrong).second.find("8 fields"), std::string::npos);
    wrong = good;
    wrong[2][0] = "";
    EXPECT_NE(parse(wrong).second.find("vm"), std::string::npos);
    wrong = good;
    wrong[2][4] = -1;
    EXPECT_NE(parse(wrong).second.find("incarnation"), std::string::npos);
    wrong = good;
    wrong[1] = "digest";
    EXPECT_FALSE(parse(wrong).first);
    wrong = good;
    for (std::size_t i = 0; i <= 2 * coordination::max_updates; ++i) {
        wrong.push_back(good[2]);
    }
    EXPECT_FALSE(parse(wrong).first);
    EXPECT_FALSE(parse(json::object()).first);
}

}  // namespace
}  // namespace hornbeamhook::protocol
