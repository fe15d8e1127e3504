#pragma once

#include <boost/leaf.hpp>
#include <string_view>
#include <vector>

#include "ctl/statement.h"

namespace hornbeamhook::ctl {

/**
 * Parses statements that each end with ";". Nothing is returned when any of them is wrong, so a
 * script with a syntax error has no effect. Fails with command_error.
 */
boost::leaf::result<std::vector<statement>> parse_statements(std::string_view input);

/** Whether the input ends with ";" outside of texts and comments, or is blank. */
bool is_complete(std::string_view input);

/** The words that may follow `words` at the start of a statement, for completion. */
std::vector<std::string> get_next_words(const std::vector<std::string>& words);

}  // namespace hornbeamhook::ctl
