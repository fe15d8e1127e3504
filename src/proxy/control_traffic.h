#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace hornbeamhook::proxy {

/** Calls and bytes of one kind of control traffic, both directions. Thread safe. */
struct traffic_counter {
    std::atomic<std::uint64_t> calls{0};
    std::atomic<std::uint64_t> bytes{0};

    /** Counts one call with its payload; `overhead` stands for headers of that protocol. */
    void add(std::size_t payload, std::size_t overhead) {
        calls.fetch_add(1, std::memory_order_relaxed);
        bytes.fetch_add(payload + overhead, std::memory_order_relaxed);
    }

    /** For /internal/v1/status. */
    nlohmann::json get_json() const {
        return {{"calls", calls.load(std::memory_order_relaxed)},
                {"bytes", bytes.load(std::memory_order_relaxed)}};
    }
};

/** Header bytes of an HTTP exchange between our processes, request and answer together. */
inline constexpr std::size_t http_overhead = 380;
/** Framing bytes of a pipelined status exchange of the PostgreSQL protocol, both directions. */
inline constexpr std::size_t poll_overhead = 180;

/** What the control side of one proxy sends and receives. */
struct control_traffic {
    traffic_counter exchange_sent;      ///< Peer exchanges this proxy began.
    traffic_counter exchange_received;  ///< Peer exchanges others began.
    traffic_counter observations;       ///< Questions about a primary, asked and answered.
    traffic_counter configuration;      ///< Changes fetched from peers or given to them.
    traffic_counter polls;              ///< Status, fence and promote calls.
    traffic_counter store;              ///< Calls to the platform.

    /** For /internal/v1/status. */
    nlohmann::json get_json() const {
        return {{"exchange_sent", exchange_sent.get_json()},
                {"exchange_received", exchange_received.get_json()},
                {"observations", observations.get_json()},
                {"configuration", configuration.get_json()},
                {"polls", polls.get_json()},
                {"store", store.get_json()}};
    }
};

}  // namespace hornbeamhook::proxy
