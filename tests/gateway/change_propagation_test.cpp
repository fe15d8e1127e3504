#include "gateway/change_propagation.h"

#include <gtest/gtest.h>

namespace hornbeamhook::gateway {
namespace {

/// For timers that fire late, and for a message of a hub that is lost and repeated.
constexpr std::int64_t leaving_margin_ms = 1000 + hub_request_interval_ms;
/// For timers that fire late.
constexpr std::int64_t removal_margin_ms = 250;
constexpr int max_hubs = 2;  ///< The first hub of another place and the hub of the VM's place.

// Guards against pauses, time limits and retries that add up to more than the time for which a
// leaving target may be used (DRAIN, review case 5: a pause and a retry were left out of the sum).
TEST(change_propagation, a_leaving_target_is_known_in_time_on_each_way) {
    for (int hubs = 0; hubs <= max_hubs; ++hubs) {
        EXPECT_LE(get_max_leaving_delay_ms(hubs) + leaving_margin_ms, min_leaving_time_ms)
            << hubs << " hubs";
    }
}

// Guards against a target whose entry was removed and that is used for too long, because the wait
// for its return is added to the time until the removal is known.
TEST(change_propagation, a_removed_target_is_given_up_in_time_on_each_way) {
    for (int hubs = 0; hubs <= max_hubs; ++hubs) {
        EXPECT_LE(get_max_removal_delay_ms(hubs) + removal_margin_ms, min_leaving_time_ms)
            << hubs << " hubs";
    }
}

}  // namespace
}  // namespace hornbeamhook::gateway
