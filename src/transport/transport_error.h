#pragma once

#include <string>

namespace hornbeamhook::transport {

/** Why an exchange with another process failed. */
enum class transport_failure {
    refused,      ///< The other end refused the connection.
    unreachable,  ///< No connection in time, or none possible.
    timeout,      ///< Connected, but no complete answer in time.
    closed,       ///< The connection ended before a complete answer.
    invalid,      ///< The answer or the request was not valid for the protocol.
};

/** Failure of one exchange. `was_sent` is false only when no byte of the request left. */
struct transport_error {
    transport_failure failure = transport_failure::closed;
    bool was_sent = false;
    std::string message;

    bool operator==(const transport_error&) const = default;
};

}  // namespace hornbeamhook::transport
