#pragma once

#include <atomic>
#include <cstdint>

namespace hornbeamhook::standin::target {

/** Counters of one target, for tests and the control interface. */
struct target_counters {
    std::atomic<std::uint64_t> statements_executed = 0;  ///< Those that used a slot.
    std::atomic<std::uint64_t> statements_received = 0;
    std::atomic<std::uint64_t> commits = 0;
    std::atomic<std::uint64_t> streams_refused = 0;  ///< Replication streams of an old term.
    std::atomic<std::uint64_t> heartbeats_sent = 0;
    std::atomic<std::uint64_t> sender_rounds = 0;  ///< Times a sender looked for due entries.
    std::atomic<int> connections_open = 0;
    std::atomic<int> connections_peak = 0;
    std::atomic<std::uint64_t> connections_accepted = 0;
    std::atomic<std::uint64_t> connections_refused = 0;  ///< Over the connection limit.
    std::atomic<int> statements_running = 0;
    std::atomic<int> statements_running_peak = 0;
};

/** Raises `peak` to `value` when it is lower. */
inline void raise_peak(std::atomic<int>& peak, int value) {
    int seen = peak;
    while (seen < value && !peak.compare_exchange_weak(seen, value)) {
    }
}

}  // namespace hornbeamhook::standin::target
