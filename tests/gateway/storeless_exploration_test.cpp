#include <gtest/gtest.h>

#include "support/leadership_simulation.h"

// Simulates changes of the primary while the store refuses a part of the fleet or all of it, and
// VMs are cut off, suspended, replaced or stopped as planned.

namespace hornbeamhook::gateway {
namespace {

using tests::explore;
using tests::injected_fault;
using tests::run_simulation;
using tests::schedule;

// Guards against a VM without the store that extends its lease by promises of members which a
// promoter does not reach or does not know.
TEST(storeless_exploration, no_vm_uses_a_primary_that_was_replaced) {
    constexpr int runs = 1000;
    int promotions = 0;
    ASSERT_NO_FATAL_FAILURE(explore(schedule::storeless_parts, runs, promotions));
    EXPECT_GT(promotions, runs / 2) << "too few promotions to test the rules";
}

// Guards against a promoter that goes on although VMs which no running process knows any more keep
// extending their leases by each other's promises.
TEST(storeless_exploration, removed_vms_that_no_process_knows_have_no_lease) {
    constexpr int runs = 500;
    int promotions = 0;
    ASSERT_NO_FATAL_FAILURE(explore(schedule::survivors_restart, runs, promotions));
    EXPECT_GT(promotions, runs / 10) << "too few promotions to test the rules";
}

/// The rarest injected fault is detected in fewer runs. Seeds are fixed, so that the result does
/// not depend on chance.
constexpr std::uint64_t max_fault_runs = 2000;

int count_violations(injected_fault fault, schedule events) {
    int violations = 0;
    for (std::uint64_t seed = 1; seed <= max_fault_runs && violations == 0; ++seed) {
        violations = run_simulation(seed, fault, events)->violations;
    }
    return violations;
}

// Shows that the checks above detect promoters that do not wait, promises without a version, leases
// that do not end and leases that one promise extends.
TEST(storeless_exploration, detects_injected_faults) {
    for (const injected_fault fault :
         {injected_fault::skips_lease_wait, injected_fault::omits_promise_version,
          injected_fault::ignores_lease_expiry, injected_fault::extends_by_any_promise}) {
        EXPECT_GT(count_violations(fault, schedule::storeless_parts), 0)
            << "fault " << static_cast<int>(fault);
    }
    EXPECT_GT(count_violations(injected_fault::extends_by_any_promise, schedule::survivors_restart),
              0);
}

}  // namespace
}  // namespace hornbeamhook::gateway
