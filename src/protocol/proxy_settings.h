#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace hornbeamhook::protocol {

/** How connections to targets are divided between proxies. */
enum class connection_layout {
    homes,        ///< Only the home proxies of a target connect to it.
    fixed_split,  ///< Every proxy connects to every target with an equal share.
};

/** Settings of one proxy process. Times have the defaults of docs/design.md. */
struct proxy_settings {
    std::string vm;
    std::string place;
    std::string data_center;
    std::string region;
    std::string listen_address;     ///< "ip:port" to bind.
    std::string advertise_address;  ///< "ip:port" other proxies use; defaults to listen_address.
    std::string platform_address;   ///< "ip:port" of the platform's services.
    std::string fleet_secret;       ///< Shared by all proxies of the fleet.
    /// Replaces addresses before dialling, for VMs that reach others through a relay.
    std::map<std::string, std::string> address_map;
    connection_layout layout = connection_layout::homes;
    int homes_per_target = 2;
    int worker_threads = 64;
    int http_threads = 4;
    int reserved_connections = 6;  ///< Per target, for control connections of the whole fleet.
    std::size_t max_request_bytes = 1U << 20U;
    std::int64_t memory_mb = 0;        ///< Of the VM, in MiB; 0: unknown, large.
    std::int64_t max_descriptors = 0;  ///< That the process may open; 0: unknown, many.
    std::chrono::milliseconds heartbeat_interval{250};           ///< Polls by active pollers.
    std::chrono::milliseconds standby_heartbeat_interval{1000};  ///< Polls by the other pollers.
    std::chrono::milliseconds probe_timeout{300};
    std::chrono::milliseconds exchange_interval{1000};
    std::chrono::milliseconds member_timeout{3000};
    std::chrono::milliseconds store_poll_interval{1000};
    std::chrono::milliseconds store_timeout{2000};
    std::chrono::milliseconds balancer_grace{1000};
    std::chrono::milliseconds drain_timeout{10000};
    std::chrono::milliseconds transaction_idle_timeout{5000};
    std::chrono::milliseconds transaction_total_timeout{30000};
    std::chrono::hours key_retention{168};
    std::chrono::milliseconds prune_interval{600'000};

    bool operator==(const proxy_settings&) const = default;

    /** The address to dial for `address`, after address_map. */
    std::string get_dial_address(const std::string& address) const;
};

/** Parses and checks settings; errors name the field, the value and what is allowed. */
boost::leaf::result<proxy_settings> parse_proxy_settings(const nlohmann::json& object);

}  // namespace hornbeamhook::protocol
