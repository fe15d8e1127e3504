#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load/operation_sample.h"

namespace hornbeamhook::load {

/** What one session counted. */
struct run_statistics {
    std::vector<operation_sample> samples;
    std::map<std::string, std::int64_t> refusals;  ///< Attempts that were told not_run, by code.
    std::map<std::string, std::int64_t> unknowns;  ///< Attempts with unknown outcome, by code.
    std::map<std::string, std::string> messages;   ///< First message seen per code.

    /** Adds what another session counted. */
    void append(run_statistics other);
};

}  // namespace hornbeamhook::load
