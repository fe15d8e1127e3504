#include "ctl/time_text.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>

namespace hornbeamhook::ctl {

namespace {
constexpr std::int64_t ms_per_second = 1000;
}  // namespace

std::string format_time(std::int64_t at_ms) {
    const std::time_t seconds = at_ms / ms_per_second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> rest{};
    std::snprintf(rest.data(), rest.size(), ".%03dZ", static_cast<int>(at_ms % ms_per_second));
    return std::string(date.data()) + rest.data();
}

std::optional<std::int64_t> parse_day(const std::string& text) {
    std::tm parts{};
    const char* end = strptime(text.c_str(), "%Y-%m-%d", &parts);
    if (end == nullptr || *end != '\0') {
        return std::nullopt;
    }
    return static_cast<std::int64_t>(timegm(&parts)) * ms_per_second;
}

std::int64_t get_wall_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}  // namespace hornbeamhook::ctl
