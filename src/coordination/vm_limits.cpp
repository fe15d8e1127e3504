#include "coordination/vm_limits.h"

#include <algorithm>

namespace hornbeamhook::coordination {

namespace {

constexpr std::size_t mib = std::size_t{1024} * 1024;
/// The process without clients, its configuration, and an answer of the largest size.
constexpr std::size_t min_reserved_bytes = 24 * mib;
constexpr std::size_t reserved_divisor = 4;
/// Of the rest. Allocators need about half as much again as what is counted.
constexpr std::size_t caller_divisor = 4;
constexpr std::size_t peer_divisor = 8;
constexpr std::size_t answer_divisor = 16;
constexpr std::size_t http_divisor = 16;
/// Two messages of the largest size with the copies made while they are handled.
constexpr std::size_t min_session_bytes = 4 * mib;
constexpr std::size_t min_answer_bytes = 2 * mib;
constexpr std::size_t min_http_bytes = 2 * mib;  ///< The largest request.

constexpr std::size_t file_descriptors = 200;  ///< Kept for files by the platform.
// Of the sockets; a tenth is left for targets, the store and calls to other VMs.
constexpr std::size_t percent = 100;
constexpr std::size_t caller_percent = 50;
constexpr std::size_t peer_percent = 30;
constexpr std::size_t http_percent = 5;
constexpr std::size_t min_sockets = 40;

}  // namespace

vm_limits make_vm_limits(std::int64_t memory_mb, std::int64_t max_descriptors) {
    vm_limits limits{.caller_bytes = 96 * mib,
                     .peer_bytes = 96 * mib,
                     .answer_bytes = 96 * mib,
                     .http_bytes = 32 * mib,
                     .caller_connections = 8192,
                     .peer_connections = 8192,
                     .http_connections = 1024};
    if (memory_mb > 0) {
        const std::size_t memory = static_cast<std::size_t>(memory_mb) * mib;
        const std::size_t reserved = std::max(min_reserved_bytes, memory / reserved_divisor);
        const std::size_t rest = memory > reserved ? memory - reserved : 0;
        limits.caller_bytes = std::max(min_session_bytes, rest / caller_divisor);
        limits.peer_bytes = std::max(min_session_bytes, rest / peer_divisor);
        limits.answer_bytes = std::max(min_answer_bytes, rest / answer_divisor);
        limits.http_bytes = std::max(min_http_bytes, rest / http_divisor);
    }
    if (max_descriptors > 0) {
        const auto all = static_cast<std::size_t>(max_descriptors);
        const std::size_t sockets =
            std::max(min_sockets, all > file_descriptors ? all - file_descriptors : 0);
        limits.caller_connections = sockets * caller_percent / percent;
        limits.peer_connections = sockets * peer_percent / percent;
        limits.http_connections = sockets * http_percent / percent;
    }
    return limits;
}

bool makes_room_before(session_rest rest, std::int64_t active_at, session_rest other_rest,
                       std::int64_t other_active_at) {
    return rest != other_rest ? rest > other_rest : active_at < other_active_at;
}

}  // namespace hornbeamhook::coordination
