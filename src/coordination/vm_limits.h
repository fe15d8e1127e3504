#pragma once

#include <cstddef>
#include <cstdint>

namespace hornbeamhook::coordination {

/** What clients of one VM may hold together. */
struct vm_limits {
    std::size_t caller_bytes = 0;
    std::size_t peer_bytes = 0;    ///< Of sessions from other VMs.
    std::size_t answer_bytes = 0;  ///< Of incomplete answers from targets.
    std::size_t http_bytes = 0;    ///< Of one HTTP address.
    std::size_t caller_connections = 0;
    std::size_t peer_connections = 0;
    std::size_t http_connections = 0;  ///< To one HTTP address.

    bool operator==(const vm_limits&) const = default;
};

/**
 * Divides a VM's memory and descriptors. A value of 0 is unknown and gives the limits of a VM that
 * is large enough for any client inside the protocol's limits. Pure, thread safe.
 */
vm_limits make_vm_limits(std::int64_t memory_mb, std::int64_t max_descriptors);

/** What a session does, as far as it decides whether it makes room for a new connection. */
enum class session_rest {
    none,      ///< A statement or a transaction is outstanding.
    idle,      ///< Closing it is no failure for its caller.
    unstarted  ///< It has not said what it wants.
};

/** Whether a session makes room for a new connection before another one does: those that never
 * started first, then idle ones, each by the time of their last activity. Pure, thread safe. */
bool makes_room_before(session_rest rest, std::int64_t active_at, session_rest other_rest,
                       std::int64_t other_active_at);

}  // namespace hornbeamhook::coordination
