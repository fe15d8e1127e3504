#pragma once

#include <cstdint>

#include "gateway/fleet_hubs.h"
#include "gateway/platform_protocol.h"

namespace hornbeamhook::gateway {

/** The shortest time for which a target may be used after it has announced that it leaves. */
inline constexpr std::int64_t min_leaving_time_ms = 7000;

/** How a VM watches a table. */
struct watch_schedule {
    std::int64_t pause_ms = 0;  ///< Without a watch after an answer; batches the next changes.
    watch_limits limits;

    auto operator<=>(const watch_schedule&) const = default;
};

/**
 * Watch of the targets. A watch ends when something changes or after the time for which the store
 * may hold it; only then does a VM notice that its connection has gone silent.
 */
inline constexpr watch_schedule targets_schedule{800, {1500, 700}};
/** The same for a VM that watches for the whole fleet, whose others learn of a change later. */
inline constexpr watch_schedule reader_targets_schedule{200, {400, 500}};

/** After a failed read or watch, before the table is read. */
inline constexpr std::int64_t store_retry_ms = 250;
/**
 * A call to the store is answered within 60 ms even between regions; after this delay a read is
 * also sent on a new connection, and relayed.
 */
inline constexpr std::int64_t store_hedge_delay_ms = 300;
/** For a relayed call, the round trip to the VM that relays it. */
inline constexpr std::int64_t relay_overhead_ms = 300;
/** Between attempts to fetch updates from a hub, each on a new connection. */
inline constexpr std::int64_t update_retry_ms = 200;
inline constexpr int update_attempts = 3;
/** Longest exchange on a connection that works: opening it and the call, between regions. */
inline constexpr std::int64_t exchange_ms = 100;

/** Entries that expire while the store is unavailable reappear within about 2 s of its recovery. */
inline constexpr std::int64_t removal_delay_ms = 2500;
inline constexpr std::int64_t removal_check_ms = 250;

/**
 * Longest time from a change in the store until a VM that watches it knows it. The connection goes
 * silent just before the watch is sent on it, through another VM, and so does the one of the read
 * after it. Pure; thread safe.
 */
constexpr std::int64_t get_max_watch_delay_ms(const watch_schedule& schedule) {
    const std::int64_t watch_ms =
        schedule.limits.hold_ms + schedule.limits.transit_ms + relay_overhead_ms;
    const std::int64_t read_ms = store_hedge_delay_ms + exchange_ms;
    return schedule.pause_ms + watch_ms + store_retry_ms + read_ms;
}

/**
 * Longest time until a VM knows what its hub knows: it has just asked, its connection goes silent,
 * and so does the next one. Pure; thread safe.
 */
constexpr std::int64_t get_max_hub_delay_ms() {
    return hub_request_interval_ms + exchange_ms + 2 * update_retry_ms + exchange_ms;
}

/**
 * Longest time until a VM knows that a target leaves, if `hubs` VMs pass it on after the one that
 * watches the store. Pure; thread safe.
 */
constexpr std::int64_t get_max_leaving_delay_ms(int hubs) {
    return hubs == 0
               ? get_max_watch_delay_ms(targets_schedule)
               : get_max_watch_delay_ms(reader_targets_schedule) + hubs * get_max_hub_delay_ms();
}

/** The same for a target whose entry was removed. Pure; thread safe. */
constexpr std::int64_t get_max_removal_delay_ms(int hubs) {
    return get_max_leaving_delay_ms(hubs) + removal_delay_ms + removal_check_ms;
}

}  // namespace hornbeamhook::gateway
