#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <memory>
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

/// A client that sends what it likes. Its waits end after 5 s.
class raw_client {
public:
    explicit raw_client(const std::string& address) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port =
            htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
        const timeval wait{.tv_sec = 5, .tv_usec = 0};
        ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
        ::setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
        EXPECT_EQ(::connect(socket_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)), 0);
    }
    ~raw_client() { ::close(socket_); }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    void send(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count =
                ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return;
            }
            sent += static_cast<std::size_t>(count);
        }
    }

    /** What arrives until the server closes; with "(open)" behind it if it does not. */
    std::string read_to_end() {
        std::string result;
        char bytes[4096];
        for (;;) {
            const ssize_t count = ::recv(socket_, bytes, sizeof(bytes), 0);
            if (count > 0) {
                result.append(bytes, static_cast<std::size_t>(count));
            } else {
                return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) ? result + "(open)"
                                                                              : result;
            }
        }
    }

private:
    int socket_;
};

std::string make_head(std::size_t length) {
    return "POST /a HTTP/1.1\r\nHost: x\r\nConnection: Keep-Alive\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n";
}

std::size_t count_answers(const std::string& text) {
    std::size_t count = 0;
    for (std::size_t at = text.find("HTTP/1.1 "); at != std::string::npos;
         at = text.find("HTTP/1.1 ", at + 1)) {
        ++count;
    }
    return count;
}

// Guards against a refused request whose rest is parsed as further requests, which kept the
// server's threads busy.
TEST(http, refused_request_is_answered_once_and_closed) {
    const std::string address = tests::get_free_address();
    std::atomic<int> handled = 0;
    http_server server({.address = address, .max_request_bytes = 65536},
                       [&](http_request, http_responder respond) {
                           ++handled;
                           respond({200, "x", "text/plain"});
                       });
    server.start();
    const std::string hidden = "GET /b HTTP/1.1\r\nHost: x\r\n\r\n";
    for (const std::string& request :
         {make_head(65537) + hidden, make_head(1U << 30U) + std::string(20000, 'b') + hidden,
          "GET /" + std::string(20000, 'a'), "NO REQUEST\r\n\r\n" + hidden}) {
        raw_client client(address);
        client.send(request);
        const std::string answer = client.read_to_end();
        EXPECT_EQ(count_answers(answer), 1U) << answer;
        EXPECT_EQ(answer.find("(open)"), std::string::npos) << request.substr(0, 60);
    }
    EXPECT_EQ(handled, 0);
}

// Guards against bodies that are held without a limit, and against ordinary requests that pay.
TEST(http, crowd_that_holds_the_most_is_closed) {
    const std::string address = tests::get_free_address();
    coordination::vm_limits limits = coordination::make_vm_limits(0, 0);
    limits.caller_bytes = 1U << 20U;
    std::atomic<std::size_t> closed = 0;
    http_server server({.address = address,
                        .max_request_bytes = 200'000,
                        .limits = limits,
                        .limited =
                            [&](coordination::http_limit limit, std::size_t count) {
                                EXPECT_EQ(limit, coordination::http_limit::memory);
                                closed += count;
                            }},
                       [](http_request request, http_responder respond) {
                           respond({200, std::to_string(request.body.size()), "text/plain"});
                       });
    server.start();
    std::vector<std::unique_ptr<raw_client>> crowd;
    for (int i = 0; i < 20; ++i) {
        crowd.push_back(std::make_unique<raw_client>(address));
        crowd.back()->send(make_head(150'000) + std::string(140'000, 'b'));
    }
    http_client client;
    std::string body;
    EXPECT_EQ(call_status(client,
                          {.method = "POST", .address = address, .target = "/", .body = "x"}, body),
              200);
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (closed < 15 && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    EXPECT_GE(closed, 15U);
    crowd.clear();
    // In calm the largest request is served.
    EXPECT_EQ(call_status(client,
                          {.method = "POST",
                           .address = address,
                           .target = "/",
                           .body = std::string(190'000, 'b')},
                          body),
              200);
    EXPECT_EQ(body, "190000");
}

}  // namespace
}  // namespace hornbeamhook::transport
