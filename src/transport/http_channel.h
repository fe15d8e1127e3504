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
    bool is_connection_new = false;     ///< Use no kept connection; it may have gone silent.
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
     * and the idle ones are closed. A request whose method, path or headers the other end would
     * read as other fields (line ends, control characters, a blank in the path) is not sent and
     * fails as invalid.
     * Loop thread only; `done` is dropped when the channel is destroyed.
     */
    void send(const http_exchange_request& request, callback done);

    /**
     * Sends a request, and again on a new connection each `interval_ms` without an answer, at most
     * `attempts` times in all. The request must be safe to repeat. Calls `done` once, with the
     * first answer or the last failure. Preconditions, and when `done` is dropped, as for send().
     */
    void send_repeatedly(const http_exchange_request& request, milliseconds_count interval_ms,
                         int attempts, callback done);

private:
    class connection;
    struct repeated_exchange;

    /** Closes the kept connections: they may have gone silent together with another one. */
    void drop_idle();
    void release(const std::shared_ptr<connection>& used, bool is_reusable);
    void send_attempt(const std::shared_ptr<repeated_exchange>& exchange);

    event_loop& loop_;
    endpoint address_;
    std::vector<std::shared_ptr<connection>> idle_;
    std::vector<std::shared_ptr<connection>> busy_;
    std::vector<std::shared_ptr<repeated_exchange>> repeated_;
};

}  // namespace hornbeamhook::transport
