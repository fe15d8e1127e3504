#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hornbeamhook::state {

/** What is known about a request after it ended. */
enum class outcome {
    ok,       ///< It ran and, for a write, a majority of the group holds it.
    not_run,  ///< No byte of it can have reached a target that could run it, or the target said so.
    unknown,  ///< It was sent, and whether it ran is not known.
};

/** The wire name of an outcome. */
constexpr std::string_view to_string(outcome value) {
    switch (value) {
        case outcome::ok:
            return "ok";
        case outcome::not_run:
            return "not_run";
        case outcome::unknown:
            break;
    }
    return "unknown";
}

/** Parses a wire name; empty when it is none. */
constexpr std::optional<outcome> parse_outcome(std::string_view text) {
    for (const outcome value : {outcome::ok, outcome::not_run, outcome::unknown}) {
        if (to_string(value) == text) {
            return value;
        }
    }
    return std::nullopt;
}

}  // namespace hornbeamhook::state
