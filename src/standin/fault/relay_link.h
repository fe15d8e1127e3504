#pragma once

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "standin/fault/link_command.h"
#include "standin/fault/relay_settings.h"
#include "standin/fault/relay_stream.h"

namespace hornbeamhook::standin::fault {

/** State of one link; owned by the thread of its relay_loop. */
struct relay_link {
    /** An answer that waits for its exchange with the next one. */
    struct crossed_answer {
        std::uint64_t connection = 0;
        std::string data;
    };

    relay_link_settings settings;
    int listener = -1;
    bool is_cut = false;
    bool is_upstream_down = false;
    bool is_new_silent = false;
    std::optional<std::chrono::milliseconds> silence_release;  ///< For new silent connections.
    std::array<bool, 2> is_lost{};                             ///< By relay_direction.
    std::chrono::microseconds extra_latency{0};
    std::vector<message_fault_command> message_faults;
    std::optional<crossed_answer> crossed;
    time_point last_probe{};
    std::uint64_t connections_open = 0;
    std::uint64_t connections_total = 0;
    std::uint64_t faults_applied = 0;      ///< Requests or answers hit by a message fault.
    std::array<std::uint64_t, 2> bytes{};  ///< Delivered, by relay_direction.

    /** One-way latency now. */
    std::chrono::microseconds get_latency() const { return settings.latency + extra_latency; }

    /** The next message fault that hits a request with these bytes; counts it as used. */
    std::optional<message_fault_command> take_message_fault(const std::string& request);
};

/** The link's part of `GET /control/status`. */
nlohmann::json to_json(const relay_link& link);

}  // namespace hornbeamhook::standin::fault
