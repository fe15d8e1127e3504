#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_counters.h"
#include "gateway/peer_message.h"
#include "transport/datagram_socket.h"

namespace hornbeamhook::gateway {

/** A VM of the fleet, as described by its row in the store. */
struct fleet_member {
    std::string vm;
    std::int64_t incarnation = 0;
    transport::endpoint peer_address;
    transport::endpoint control_address;
    std::string place;
    /// How often this process was found unlisted and listed itself again.
    std::int64_t registration = 0;

    auto operator<=>(const fleet_member&) const = default;
};

/** Sends and receives datagrams between VMs. Loop thread only. */
class peer_messenger {
public:
    using receiver = std::function<void(const transport::endpoint&, const peer_message&)>;

    /** Throws std::runtime_error when the address cannot be bound. */
    peer_messenger(transport::event_loop& loop, const transport::endpoint& address,
                   gateway_counters& counters, receiver received);

    /** Sends a message, or drops it; delivery is not reported. */
    void send(const transport::endpoint& to, const peer_message& message);

private:
    transport::datagram_socket socket_;
    gateway_counters& counters_;
};

}  // namespace hornbeamhook::gateway
