#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "transport/endpoint.h"
#include "transport/event_loop.h"

namespace hornbeamhook::transport {

/** A UDP socket. Loop thread only. */
class datagram_socket {
public:
    /** Called with the sender and the bytes of one datagram. */
    using receiver = std::function<void(const endpoint&, std::string_view)>;

    /** Throws std::runtime_error when the address cannot be bound. */
    datagram_socket(event_loop& loop, const endpoint& address, receiver received);
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /** Sends or drops; delivery is not reported. */
    void send(const endpoint& to, const std::string& bytes);

private:
    struct state {
        uv_udp_t handle{};
        receiver received;
    };

    state* state_;  ///< Owned by the loop until the handle is closed.
};

}  // namespace hornbeamhook::transport
