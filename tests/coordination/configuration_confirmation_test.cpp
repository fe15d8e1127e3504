#include "coordination/configuration_confirmation.h"

#include <gtest/gtest.h>

namespace hornbeamhook::coordination {
namespace {

using state::time_point;
using std::chrono::milliseconds;

const time_point start{std::chrono::hours(1)};

time_point at(int ms) {
    return start + milliseconds(ms);
}

class confirmation_test : public ::testing::Test {
protected:
    confirmation_test() {
        state_.last_contact = start;
        step(configuration_adopted{5}, 0);
        step(other_vms_listed{3}, 0);
    }

    bool step(const confirmation_event& event, int ms) {
        state_ = step_configuration_confirmation(state_, event, at(ms)).state;
        return state_.is_confirmed;
    }

    configuration_confirmation_state state_;
};

// Guards against serving an old configuration after 3 s without contact.
TEST_F(confirmation_test, three_seconds_without_contact_end_the_confirmation) {
    EXPECT_TRUE(step(confirmation_check_due{}, 2999));
    EXPECT_FALSE(step(confirmation_check_due{}, 3000));
    EXPECT_TRUE(step(version_reported{at(3100), 5}, 3110)) << "a peer at the same version";
    EXPECT_FALSE(step(confirmation_check_due{}, 6100)) << "counts from the time of the request";
}

// Guards against a proxy that knows of a newer version, cannot fetch it, and keeps serving.
TEST_F(confirmation_test, a_newer_version_confirms_only_once_adopted) {
    EXPECT_TRUE(step(version_reported{at(2000), 6}, 2000));
    EXPECT_FALSE(step(version_reported{at(3000), 6}, 3000));
    EXPECT_TRUE(step(configuration_adopted{6}, 3100));
    EXPECT_FALSE(step(confirmation_check_due{}, 6000))
        << "counts from the request that reported the version";
}

// Guards against a single proxy that refuses work although there is no other.
TEST_F(confirmation_test, the_only_proxy_needs_no_contact) {
    EXPECT_TRUE(step(other_vms_listed{0}, 2000));
    EXPECT_TRUE(step(confirmation_check_due{}, 60'000));
}

// Guards against an answer that was requested before a long pause.
TEST_F(confirmation_test, an_old_answer_does_not_confirm) {
    EXPECT_FALSE(step(version_reported{at(100), 5}, 8000));
}

}  // namespace
}  // namespace hornbeamhook::coordination
