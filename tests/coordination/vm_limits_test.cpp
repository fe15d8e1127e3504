#include "coordination/vm_limits.h"

#include <gtest/gtest.h>

namespace hornbeamhook::coordination {
namespace {

constexpr std::size_t mib = std::size_t{1024} * 1024;

// Guards against limits whose sum does not fit the machine.
TEST(vm_limits, parts_fit_memory_and_descriptors) {
    for (const std::int64_t memory_mb : {48, 160, 260, 512}) {
        const vm_limits limits = make_vm_limits(memory_mb, 4300);
        EXPECT_LE(
            limits.caller_bytes + limits.peer_bytes + limits.answer_bytes + 2 * limits.http_bytes,
            static_cast<std::size_t>(memory_mb) * mib / 2);
    }
    for (const std::size_t descriptors : {400U, 4300U, 11825U}) {
        const vm_limits limits = make_vm_limits(160, static_cast<std::int64_t>(descriptors));
        EXPECT_LE(limits.caller_connections + limits.peer_connections + 2 * limits.http_connections,
                  (descriptors - 200) * 9 / 10);
    }
}

// Guards against limits that clients inside the pages' limits meet.
TEST(vm_limits, leave_room_for_ordinary_clients) {
    const vm_limits limits = make_vm_limits(160, 4300);
    EXPECT_GE(limits.caller_connections, 300U * 4);
    EXPECT_GE(limits.peer_connections, 1000U);
    const vm_limits least = make_vm_limits(1, 1);
    EXPECT_GE(least.caller_bytes, 4 * mib);
    EXPECT_GE(least.peer_bytes, 4 * mib);
    EXPECT_GE(least.http_connections, 2U);
}

// Guards against a changed behaviour where the settings name no limits.
TEST(vm_limits, are_wide_without_settings) {
    const vm_limits limits = make_vm_limits(0, 0);
    EXPECT_GE(limits.caller_bytes, 64 * mib);
    EXPECT_GE(limits.caller_connections, 8192U);
}

// Guards against a new connection that ends a transaction, or an active caller before a silent one.
TEST(vm_limits, unstarted_then_longest_idle_sessions_make_room) {
    EXPECT_TRUE(makes_room_before(session_rest::unstarted, 9, session_rest::idle, 1));
    EXPECT_TRUE(makes_room_before(session_rest::idle, 1, session_rest::idle, 2));
    EXPECT_FALSE(makes_room_before(session_rest::idle, 2, session_rest::idle, 1));
    EXPECT_TRUE(makes_room_before(session_rest::idle, 9, session_rest::none, 1));
}

}  // namespace
}  // namespace hornbeamhook::coordination
