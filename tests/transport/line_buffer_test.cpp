#include "transport/line_buffer.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace hornbeamhook::transport {
namespace {

std::vector<std::string> take_all(line_buffer& buffer) {
    std::vector<std::string> lines;
    while (const auto line = buffer.take_line()) {
        lines.emplace_back(*line);
    }
    return lines;
}

// Guards against lines that arrive in pieces, one byte at a time.
TEST(line_buffer, joins_pieces) {
    line_buffer buffer(100);
    std::vector<std::string> lines;
    for (const char c : std::string("one\r\n\r\ntwo words\r\n")) {
        buffer.append(std::string(1, c));
        for (std::string& line : take_all(buffer)) {
            lines.push_back(std::move(line));
        }
    }
    EXPECT_EQ(lines, (std::vector<std::string>{"one", "", "two words"}));
}

// Guards against idle sessions that each keep the memory of their longest line.
TEST(line_buffer, frees_the_memory_of_returned_lines) {
    constexpr std::size_t line_bytes = 100'000;
    line_buffer buffer(line_bytes);
    buffer.append(std::string(line_bytes, 'x') + "\r\nab");
    EXPECT_EQ(take_all(buffer).size(), 1U);
    buffer.release_returned();
    EXPECT_EQ(buffer.get_buffered_bytes(), 2U);
    buffer.append("c\r\n");
    EXPECT_EQ(take_all(buffer), (std::vector<std::string>{"abc"}));
    buffer.release_returned();
    EXPECT_LT(buffer.get_capacity(), line_bytes / 10);
}

// Guards against the rest of a line being lost when several lines arrive at once.
TEST(line_buffer, keeps_the_incomplete_rest) {
    line_buffer buffer(100);
    buffer.append("a\r\nb\r\nc");
    EXPECT_EQ(take_all(buffer), (std::vector<std::string>{"a", "b"}));
    buffer.append("d\r\n");
    EXPECT_EQ(take_all(buffer), (std::vector<std::string>{"cd"}));
}

// Guards against unbounded memory when a caller sends bytes without a line end.
TEST(line_buffer, reports_a_line_that_is_too_long) {
    line_buffer open(10);
    open.append("0123456789a");
    EXPECT_FALSE(open.take_line().has_value());
    EXPECT_TRUE(open.is_overlong());
    line_buffer closed(10);
    closed.append("0123456789a\r\n");
    EXPECT_FALSE(closed.take_line().has_value());
    EXPECT_TRUE(closed.is_overlong());
}

// Guards against a lone carriage return being taken for a line end.
TEST(line_buffer, needs_both_bytes_of_the_line_end) {
    line_buffer buffer(100);
    buffer.append("a\rb\nc\r");
    EXPECT_FALSE(buffer.take_line().has_value());
    buffer.append("\n");
    EXPECT_EQ(take_all(buffer), (std::vector<std::string>{"a\rb\nc"}));
}

}  // namespace
}  // namespace hornbeamhook::transport
