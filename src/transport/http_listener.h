#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "transport/endpoint.h"
#include "transport/event_loop.h"
#include "transport/http_header.h"
#include "transport/tcp_stream.h"

namespace hornbeamhook::transport {

/** A request that arrived at http_listener. */
struct http_call {
    std::string method;
    std::string path;  ///< With the query.
    std::string body;
};

/** The answer to an http_call. */
struct http_reply {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::vector<http_header> headers;  ///< Besides the type and the length.
};

/** A small HTTP/1.1 server for readiness, metrics and calls between VMs. Loop thread only. */
class http_listener {
public:
    /** Sends the answer; may be kept and called later, at most once. */
    using responder = std::function<void(const http_reply&)>;
    using handler = std::function<void(const http_call&, responder)>;

    /** Throws std::runtime_error when the address cannot be bound. */
    http_listener(event_loop& loop, const endpoint& address, handler handle);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /** Bytes and connections that all clients may hold together. Beyond them the connection that
     * holds the most, or the one without a request that was silent for longest, is closed. */
    void set_limits(std::size_t max_bytes, std::size_t max_connections);

private:
    class connection;
    struct shared_state;

    std::shared_ptr<shared_state> state_;
    tcp_listener listener_;
};

}  // namespace hornbeamhook::transport
