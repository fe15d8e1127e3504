#pragma once

#include <nlohmann/json.hpp>
#include <vector>

namespace hornbeamhook::load {

/** Rounds for the report; more digits than these are noise. */
double round_to_thousandths(double value);

/** Count, p50, p90, p99 and max of latencies in milliseconds. */
nlohmann::json summarise_latencies(std::vector<double> values);

}  // namespace hornbeamhook::load
