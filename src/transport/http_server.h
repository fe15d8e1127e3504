#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "coordination/http_shares.h"
#include "coordination/vm_limits.h"
#include "transport/http_limits.h"
#include "transport/http_message.h"

namespace hornbeamhook::transport {

/** Sends the answer of one request; call it exactly once, from any thread. */
using http_responder = std::function<void(http_response)>;

/** Limits of an HTTP server. */
struct http_server_options {
    std::string address;  ///< "ip:port" to listen on.
    int threads = 2;
    std::size_t max_request_bytes = 1U << 20U;
    /// Idle client connections are closed after this time.
    std::chrono::seconds keepalive_timeout{300};
    /// What all clients may hold together; the bytes of each share are raised to what one request
    /// of the largest size needs. Those of `http_bytes` and `answer_bytes` are not used.
    coordination::vm_limits limits = coordination::make_vm_limits(0, 0);
    /// Whether a request, of which only the head is known, is one of another VM; null: none is.
    /// Called on the server's threads.
    std::function<bool(const http_request& head)> is_from_peer;
    /// Told about connections that were closed for a limit; may be null. Called on one thread.
    http_limited_callback limited;
};

/**
 * HTTP server on Pistache. The handler runs on the server's threads and must not block for long.
 * Clients that hold too much memory, send too slowly or do not read are closed
 * (docs/design/caller-limits.md).
 */
class http_server {
public:
    using handler = std::function<void(http_request, http_responder)>;

    /** Does not listen yet. Throws std::runtime_error when the address is not "ip:port". */
    http_server(http_server_options options, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /** Binds and starts the threads. Throws std::runtime_error when the address is taken. */
    void start();

    /**
     * From now on every answer tells the client to close its connection, so that stop() finds none
     * on which a request may be under way. Thread safe.
     */
    void close_connections_after_answers();

    /** Stops listening and closes connections. Safe to call twice. Not thread safe. */
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace hornbeamhook::transport
