#pragma once

#include <string>

namespace hornbeamhook::ctl {

/** Help on one command, or the list of commands when `topic` is empty or unknown. */
std::string get_help(const std::string& topic);

}  // namespace hornbeamhook::ctl
