#include "transport/target_connection.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>

#include "support/target_group.h"

namespace hornbeamhook::transport {
namespace {

using tests::connect;
using tests::exchange_outcome;
using tests::run;
using tests::target_group;

void create_table(target_connection& connection) {
    ASSERT_FALSE(
        run(connection, {{"CREATE TABLE part (id INTEGER PRIMARY KEY, name TEXT)", {}}}).error);
}

// Guards against a list with BEGIN and COMMIT needing more than one exchange.
TEST(target_connection, runs_a_whole_transaction_in_one_exchange) {
    target_group group(1);
    const auto connection = connect(group.get_address(0));
    create_table(*connection);
    const exchange_outcome outcome = run(
        *connection, {{"BEGIN", {}},
                      {"INSERT INTO part VALUES ($1, $2)", {"1", "pump"}},
                      {"INSERT INTO part VALUES ($1, $2), ($3, $4)", {"2", std::nullopt, "3", ""}},
                      {"COMMIT", {}},
                      {"SELECT id, name FROM part ORDER BY id", {}},
                      {"SELECT hornbeamhook_last_commit()", {}}});
    ASSERT_FALSE(outcome.error) << outcome.error->message;
    ASSERT_EQ(outcome.results.size(), 6U);
    EXPECT_EQ(outcome.results[1].affected, 1U);
    EXPECT_EQ(outcome.results[2].affected, 2U);
    EXPECT_EQ(outcome.results[4].affected, 0U);
    EXPECT_EQ(outcome.results[4].columns, (std::vector<std::string>{"id", "name"}));
    const std::vector<std::vector<std::optional<std::string>>> expected{
        {"1", "pump"}, {"2", std::nullopt}, {"3", ""}};
    EXPECT_EQ(outcome.results[4].rows, expected);
    EXPECT_EQ(outcome.results[5].rows[0][0], R"({"position":2,"term":1})");
    EXPECT_EQ(connection->get_transaction_state(), transaction_state::idle);
    EXPECT_FALSE(connection->is_broken());
}

// Guards against naming the wrong statement, and against losing the connection after an SQL error.
TEST(target_connection, reports_the_index_of_the_failing_statement) {
    target_group group(1);
    const auto connection = connect(group.get_address(0));
    create_table(*connection);
    const exchange_outcome failed = run(*connection, {{"BEGIN", {}},
                                                      {"INSERT INTO part VALUES (1, 'a')", {}},
                                                      {"INSERT INTO part VALUES (1, 'b')", {}},
                                                      {"INSERT INTO part VALUES (2, 'c')", {}},
                                                      {"COMMIT", {}}});
    ASSERT_TRUE(failed.error);
    EXPECT_EQ(failed.error->kind, target_failure_kind::sql_error);
    EXPECT_EQ(failed.error->sqlstate, "23505");
    EXPECT_EQ(failed.error->failed_statement, 2U);
    EXPECT_EQ(connection->get_transaction_state(), transaction_state::failed);
    EXPECT_FALSE(connection->is_broken());
    EXPECT_FALSE(run(*connection, {{"ROLLBACK", {}}}).error);
    EXPECT_EQ(connection->get_transaction_state(), transaction_state::idle);
    EXPECT_EQ(run(*connection, {{"SELECT count(*) FROM part", {}}}).get_cell(), "0");
}

// Guards against taking the end of a failed transaction for a commit.
TEST(target_connection, commit_of_a_failed_transaction_is_an_error) {
    target_group group(1);
    const auto connection = connect(group.get_address(0));
    create_table(*connection);
    EXPECT_EQ(run(*connection, {{"BEGIN", {}}, {"SELECT nonsense FROM part", {}}}).get_sqlstate(),
              "42703");
    const exchange_outcome outcome = run(*connection, {{"COMMIT", {}}});
    ASSERT_TRUE(outcome.error);
    EXPECT_EQ(outcome.error->sqlstate, "25P02") << outcome.error->message;
    EXPECT_EQ(connection->get_transaction_state(), transaction_state::idle);
}

// Guards against reporting a timeout after sending as a request that did not run.
TEST(target_connection, timeout_after_sending_is_reported_as_sent_and_breaks_the_connection) {
    target_group group(1);
    const auto connection = connect(group.get_address(0));
    ASSERT_EQ(group.set_faults(0, {{"silence_connections", "discard"}}), 200);
    const exchange_outcome outcome =
        run(*connection, {{"SELECT 1", {}}},
            std::chrono::steady_clock::now() + std::chrono::milliseconds(100));
    ASSERT_TRUE(outcome.error);
    EXPECT_EQ(outcome.error->kind, target_failure_kind::timeout);
    EXPECT_TRUE(outcome.error->was_sent);
    EXPECT_TRUE(connection->is_broken());
    EXPECT_EQ(connection->get_transaction_state(), transaction_state::unknown);
    const exchange_outcome again = run(*connection, {{"SELECT 1", {}}});
    ASSERT_TRUE(again.error);
    EXPECT_FALSE(again.error->was_sent);
}

// Guards against reporting a refused connection as anything that may have run.
TEST(target_connection, refused_connection_is_not_sent) {
    const tests::open_outcome outcome = tests::open(tests::get_free_address());
    ASSERT_TRUE(outcome.error);
    EXPECT_EQ(outcome.error->kind, target_failure_kind::refused);
    EXPECT_FALSE(outcome.error->was_sent);
}

// Guards against waiting for ever on an address that accepts and stays silent.
TEST(target_connection, silent_start_up_is_unreachable_at_the_deadline) {
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ASSERT_EQ(::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    ASSERT_EQ(::listen(listener, 1), 0);
    socklen_t length = sizeof(address);
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
    const tests::open_outcome outcome =
        tests::open("127.0.0.1:" + std::to_string(ntohs(address.sin_port)),
                    std::chrono::steady_clock::now() + std::chrono::milliseconds(100));
    ASSERT_TRUE(outcome.error);
    EXPECT_EQ(outcome.error->kind, target_failure_kind::unreachable);
    ::close(listener);
}

// Guards against taking the refusal over the connection limit for a dead target.
TEST(target_connection, connection_limit_has_its_own_kind) {
    target_group group(1, [](auto& settings) { settings.connection_limit = 1; });
    const auto connection = connect(group.get_address(0));
    const tests::open_outcome outcome = tests::open(group.get_address(0));
    ASSERT_TRUE(outcome.error);
    EXPECT_EQ(outcome.error->kind, target_failure_kind::connection_limit);
    EXPECT_EQ(outcome.error->sqlstate, "53300");
    EXPECT_FALSE(outcome.error->was_sent);
}

// Guards against reporting a connection that ended while idle as a request that may have run.
TEST(target_connection, connection_closed_while_idle_is_not_sent) {
    target_group group(1);
    const auto connection = connect(group.get_address(0));
    group.stop(0);
    const exchange_outcome outcome = run(*connection, {{"SELECT 1", {}}});
    ASSERT_TRUE(outcome.error);
    EXPECT_EQ(outcome.error->kind, target_failure_kind::closed);
    EXPECT_FALSE(outcome.error->was_sent);
}

// Guards against DISCARD ALL failing because the exchange id ran before it.
TEST(target_connection, discard_all_runs_after_a_transaction) {
    target_group group(1);
    const auto connection = connect(group.get_address(0));
    EXPECT_FALSE(run(*connection, {{"BEGIN", {}}, {"COMMIT", {}}}).error);
    const exchange_outcome outcome = run(*connection, {{"DISCARD ALL", {}}});
    EXPECT_FALSE(outcome.error);
    EXPECT_EQ(outcome.results.size(), 1U);
    EXPECT_EQ(run(*connection, {{"SELECT hornbeamhook_last_commit()", {}}}).get_sqlstate(),
              "55000");
    EXPECT_FALSE(run(*connection, {{"SELECT 1", {}}}).error);
}

// Guards against statements that ran being reported as failed because the reset after them did.
TEST(target_connection, refused_reset_closes_the_connection_and_keeps_the_results) {
    target_group group(1);
    const auto connection = connect(group.get_address(0));
    const exchange_outcome outcome =
        run(*connection, {{"BEGIN", {}}, {"SELECT 1", {}}, {"DISCARD ALL", {}}});
    ASSERT_FALSE(outcome.error) << outcome.error->message;
    ASSERT_EQ(outcome.results.size(), 3U);
    EXPECT_EQ(outcome.results[1].rows[0][0], "1");
    EXPECT_TRUE(connection->is_broken());
}

// Guards against a reset that hides the failure of a statement before it.
TEST(target_connection, reset_follows_a_failed_statement) {
    target_group group(1);
    const auto connection = connect(group.get_address(0));
    EXPECT_FALSE(run(*connection, {{"BEGIN", {}}, {"COMMIT", {}}}).error);
    const exchange_outcome outcome =
        run(*connection, {{"SELECT * FROM missing", {}}, {"DISCARD ALL", {}}});
    EXPECT_EQ(outcome.get_sqlstate(), "42P01");
    EXPECT_EQ(outcome.error->failed_statement, 0U);
    EXPECT_FALSE(connection->is_broken());
    EXPECT_EQ(run(*connection, {{"SELECT hornbeamhook_last_commit()", {}}}).get_sqlstate(),
              "55000");
}

// Guards against a deadlock when both sides of an exchange exceed the socket buffers.
TEST(target_connection, large_exchange_passes_in_both_directions) {
    target_group group(1);
    const auto connection = connect(group.get_address(0));
    const std::string large(4 << 20, 'x');
    const std::vector<target_statement> statements(8, {"SELECT $1", {large}});
    const exchange_outcome outcome = run(*connection, statements);
    ASSERT_FALSE(outcome.error) << outcome.error->message;
    for (const target_result& result : outcome.results) {
        EXPECT_EQ(result.rows[0][0]->size(), large.size());
    }
}

/** A target that answers every exchange as if it belonged to another one. */
class crossed_target {
public:
    crossed_target() : listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
            ::listen(listener_, 1) != 0) {
            throw std::runtime_error("cannot listen");
        }
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
        address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        thread_ = std::thread([this] { serve(); });
    }

    ~crossed_target() {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    const std::string& get_address() const { return address_; }

private:
    void serve() {
        const int fd = ::accept(listener_, nullptr, nullptr);
        std::array<char, 4096> buffer{};
        static_cast<void>(::recv(fd, buffer.data(), buffer.size(), 0));
        send(fd, {'R', 0, 0, 0, 8, 0, 0, 0, 0, 'Z', 0, 0, 0, 5, 'I'});
        static_cast<void>(::recv(fd, buffer.data(), buffer.size(), 0));
        // ParseComplete, BindComplete, one column "?", the row "other-id", and so on.
        std::vector<char> answer{'1', 0, 0, 0, 4, '2', 0, 0, 0, 4, 'T', 0, 0, 0, 26, 0, 1, '?', 0};
        answer.insert(answer.end(), {0, 0, 0, 0, 0, 0, 0, 0, 0, 25, -1, -1, -1, -1, -1, -1, 0, 0});
        const std::string id = "other-id";
        answer.insert(answer.end(), {'D', 0, 0, 0, 18, 0, 1, 0, 0, 0, 8});
        answer.insert(answer.end(), id.begin(), id.end());
        const std::string tag = "SELECT 1";
        answer.insert(answer.end(), {'C', 0, 0, 0, 13});
        answer.insert(answer.end(), tag.begin(), tag.end());
        answer.insert(answer.end(), {0, 'Z', 0, 0, 0, 5, 'I'});
        send(fd, answer);
        while (::recv(fd, buffer.data(), buffer.size(), 0) > 0) {
        }
        ::close(fd);
    }

    static void send(int fd, const std::vector<char>& bytes) {
        static_cast<void>(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

    int listener_;
    std::string address_;
    std::thread thread_;
};

// Guards against handing a late answer of an earlier exchange to the next caller.
TEST(target_connection, answer_of_another_exchange_is_invalid_and_breaks_the_connection) {
    crossed_target target;
    const auto connection = connect(target.get_address());
    const exchange_outcome outcome = run(*connection, {{"SELECT 1", {}}});
    ASSERT_TRUE(outcome.error);
    EXPECT_EQ(outcome.error->kind, target_failure_kind::invalid) << outcome.error->message;
    EXPECT_TRUE(outcome.error->was_sent);
    EXPECT_TRUE(connection->is_broken());
}

}  // namespace
}  // namespace hornbeamhook::transport
