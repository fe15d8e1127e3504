#pragma once

#include <chrono>
#include <map>
#include <string>

namespace hornbeamhook::transport {

/** A request received by http_server. */
struct http_request {
    std::string method;                        ///< "GET", "POST", "PUT" or "DELETE".
    std::string path;                          ///< Without the query; not decoded.
    std::map<std::string, std::string> query;  ///< Percent-decoded.
    std::string authorization;                 ///< Header value, or empty.
    std::string fleet_secret;                  ///< Header `X-Hornbeamhook-Fleet`, or empty.
    std::string body;
};

/** An answer, on either side. */
struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
};

/** A request for http_client. */
struct http_call {
    std::string method = "GET";
    std::string address;  ///< "ip:port".
    std::string target;   ///< Path with query, percent-encoded.
    std::string body;
    std::string authorization;                       ///< Sent when not empty.
    std::string fleet_secret;                        ///< Sent when not empty.
    std::chrono::milliseconds timeout{5000};         ///< For the whole exchange.
    std::chrono::milliseconds connect_timeout{500};  ///< For opening a connection.
};

}  // namespace hornbeamhook::transport
