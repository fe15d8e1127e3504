#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "state/log_point.h"

namespace hornbeamhook::standin::target {

/** Settings of one target stand-in. */
struct target_settings {
    std::string name;
    std::string listen_address;       ///< "ip:port" of the PostgreSQL protocol.
    std::string control_address;      ///< "ip:port" of the control HTTP interface.
    std::string replication_address;  ///< "ip:port" where this target receives the log.
    /// Replication address of each peer as this target dials it, possibly that of a relay.
    std::map<std::string, std::string> peers;
    std::string initial_primary;
    state::term_number initial_term = 1;
    /// Keeps the log and the terms over a restart; a temporary folder is used when empty.
    std::string data_directory;
    std::chrono::milliseconds replication_lag{0};
    int slots = 3;
    int connection_limit = 20;
    std::chrono::microseconds statement_cost{0};  ///< Simulated execution time inside a slot.
    std::chrono::milliseconds connect_cost{10};
    std::chrono::milliseconds heartbeat_interval{100};
    /// Connections whose transaction is idle for longer are closed.
    std::chrono::milliseconds idle_transaction_timeout{10'000};

    bool operator==(const target_settings&) const = default;
};

/** Parses and checks settings; errors name the field, the value and what is allowed. */
boost::leaf::result<target_settings> parse_target_settings(const nlohmann::json& object);

}  // namespace hornbeamhook::standin::target
