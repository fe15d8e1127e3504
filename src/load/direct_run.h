#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

namespace hornbeamhook::load {

/** Baseline without any proxy: clients with one connection each read from one target. */
struct direct_settings {
    std::string address;  ///< "ip:port" of the target, which must be a primary.
    int clients = 1;
    std::chrono::milliseconds duration{5'000};
    std::string run;  ///< Part of the table name.
};

/** Runs the baseline and reports statements per second and latency. Fails with load_error. */
boost::leaf::result<nlohmann::json> run_direct(const direct_settings& settings);

}  // namespace hornbeamhook::load
