#include "proxy/session_pool.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "proxy/execution.h"
#include "support/fake_groups.h"
#include "support/target_group.h"

namespace hornbeamhook::proxy {
namespace {

using tests::soon;
using tests::target_group;
using transport::target_error;
using transport::target_statement;

/** One target, one connection to it, and an executor. The session state that the stand-in keeps is
 * the position of the last commit. */
class session_pool_test : public testing::Test {
protected:
    session_pool_test() {
        settings.layout = protocol::connection_layout::fixed_split;
        target.name = target_group::get_name(0);
        target.address = group.get_address(0);
        target.connection_limit = settings.reserved_connections + 1;
        request.pool = "p";
        request.caller = "c";
    }

    std::unique_ptr<target_session> acquire() {
        session_result result = sessions.acquire("p", target, soon());
        auto* session = std::get_if<std::unique_ptr<target_session>>(&result);
        return session == nullptr ? nullptr : std::move(*session);
    }

    /** The SQLSTATE with which the next session of the pool answers; 55000 when it has no state. */
    std::string get_next_state() {
        const std::unique_ptr<target_session> session = acquire();
        if (!session) {
            return "no session";
        }
        const exchange_result result =
            session->run({protocol::make_last_commit_statement()}, soon());
        const auto* error = std::get_if<target_error>(&result);
        return error == nullptr ? "state of another session" : error->sqlstate;
    }

    std::uint64_t get_accepted() {
        return group.get_report(0).at("connections_accepted").get<std::uint64_t>();
    }

    target_group group{1};
    protocol::proxy_settings settings;
    tests::fake_groups groups;
    session_pool sessions{settings, groups};
    state::target_description target;
    executor runner{sessions};
    protocol::execute_request request;
};

// Guards against session settings, temporary tables and advisory locks of one request reaching the
// request that gets the connection next.
TEST_F(session_pool_test, session_state_does_not_reach_the_next_request) {
    for (const std::string key : {"", "k"}) {
        request.is_write = true;
        request.idempotency_key = key;
        request.statements = {{"CREATE TABLE IF NOT EXISTS t (id INTEGER)", {}}};
        const execution done = runner.run_write(request, target, soon(), soon());
        ASSERT_EQ(done.outcome, state::outcome::ok) << done.message;
        EXPECT_EQ(get_next_state(), "55000") << "key \"" << key << "\"";
    }
    ASSERT_TRUE(acquire()->run({{"BEGIN", {}}, {"COMMIT", {}}}, soon()).index() == 0);
    EXPECT_EQ(get_next_state(), "55000");
    // The keyed write found no table of keys, which failed the transaction on one connection.
    EXPECT_EQ(get_accepted(), 2U);
}

// Guards against a read that costs a second round trip, or a new connection, for the reset.
TEST_F(session_pool_test, read_resets_the_session_within_its_exchange) {
    request.statements = {{"SELECT 1", {}}};
    for (int i = 0; i < 3; ++i) {
        const execution done = runner.run_read(request, target, {}, soon());
        ASSERT_EQ(done.outcome, state::outcome::ok) << done.message;
        ASSERT_EQ(done.results.size(), 1U);
        EXPECT_EQ(done.results[0].rows[0][0], "1");
        EXPECT_EQ(get_next_state(), "55000");
    }
    EXPECT_EQ(get_accepted(), 1U);
}

// Guards against lending a connection whose reset the target refused.
TEST_F(session_pool_test, refused_reset_closes_the_connection) {
    {
        const std::unique_ptr<target_session> session = acquire();
        ASSERT_TRUE(session);
        EXPECT_EQ(session->run({{"BEGIN", {}}, {"DISCARD ALL", {}}}, soon()).index(), 0U);
        EXPECT_TRUE(session->is_broken());
    }
    EXPECT_EQ(get_next_state(), "55000");
    EXPECT_EQ(get_accepted(), 2U);
}

}  // namespace
}  // namespace hornbeamhook::proxy
