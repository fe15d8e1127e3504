#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "load/workload.h"

namespace hornbeamhook::load {

/** One proxy as callers reach it. */
struct proxy_endpoint {
    std::string name;
    std::string place;
    std::string address;  ///< "ip:port".

    bool operator==(const proxy_endpoint&) const = default;
};

/** What to load and how. The fleet comes from the settings file, the rest from options. */
struct load_settings {
    std::string deployment;
    std::vector<proxy_endpoint> proxies;
    std::vector<std::string> pools;
    std::string credential;
    std::string control_address;  ///< "ip:port" for events; empty for none.

    std::string run;  ///< Part of every table name and marker, so that runs never mix.
    workload mix;
    std::uint64_t seed = 1;
    int clients = 32;
    std::optional<double> rate;  ///< Requests per second; without it each client waits.
    std::chrono::milliseconds duration{10'000};
    std::chrono::milliseconds warm_up{1'000};
    std::chrono::milliseconds deadline{4'000};        ///< Of one request.
    std::chrono::milliseconds retry_timeout{15'000};  ///< A caller repeats for this long.
    std::optional<std::chrono::milliseconds> kill_primary_at;
    bool are_refusals_repeated = true;  ///< Whether callers repeat after not_run.
};

/** Parses the settings file. Fails with state_error. */
boost::leaf::result<load_settings> parse_load_settings(const nlohmann::json& object);

}  // namespace hornbeamhook::load
