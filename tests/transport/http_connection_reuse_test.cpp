#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "standin/fault/fault_relay.h"
#include "support/free_port.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace hornbeamhook::transport {
namespace {

// Guards against a new connection for each exchange: between regions the handshake doubled the
// latency of every forwarded request.
TEST(http_connection_reuse, many_exchanges_use_one_connection) {
    const std::string upstream = tests::get_free_address();
    const std::string listen = tests::get_free_address();
    http_server server({.address = upstream},
                       [](const http_request&, const http_responder& respond) {
                           respond({200, "{}"});
                       });
    server.start();
    standin::fault::fault_relay relay(
        {.control_address = tests::get_free_address(), .links = {{"link", listen, upstream, {}}}});
    relay.start();
    http_client client;
    for (int i = 0; i < 10; ++i) {
        EXPECT_TRUE(client.call({.method = "POST", .address = listen, .target = "/", .body = "x"}));
    }
    const auto status = relay.handle({.method = "GET", .path = "/control/status"});
    EXPECT_EQ(nlohmann::json::parse(status.body).at("links").at(0).at("connections_total"), 1);
}

}  // namespace
}  // namespace hornbeamhook::transport
