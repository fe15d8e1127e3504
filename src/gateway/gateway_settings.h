#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "transport/endpoint.h"

namespace hornbeamhook::gateway {

/** Settings of one gateway process. */
struct gateway_settings {
    std::string vm;
    std::string place;
    std::string region;
    std::vector<std::pair<std::string, std::string>> place_regions;  ///< Region of each place.
    transport::endpoint caller_address;
    transport::endpoint readiness_address;
    transport::endpoint control_address;
    transport::endpoint peer_address;        ///< UDP, for messages between VMs.
    std::vector<transport::endpoint> seeds;  ///< Control addresses of other VMs; may be stale.
    transport::endpoint store_address;
    transport::endpoint promotion_address;
    std::int64_t shutdown_limit_ms = 0;  ///< From SIGTERM to SIGKILL.
    bool identifies_callers = false;     ///< Callers need the key of an organisation.
    bool limits_operations = false;      ///< The organisations' limits are in force.
    std::int64_t limit_window_ms = 0;    ///< Span over which limits are judged.
    double limit_excess = 0;             ///< Share of the limit that a span may exceed it by.
    std::int64_t memory_mb = 0;          ///< Of the process; 0 if it is not known.
    std::int64_t max_descriptors = 0;    ///< Of the process; 0 if it is not known.
    std::int64_t limit_slack = 0;        ///< Operations that a span may exceed it by besides.
    bool shares_fairly = false;          ///< Organisations share the room while statements wait.
    bool paces_targets = false;          ///< Statements in flight at a target are limited.

    bool operator==(const gateway_settings&) const = default;
};

}  // namespace hornbeamhook::gateway
