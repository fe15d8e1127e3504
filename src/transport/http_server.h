#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

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
};

/** HTTP server on Pistache. The handler runs on the server's threads and must not block for long.
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
