#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hornbeamhook::standin::fault {

/** One relayed TCP address. */
struct relay_link_settings {
    std::string name;                      ///< Unique; control commands select links by it.
    std::string listen;                    ///< "ip:port" callers connect to.
    std::string upstream;                  ///< "ip:port" of the relayed process.
    std::chrono::microseconds latency{0};  ///< One way.

    bool operator==(const relay_link_settings&) const = default;
};

/** Settings of the fault relay process. */
struct relay_settings {
    std::string control_address;  ///< "ip:port" of the control interface.
    int threads = 1;              ///< Links are divided between this many threads.
    std::vector<relay_link_settings> links;

    bool operator==(const relay_settings&) const = default;
};

/** Parses the settings. Fails with state_error. */
boost::leaf::result<relay_settings> parse_relay_settings(const nlohmann::json& object);

}  // namespace hornbeamhook::standin::fault
