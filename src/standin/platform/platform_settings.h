#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace hornbeamhook::standin::platform {

/** Settings of the platform stand-in. */
struct platform_settings {
    std::string listen_address;  ///< "ip:port" to bind.
    int threads = 2;
    std::chrono::milliseconds vm_list_lag{1000};
    std::chrono::milliseconds latency{0};  ///< Added to each answer.
    std::uint64_t seed = 1;                ///< Of the random choice of lost answers.
};

/** Parses and checks settings. Fails with state_error. */
boost::leaf::result<platform_settings> parse_platform_settings(const nlohmann::json& object);

}  // namespace hornbeamhook::standin::platform
