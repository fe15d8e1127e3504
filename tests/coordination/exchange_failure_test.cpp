#include "coordination/exchange_failure.h"

#include <gtest/gtest.h>

#include <vector>

namespace hornbeamhook::coordination {
namespace {

using protocol::error_code;
using state::outcome;
using transport::target_error;
using transport::target_failure_kind;

target_error make_sql_error(const char* sqlstate, std::size_t statement) {
    return {target_failure_kind::sql_error, true, sqlstate, "", statement};
}

// Guards against `not_run` for a commit that may have taken effect.
TEST(exchange_failure, commit_is_not_run_only_if_the_target_reports_so_or_nothing_was_sent) {
    struct commit_case {
        target_error error;
        outcome expected;
    };
    const std::vector<commit_case> cases{
        {{target_failure_kind::timeout, true}, outcome::unknown},
        {{target_failure_kind::closed, true}, outcome::unknown},
        {{target_failure_kind::invalid, true}, outcome::unknown},
        {{target_failure_kind::closed, false}, outcome::not_run},
        {{target_failure_kind::timeout, false}, outcome::not_run},
        {make_sql_error("HB002", 1), outcome::not_run},
        {make_sql_error("23505", 0), outcome::not_run},
        {make_sql_error("25P02", 1), outcome::not_run},
        {make_sql_error("57P01", 1), outcome::unknown},
        {make_sql_error("08007", 1), outcome::unknown},
        {make_sql_error("40003", 1), outcome::unknown},
        {make_sql_error("42883", 2), outcome::unknown},
    };
    for (const commit_case& each : cases) {
        const exchange_failure failure =
            classify_exchange_failure(exchange_phase::commit, each.error, 1);
        EXPECT_EQ(failure.outcome, each.expected)
            << each.error.sqlstate << " kind " << static_cast<int>(each.error.kind);
        EXPECT_TRUE(failure.was_sent) << "the statements were sent earlier";
    }
}

// Guards against a write without a key that is repeated after its bytes were sent.
TEST(exchange_failure, statements_without_commit_did_not_run_but_were_sent) {
    for (const target_failure_kind kind :
         {target_failure_kind::timeout, target_failure_kind::closed,
          target_failure_kind::invalid}) {
        const exchange_failure sent =
            classify_exchange_failure(exchange_phase::statements, {kind, true});
        EXPECT_EQ(sent.outcome, outcome::not_run);
        EXPECT_TRUE(sent.was_sent);
        EXPECT_FALSE(classify_exchange_failure(exchange_phase::statements, {kind, false}).was_sent);
    }
    EXPECT_FALSE(classify_exchange_failure(exchange_phase::opening,
                                           {target_failure_kind::unreachable, false})
                     .was_sent);
}

// Guards against a caller told not to retry although only the primary changed, and the reverse.
TEST(exchange_failure, codes_follow_the_sqlstate) {
    const auto get_code = [](const char* sqlstate) {
        return classify_exchange_failure(exchange_phase::statements, make_sql_error(sqlstate, 0))
            .code;
    };
    EXPECT_EQ(get_code("HB002"), error_code::no_primary);
    EXPECT_EQ(get_code("42601"), error_code::statement_failed);
    EXPECT_EQ(get_code("23505"), error_code::statement_failed);
    EXPECT_EQ(get_code("40001"), error_code::unavailable);
    EXPECT_EQ(get_code("57P01"), error_code::unavailable);
    EXPECT_TRUE(classify_exchange_failure(exchange_phase::commit, make_sql_error("HB002", 0), 0)
                    .is_primary_lost);
}

}  // namespace
}  // namespace hornbeamhook::coordination
