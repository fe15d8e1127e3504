#include "gateway/caller_authorisation.h"

#include <gtest/gtest.h>
#include <sodium.h>

namespace hornbeamhook::gateway {
namespace {

/** "anna" holds key-a. */
class caller_authorisation_test : public testing::Test {
protected:
    caller_authorisation_test() {
        EXPECT_GE(sodium_init(), 0);
        table_.organisations["anna"].name = "anna";
        table_.names[key_] = "anna";
        open_.is_anonymous = true;
    }

    authorisation_change review(const std::optional<key_digest>& key, const route* used,
                                const std::optional<std::string>& organisation) {
        return review_caller(table_, key, used, organisation ? &*organisation : nullptr);
    }

    const key_digest key_ = make_key_digest("key-a");
    const key_digest unknown_ = make_key_digest("key-b");
    organisation_table table_;
    route strict_;
    route open_;
};

// Guards against callers without a key of an organisation, and against charges on open routes.
TEST_F(caller_authorisation_test, a_key_identifies_its_organisation_unless_the_route_needs_none) {
    EXPECT_EQ(find_callers_organisation(table_, key_, strict_), "anna");
    EXPECT_EQ(find_callers_organisation(table_, unknown_, strict_), std::nullopt);
    EXPECT_EQ(find_callers_organisation(table_, std::nullopt, strict_), std::nullopt);
    EXPECT_EQ(find_callers_organisation(table_, key_, open_), "");
    EXPECT_EQ(find_callers_organisation(table_, std::nullopt, open_), "");
}

// Guards against statements that go on for an organisation without the key of their caller.
TEST_F(caller_authorisation_test, a_review_compares_what_runs_with_what_may_run) {
    using change = authorisation_change;
    EXPECT_EQ(review(key_, &strict_, std::nullopt), change::none);
    EXPECT_EQ(review(key_, &strict_, "anna"), change::none);
    EXPECT_EQ(review(key_, &open_, "anna"), change::none);
    EXPECT_EQ(review(unknown_, &open_, ""), change::none);
    EXPECT_EQ(review(unknown_, &open_, std::nullopt), change::none);
    EXPECT_EQ(review(key_, &strict_, "bert"), change::moved);
    EXPECT_EQ(review(key_, &strict_, ""), change::moved);
    EXPECT_EQ(review(unknown_, &open_, "anna"), change::moved);
    EXPECT_EQ(review(unknown_, &strict_, std::nullopt), change::revoked);
    EXPECT_EQ(review(unknown_, &strict_, "anna"), change::revoked);
    EXPECT_EQ(review(unknown_, &strict_, ""), change::revoked);
    EXPECT_EQ(review(std::nullopt, &strict_, "anna"), change::revoked);
    EXPECT_EQ(review(key_, nullptr, "anna"), change::route_dropped);
    EXPECT_EQ(review(key_, nullptr, std::nullopt), change::route_dropped);
}

}  // namespace
}  // namespace hornbeamhook::gateway
