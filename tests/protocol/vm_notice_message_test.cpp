#include "protocol/vm_notice_message.h"

#include <gtest/gtest.h>

#include "state/state_error.h"

namespace hornbeamhook::protocol {
namespace {

namespace leaf = boost::leaf;

std::string parse_error(const nlohmann::json& object) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(parse_vm_notice_message(object));
            return std::string();
        },
        [](const state::state_error& error) { return error.message; },
        [] { return std::string("another error"); });
}

// Guards against a notice that loses the process it is meant for.
TEST(vm_notice_message_test, survives_a_round_trip) {
    for (const bool is_missing : {false, true}) {
        const vm_notice_message message{"vm7", 1'700'000'000'123, is_missing};
        const vm_notice_message parsed =
            leaf::try_handle_all([&] { return parse_vm_notice_message(to_json(message)); },
                                 [] { return vm_notice_message{}; });
        EXPECT_EQ(parsed, message);
    }
}

// Guards against a malformed notice that is taken for one.
TEST(vm_notice_message_test, errors_name_the_field) {
    EXPECT_NE(parse_error({{"vm", "vm7"}, {"incarnation", 1}}).find("state"), std::string::npos);
    EXPECT_NE(parse_error({{"vm", "vm7"}, {"incarnation", 1}, {"state", "live"}}).find("state"),
              std::string::npos);
    EXPECT_NE(
        parse_error({{"vm", "vm7"}, {"incarnation", -1}, {"state", "leaving"}}).find("incarnation"),
        std::string::npos);
    EXPECT_EQ(parse_error({{"vm", "vm7"}, {"incarnation", 1}, {"state", "leaving"}}), "");
}

}  // namespace
}  // namespace hornbeamhook::protocol
