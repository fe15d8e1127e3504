#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace hornbeamhook::ctl {

/** Settings of the operator tool. */
struct ctl_settings {
    std::string platform_address;  ///< "ip:port" of the platform's services.
    std::string fleet_secret;      ///< Needed to ask the proxies.
    std::string operator_name;     ///< Who makes the changes.
    std::string credential;        ///< Needed once the configuration has an operator.
    std::chrono::milliseconds store_timeout{2000};
    std::chrono::milliseconds proxy_timeout{8000};
    std::chrono::milliseconds commit_timeout{10000};
    /// Replaces addresses before dialling, like in the settings of the proxies.
    std::map<std::string, std::string> address_map;

    /** The address to dial for `address`, after address_map. */
    std::string get_dial_address(const std::string& address) const;
};

/** Parses and checks settings. Fails with state_error. */
boost::leaf::result<ctl_settings> parse_ctl_settings(const nlohmann::json& object);

}  // namespace hornbeamhook::ctl
