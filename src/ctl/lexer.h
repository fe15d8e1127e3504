#pragma once

#include <boost/leaf.hpp>
#include <string_view>
#include <vector>

#include "ctl/token.h"

namespace hornbeamhook::ctl {

/**
 * Splits input into tokens; the last one is of kind `end`. Comments run from "--" to the end of the
 * line. Fails with command_error.
 */
boost::leaf::result<std::vector<token>> split_into_tokens(std::string_view input);

}  // namespace hornbeamhook::ctl
