#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "standin/fault/fault_relay.h"
#include "support/free_port.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace hornbeamhook::transport {
namespace {

namespace leaf = boost::leaf;

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

// Guards against reporting a request as not sent that ran: the reused connection broke after the
// request had arrived, and the new connection that libcurl tried was refused.
TEST(http_connection_reuse, refused_repetition_counts_as_sent) {
    const std::string upstream = tests::get_free_address();
    const std::string listen = tests::get_free_address();
    standin::fault::fault_relay relay(
        {.control_address = tests::get_free_address(), .links = {{"link", listen, upstream, {}}}});
    int requests = 0;
    http_responder kept;
    http_server server({.address = upstream, .threads = 1},
                       [&](const http_request&, const http_responder& respond) {
                           if (++requests == 1) {
                               respond({200, "{}"});
                               return;
                           }
                           kept = respond;
                           relay.handle({.method = "POST",
                                         .path = "/control/links",
                                         .body = R"({"links":["link"],"action":"cut"})"});
                       });
    server.start();
    relay.start();
    http_client client;
    const http_call call{.method = "POST", .address = listen, .target = "/", .body = "x"};
    EXPECT_TRUE(client.call(call));
    const bool was_sent = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(client.call(call));
            return false;
        },
        [](const transport_error& error) { return error.was_sent; }, [] { return false; });
    EXPECT_TRUE(was_sent);
    EXPECT_EQ(requests, 2);
}

// Guards against a request lost on each idle connection after a link went silent: a proxy keeps up
// to 64 of them for each other proxy.
TEST(http_connection_reuse, one_timeout_discards_the_idle_connections_of_the_address) {
    constexpr std::size_t parallel_calls = 6;
    const std::string upstream = tests::get_free_address();
    const std::string listen = tests::get_free_address();
    standin::fault::fault_relay relay(
        {.control_address = tests::get_free_address(), .links = {{"link", listen, upstream, {}}}});
    std::size_t awaited = parallel_calls;  // All calls are outstanding before the first answer.
    std::vector<http_responder> outstanding;
    http_server server({.address = upstream, .threads = 1},
                       [&](const http_request&, const http_responder& respond) {
                           outstanding.push_back(respond);
                           if (outstanding.size() < awaited) {
                               return;
                           }
                           for (const http_responder& each : std::exchange(outstanding, {})) {
                               each({200, "{}"});
                           }
                           awaited = 1;
                       });
    server.start();
    relay.start();
    http_client client;
    {
        std::vector<std::jthread> callers;
        for (std::size_t i = 0; i < parallel_calls; ++i) {
            callers.emplace_back([&] {
                EXPECT_TRUE(
                    client.call({.method = "POST", .address = listen, .target = "/", .body = "x"}));
            });
        }
    }
    relay.handle({.method = "POST",
                  .path = "/control/links",
                  .body = R"({"links":["link"],"action":"silence"})"});
    const http_call call{.method = "POST",
                         .address = listen,
                         .target = "/",
                         .body = "x",
                         .timeout = std::chrono::milliseconds(300)};
    EXPECT_FALSE(client.call(call));
    EXPECT_TRUE(client.call(call));
}

}  // namespace
}  // namespace hornbeamhook::transport
