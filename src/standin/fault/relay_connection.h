#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "standin/fault/link_command.h"
#include "standin/fault/relay_link.h"
#include "standin/fault/relay_stream.h"

namespace hornbeamhook::standin::fault {

/** One relayed connection. Side 0 is the caller, side 1 the upstream process. */
struct relay_connection {
    std::uint64_t id = 0;
    relay_link* link = nullptr;
    std::array<int, 2> sockets{-1, -1};
    std::array<std::uint32_t, 2> interest{0, 0};  ///< Registered epoll events; 0 is unregistered.
    /// Stream 0 carries requests from side 0 to side 1, stream 1 answers back.
    std::array<relay_stream, 2> streams;
    time_point established_at{};  ///< When the handshake would end at the link's latency.
    bool is_connecting = true;
    bool is_silent = false;
    /// Message fault waiting for the answer to the last request.
    std::optional<message_fault_command> answer_fault;

    relay_stream& get_stream(relay_direction direction) {
        return streams.at(direction == relay_direction::request ? 0 : 1);
    }
};

}  // namespace hornbeamhook::standin::fault
