#pragma once

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <string_view>

namespace hornbeamhook::tests {

/** Draws texts that a careless writer or reader of lines takes for syntax. Not thread safe. */
class hostile_text {
public:
    explicit hostile_text(std::uint64_t seed) : random_(seed) {}

    /** Any bytes: blanks, line ends, marks, words of the protocol, non-ASCII; may be empty. */
    std::string draw() {
        constexpr std::array<std::string_view, 38> parts{" ",
                                                         "  ",
                                                         "\t",
                                                         "\r",
                                                         "\n",
                                                         "\r\n",
                                                         "\0",
                                                         "\x1b[2J",
                                                         "\x7f",
                                                         "\"",
                                                         "\\",
                                                         "=",
                                                         ",",
                                                         ";",
                                                         "-",
                                                         "/",
                                                         "%",
                                                         ":",
                                                         "\\n",
                                                         "\\x41",
                                                         "#",
                                                         "READ",
                                                         "WRITE",
                                                         "WAITLSN",
                                                         "QUERY",
                                                         "PARSE",
                                                         "READY",
                                                         "ERROR",
                                                         "STARTUP",
                                                         "DISCARD",
                                                         "3.1207",
                                                         "boot_ms=1 ",
                                                         "event=7000",
                                                         "vm=a",
                                                         "\xc3\xa4",
                                                         "\xff",
                                                         "\xe2\x80\xa8",
                                                         "q1"};
        constexpr std::size_t max_parts = 6;
        constexpr std::size_t long_bytes = 70000;
        constexpr std::uint64_t long_interval = 500;
        std::string text;
        for (std::size_t left = random_() % max_parts; left > 0; --left) {
            const std::string_view part = parts[random_() % parts.size()];
            text += part.empty() ? std::string_view("\0", 1) : part;
        }
        return random_() % long_interval == 0 ? text + std::string(long_bytes, 'x') : text;
    }

    /** A text that a field of a line may hold when it ends at a blank. */
    std::string draw_word() {
        std::string word = draw();
        std::replace(word.begin(), word.end(), ' ', '_');
        return remove_line_ends(word.empty() ? "w" : word);
    }

    /** A text that the last field of a line may hold; may be empty. */
    std::string draw_last() { return remove_line_ends(draw()); }

    std::uint64_t draw_number() { return random_(); }

private:
    static std::string remove_line_ends(std::string text) {
        for (std::size_t at = text.find("\r\n"); at != std::string::npos; at = text.find("\r\n")) {
            text.erase(at + 1, 1);
        }
        return text;
    }

    std::mt19937_64 random_;
};

}  // namespace hornbeamhook::tests
