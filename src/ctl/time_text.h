#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace hornbeamhook::ctl {

/** "YYYY-MM-DDTHH:MM:SS.mmmZ" of a wall clock time in ms. */
std::string format_time(std::int64_t at_ms);

/** Start of a day "YYYY-MM-DD" (UTC) in ms, or empty when it is no date. */
std::optional<std::int64_t> parse_day(const std::string& text);

/** The wall clock in ms. */
std::int64_t get_wall_ms();

}  // namespace hornbeamhook::ctl
