#include "standin/fault/fault_relay.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "state/json_reader.h"
#include "support/free_port.h"

namespace hornbeamhook::standin::fault {
namespace {

namespace leaf = boost::leaf;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int long_wait_ms = 5000;
constexpr int quiet_wait_ms = 150;

sockaddr_in to_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

/** A blocking client connection. */
class client {
public:
    explicit client(const std::string& text) : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
        const sockaddr_in address = to_address(text);
        error_ = ::connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0
                     ? 0
                     : errno;
    }
    ~client() { ::close(fd_); }
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    int get_connect_error() const { return error_; }

    void send(const std::string& text) { ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL); }

    /** What arrives within the time: bytes, "<end>", "<reset>" or "<nothing>". */
    std::string receive(int wait_ms = long_wait_ms) {
        pollfd event{fd_, POLLIN, 0};
        if (::poll(&event, 1, wait_ms) == 0) {
            return "<nothing>";
        }
        std::string buffer(4096, '\0');
        const ssize_t length = ::recv(fd_, buffer.data(), buffer.size(), 0);
        if (length == 0) {
            return "<end>";
        }
        return length < 0 ? "<reset>" : buffer.substr(0, static_cast<std::size_t>(length));
    }

private:
    int fd_;
    int error_;
};

/** Answers every message with "re:" and the message; remembers what it got. */
class echo_server {
public:
    explicit echo_server(const std::string& text) : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
        const sockaddr_in address = to_address(text);
        const int on = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        ::bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        ::listen(fd_, 16);
        thread_ = std::thread([this] { run(); });
    }
    ~echo_server() { stop(); }
    echo_server(const echo_server&) = delete;
    echo_server& operator=(const echo_server&) = delete;

    void stop() {
        if (thread_.joinable()) {
            is_stopping_ = true;
            thread_.join();
        }
    }

    int get_open() const { return open_; }

    bool has_got(const std::string& text) {
        const std::scoped_lock lock(mutex_);
        return received_.find(text) != std::string::npos;
    }

private:
    void run() {
        std::vector<pollfd> sockets{{fd_, POLLIN, 0}};
        while (!is_stopping_) {
            ::poll(sockets.data(), sockets.size(), 5);
            if ((sockets[0].revents & POLLIN) != 0) {
                sockets.push_back({::accept(fd_, nullptr, nullptr), POLLIN, 0});
                ++open_;
            }
            for (std::size_t i = 1; i < sockets.size(); ++i) {
                answer(sockets[i]);
            }
        }
        for (const pollfd& item : sockets) {
            if (item.fd >= 0) {
                ::close(item.fd);
            }
        }
    }

    void answer(pollfd& item) {
        if (item.fd < 0 || (item.revents & (POLLIN | POLLHUP | POLLERR)) == 0) {
            return;
        }
        std::string buffer(4096, '\0');
        const ssize_t length = ::recv(item.fd, buffer.data(), buffer.size(), 0);
        if (length <= 0) {
            ::close(item.fd);
            item.fd = -1;
            --open_;
            return;
        }
        buffer.resize(static_cast<std::size_t>(length));
        {
            const std::scoped_lock lock(mutex_);
            received_ += buffer;
        }
        const std::string reply = "re:" + buffer;
        ::send(item.fd, reply.data(), reply.size(), MSG_NOSIGNAL);
    }

    int fd_;
    std::atomic<bool> is_stopping_ = false;
    std::atomic<int> open_ = 0;
    std::mutex mutex_;
    std::string received_;
    std::thread thread_;
};

bool wait_until(const std::function<bool()>& condition) {
    const auto deadline = steady_clock::now() + milliseconds(long_wait_ms);
    while (!condition()) {
        if (steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(1));
    }
    return true;
}

class fault_relay_test : public testing::Test {
protected:
    explicit fault_relay_test(std::chrono::microseconds latency = {})
        : listen_(tests::get_free_address()),
          upstream_(tests::get_free_address()),
          server_(std::make_unique<echo_server>(upstream_)),
          relay_({.control_address = tests::get_free_address(),
                  .links = {{"a-b", listen_, upstream_, latency}}}) {
        relay_.start();
    }

    int control(const std::string& body) {
        return relay_.handle({.method = "POST", .path = "/control/links", .body = body}).status;
    }

    nlohmann::json status() {
        const auto answer = relay_.handle({.method = "GET", .path = "/control/status"});
        return nlohmann::json::parse(answer.body).at("links").at(0);
    }

    std::string listen_;
    std::string upstream_;
    std::unique_ptr<echo_server> server_;
    fault_relay relay_;
};

class slow_relay_test : public fault_relay_test {
protected:
    slow_relay_test() : fault_relay_test(milliseconds(20)) {}
};

// Guards against a relay that changes, loses or miscounts bytes without any fault.
TEST_F(fault_relay_test, relays_both_directions_and_counts) {
    client caller(listen_);
    caller.send("hello");
    EXPECT_EQ(caller.receive(), "re:hello");
    EXPECT_EQ(status().at("bytes_to_upstream"), 5);
    EXPECT_EQ(status().at("bytes_to_client"), 8);
    EXPECT_EQ(status().at("connections_open"), 1);
}

// Guards against answers that arrive faster than the configured round trip. The first exchange
// also pays the handshake.
TEST_F(slow_relay_test, adds_latency_in_both_directions) {
    client caller(listen_);
    const auto begin = steady_clock::now();
    caller.send("x");
    EXPECT_EQ(caller.receive(), "re:x");
    EXPECT_GE(steady_clock::now() - begin, milliseconds(78));
    const auto second = steady_clock::now();
    caller.send("y");
    EXPECT_EQ(caller.receive(), "re:y");
    EXPECT_GE(steady_clock::now() - second, milliseconds(40));
    EXPECT_EQ(control(R"({"links":["a-*"],"action":"delay","extra_us":30000})"), 200);
    const auto third = steady_clock::now();
    caller.send("z");
    EXPECT_EQ(caller.receive(), "re:z");
    EXPECT_GE(steady_clock::now() - third, milliseconds(100));
}

// Guards against a cut that leaves old connections open or accepts new ones.
TEST_F(fault_relay_test, cut_resets_and_refuses_until_restored) {
    client caller(listen_);
    caller.send("a");
    EXPECT_EQ(caller.receive(), "re:a");
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"cut"})"), 200);
    EXPECT_EQ(caller.receive(), "<reset>");
    EXPECT_EQ(client(listen_).get_connect_error(), ECONNREFUSED);
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"restore"})"), 200);
    client later(listen_);
    later.send("b");
    EXPECT_EQ(later.receive(), "re:b");
}

// Guards against hiding the death of the process behind the relay: callers must be refused.
TEST_F(fault_relay_test, refuses_while_upstream_refuses) {
    client caller(listen_);
    caller.send("a");
    EXPECT_EQ(caller.receive(), "re:a");
    server_->stop();
    EXPECT_EQ(caller.receive(), "<end>");
    EXPECT_TRUE(wait_until([&] { return client(listen_).get_connect_error() == ECONNREFUSED; }));
    server_ = std::make_unique<echo_server>(upstream_);
    EXPECT_TRUE(wait_until([&] { return client(listen_).get_connect_error() == 0; }));
}

// Guards against a silence that also hits new connections, or that ends.
TEST_F(fault_relay_test, silent_connections_stay_silent_while_new_ones_work) {
    client caller(listen_);
    caller.send("a");
    EXPECT_EQ(caller.receive(), "re:a");
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"silence"})"), 200);
    caller.send("b");
    client later(listen_);
    later.send("c");
    EXPECT_EQ(later.receive(), "re:c");
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"restore"})"), 200);
    caller.send("d");
    EXPECT_EQ(caller.receive(quiet_wait_ms), "<nothing>");
    EXPECT_FALSE(server_->has_got("b"));
    EXPECT_FALSE(server_->has_got("d"));
}

// Guards against a server that never gets rid of dead connections although it would notice them,
// and against a caller that is told.
TEST_F(fault_relay_test, releases_the_upstream_side_of_a_silence) {
    client caller(listen_);
    caller.send("a");
    EXPECT_EQ(caller.receive(), "re:a");
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"silence","release_ms":10})"), 200);
    EXPECT_TRUE(wait_until([&] { return server_->get_open() == 0; }));
    EXPECT_EQ(caller.receive(quiet_wait_ms), "<nothing>");
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"drop_silent"})"), 200);
    EXPECT_EQ(caller.receive(), "<reset>");
}

// Guards against losing the wrong direction.
TEST_F(fault_relay_test, half_open_loses_one_direction) {
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"half_open","lost":"answer"})"), 200);
    client caller(listen_);
    caller.send("a");
    EXPECT_TRUE(wait_until([&] { return server_->has_got("a"); }));
    EXPECT_EQ(caller.receive(quiet_wait_ms), "<nothing>");
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"restore"})"), 200);
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"half_open","lost":"request"})"), 200);
    client other(listen_);
    other.send("lost");
    EXPECT_EQ(other.receive(quiet_wait_ms), "<nothing>");
    EXPECT_FALSE(server_->has_got("lost"));
}

// Guards against a dropped answer whose request did not take effect, and against hitting requests
// that do not match.
TEST_F(fault_relay_test, drops_the_answer_after_the_request_passed) {
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"drop_answer","match":"COMMIT","count":1})"),
              200);
    client caller(listen_);
    caller.send("BEGIN");
    EXPECT_EQ(caller.receive(), "re:BEGIN");
    caller.send("COMMIT");
    EXPECT_EQ(caller.receive(), "<reset>");
    EXPECT_TRUE(server_->has_got("COMMIT"));
    EXPECT_EQ(status().at("faults_applied"), 1);
    client later(listen_);
    later.send("COMMIT");
    EXPECT_EQ(later.receive(), "re:COMMIT");
}

// Guards against a dropped request that still takes effect.
TEST_F(fault_relay_test, drops_the_request) {
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"drop_request","then":"silence"})"), 200);
    client caller(listen_);
    caller.send("a");
    EXPECT_EQ(caller.receive(quiet_wait_ms), "<nothing>");
    EXPECT_FALSE(server_->has_got("a"));
}

// Guards against late answers that are lost or delivered early.
TEST_F(fault_relay_test, delivers_held_answers_late) {
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"hold_answer"})"), 200);
    client caller(listen_);
    caller.send("a");
    EXPECT_TRUE(wait_until([&] { return server_->has_got("a"); }));
    EXPECT_EQ(caller.receive(quiet_wait_ms), "<nothing>");
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"restore"})"), 200);
    EXPECT_EQ(caller.receive(), "re:a");
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"hold_answer","hold_ms":60})"), 200);
    const auto begin = steady_clock::now();
    caller.send("b");
    EXPECT_EQ(caller.receive(), "re:b");
    EXPECT_GE(steady_clock::now() - begin, milliseconds(59));
}

// Guards against a late request that vanishes with its caller: the duplicate must still arrive.
TEST_F(fault_relay_test, delivers_held_requests_after_the_caller_left) {
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"hold_request"})"), 200);
    {
        client caller(listen_);
        caller.send("late");
        EXPECT_TRUE(wait_until([&] { return status().at("faults_applied") == 1; }));
    }
    EXPECT_FALSE(server_->has_got("late"));
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"restore"})"), 200);
    EXPECT_TRUE(wait_until([&] { return server_->has_got("late"); }));
}

// Guards against a crossing that leaves each answer with its own caller.
TEST_F(fault_relay_test, crosses_answers_of_two_connections) {
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"cross_answer","count":2})"), 200);
    client first(listen_);
    client second(listen_);
    first.send("one");
    EXPECT_TRUE(wait_until([&] { return server_->has_got("one"); }));
    second.send("two");
    EXPECT_EQ(first.receive(), "re:two");
    EXPECT_EQ(second.receive(), "re:one");
}

// Guards against commands that are silently ignored.
TEST_F(fault_relay_test, refuses_bad_commands) {
    EXPECT_EQ(control("{"), 400);
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"explode"})"), 400);
    EXPECT_EQ(control(R"({"links":["a-b"],"action":"cut","extra":1})"), 400);
    EXPECT_EQ(control(R"({"links":["nothing"],"action":"cut"})"), 404);
}

// Guards against settings errors that do not name the field.
TEST(relay_settings_test, names_the_wrong_field) {
    const auto parse = [](const char* text) {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::string> {
                BOOST_LEAF_AUTO(object, state::parse_json(text, "settings"));
                BOOST_LEAF_CHECK(parse_relay_settings(object));
                return std::string("ok");
            },
            [](const state::state_error& error) { return error.field; },
            [] { return std::string("other"); });
    };
    EXPECT_EQ(parse(R"({"control_address":"127.0.0.1:1","links":[]})"), "ok");
    EXPECT_EQ(parse(R"({"control_address":"127.0.0.1:1","links":[{"name":"a"}]})"),
              "links[0].listen");
    EXPECT_EQ(parse(R"({"control_address":"127.0.0.1:1","links":[], "thread":2})"), "thread");
}

}  // namespace
}  // namespace hornbeamhook::standin::fault
