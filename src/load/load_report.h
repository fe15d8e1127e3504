#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "load/history.h"
#include "load/history_checker.h"
#include "load/load_settings.h"
#include "load/run_statistics.h"

namespace hornbeamhook::load {

/** Everything the report is made of. */
struct report_input {
    const load_settings& settings;
    const history& seen;
    const run_statistics& statistics;
    const check_result& checked;
    time_point measured_from;  ///< End of the warm-up.
    time_point measured_to;
};

/** The report as JSON; docs/load.md describes the fields. */
nlohmann::json make_report(const report_input& input);

/** The report as text for a console. */
std::string to_summary(const nlohmann::json& report);

}  // namespace hornbeamhook::load
