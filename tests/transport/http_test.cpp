#include <gtest/gtest.h>

#include <string>
#include <thread>
#include <vector>

#include "support/free_port.h"
#include "transport/http_client.h"
#include "transport/http_server.h"

namespace hornbeamhook::transport {
namespace {

namespace leaf = boost::leaf;

int call_status(http_client& client, const http_call& call, std::string& body) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(response, client.call(call));
            body = response.body;
            return response.status;
        },
        [&](const transport_error& error) { return error.was_sent ? -2 : -1; }, [] { return -3; });
}

// Guards against crossed answers when the handler replies from another thread.
TEST(http, answers_from_other_threads_reach_their_own_request) {
    const std::string test_address = tests::get_free_address();
    http_server server({.address = test_address}, [](http_request request, http_responder respond) {
        std::thread([request = std::move(request), respond = std::move(respond)] {
            respond({200, request.path + request.query.at("q") + request.body, "text/plain"});
        }).detach();
    });
    server.start();
    http_client client;
    std::vector<std::thread> threads;
    std::atomic<int> wrong = 0;
    for (int i = 0; i < 8; ++i) {
        threads.emplace_back([&, i] {
            for (int j = 0; j < 50; ++j) {
                const std::string body = std::to_string(i * 1000 + j);
                std::string answer;
                const int status = call_status(client,
                                               {.method = "POST",
                                                .address = test_address,
                                                .target = "/a?q=x%20y",
                                                .body = body},
                                               answer);
                wrong += status != 200 || answer != "/ax y" + body ? 1 : 0;
            }
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    EXPECT_EQ(wrong, 0);
}

// Guards against reporting a refused connection as a request that may have run.
TEST(http, refused_connection_counts_as_not_sent) {
    http_client client;
    std::string body;
    EXPECT_EQ(
        call_status(client,
                    {.method = "POST", .address = "127.0.0.1:1", .target = "/", .body = "x"}, body),
        -1);
}

// Guards against reporting a timeout after sending as a request that did not run.
TEST(http, timeout_after_sending_counts_as_sent) {
    http_responder kept;
    const std::string test_address = tests::get_free_address();
    http_server server({.address = test_address},
                       [&](http_request, http_responder respond) { kept = std::move(respond); });
    server.start();
    http_client client;
    std::string body;
    EXPECT_EQ(call_status(client,
                          {.method = "POST",
                           .address = test_address,
                           .target = "/",
                           .body = "x",
                           .timeout = std::chrono::milliseconds(100)},
                          body),
              -2);
}

// Guards against a shutdown that closes connections on which clients still send.
TEST(http, closing_server_ends_kept_alive_connections) {
    const std::string test_address = tests::get_free_address();
    http_server server({.address = test_address}, [](http_request, http_responder respond) {
        respond({200, "x", "text/plain"});
    });
    server.start();
    http_client client;
    std::string body;
    const http_call call{.method = "POST", .address = test_address, .target = "/", .body = "x"};
    ASSERT_EQ(call_status(client, call, body), 200);
    server.close_connections_after_answers();
    ASSERT_EQ(call_status(client, call, body), 200);
    server.stop();
    // The client was told to close, so it finds out on opening a new connection, before sending.
    EXPECT_EQ(call_status(client, call, body), -1);
}

}  // namespace
}  // namespace hornbeamhook::transport
