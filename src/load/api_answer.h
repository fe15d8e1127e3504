#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "state/outcome.h"

namespace hornbeamhook::load {

/** One result table of an answer. */
struct api_result {
    std::vector<std::vector<std::optional<std::string>>> rows;

    /** A cell as text; empty when it is missing or null. */
    std::string get_cell(std::size_t row, std::size_t column) const;
};

/** What a caller knows after one exchange with a proxy. */
struct api_answer {
    state::outcome outcome = state::outcome::unknown;
    std::string code;  ///< Error code, or "transport_..." when no answer came.
    std::string message;
    bool is_retry_allowed = false;
    std::vector<api_result> results;
    std::string token;
    std::string target;
    bool is_by_replica = false;
    std::uint64_t configuration_version = 0;
    std::string transaction;  ///< Id of the transaction that was begun.

    /** Whether the request succeeded. */
    bool is_ok() const { return outcome == state::outcome::ok; }

    /** The first cell of the last result: the echo of the request. */
    std::string get_echo() const;
};

/** Parses an answer body; a body that is no answer gives outcome `unknown`. */
api_answer parse_api_answer(const std::string& body);

}  // namespace hornbeamhook::load
