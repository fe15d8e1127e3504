#include "state/json_reader.h"

#include <gtest/gtest.h>

#include <string>

#include "state/state_error.h"

namespace hornbeamhook::state {
namespace {

// Guards against a text of another program that ends the process which reads it.
TEST(json_reader, a_text_that_cannot_be_read_is_an_error) {
    constexpr std::size_t levels = 100000;
    const std::string nested = std::string(levels, '[') + std::string(levels, ']');
    for (const std::string& text : {std::string(R"({"port":1e999})"), std::string("-1e999"),
                                    std::string("{"), std::string("\xff"), nested}) {
        bool is_rejected = false;
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_CHECK(parse_json(text, "text"));
                return {};
            },
            [&](const state_error&) { is_rejected = true; }, [] {});
        EXPECT_TRUE(is_rejected) << text.substr(0, 20);
    }
}

}  // namespace
}  // namespace hornbeamhook::state
