#pragma once

#include <boost/leaf.hpp>
#include <memory>

#include "transport/http_message.h"
#include "transport/transport_error.h"

namespace hornbeamhook::transport {

/**
 * Blocking HTTP client on libcurl that keeps idle connections per address.
 *
 * Never repeats a request by itself. A connection whose exchange failed is closed. A timeout also
 * closes the connections to the address that have been idle since before the call, because the
 * link may have gone silent and each of them would cost another timeout.
 */
class http_client {
public:
    http_client();
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /**
     * Performs one exchange and blocks until it ended. Any HTTP status is a success here.
     * Fails with transport_error. Thread safe.
     */
    boost::leaf::result<http_response> call(const http_call& request);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace hornbeamhook::transport
