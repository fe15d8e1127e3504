#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "transport/endpoint.h"
#include "transport/event_loop.h"
#include "transport/http_header.h"
#include "transport/transport_error.h"

namespace hornbeamhook::transport {

/** A request of http_channel. */
struct http_exchange_request {
    std::string method;
    std::string path;  ///< With the query.
    std::vector<http_header> headers;
    std::string body;
    milliseconds_count timeout_ms = 0;  ///< For the whole exchange, connecting included.
};

/** How an exchange ended: `status` is 0 when there was no complete answer, see `error`. */
struct http_exchange_answer {
    int status = 0;
    std::string body;
    transport_error error;
    std::vector<http_header> headers;  ///< Names as the other end wrote them; case varies.
};

/** Sends requests to one address over kept-alive connections, one exchange at a time on each. */
class http_channel {
public:
    using callback = std::function<void(const http_exchange_answer&)>;

    http_channel(event_loop& loop, endpoint address);
    ~http_channel();
    http_channel(const http_channel&) = delete;
    http_channel& operator=(const http_channel&) = delete;

    /**
     * Sends a request and calls `done` once, never from within this function. A connection whose
     * exchange timed out is reset, so that bytes still on the way are not delivered later,
     * and the idle ones are closed.
     * Loop thread only; `done` is dropped when the channel is destroyed.
     */
    void send(const http_exchange_request& request, callback done);

private:
    class connection;

    /** Closes the kept connections: they may have gone silent together with another one. */
    void drop_idle();
    void release(const std::shared_ptr<connection>& used, bool is_reusable);

    event_loop& loop_;
    endpoint address_;
    std::vector<std::shared_ptr<connection>> idle_;
    std::vector<std::shared_ptr<connection>> busy_;
};

}  // namespace hornbeamhook::transport
