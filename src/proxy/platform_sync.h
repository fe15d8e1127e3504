#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "protocol/proxy_settings.h"
#include "protocol/table_client.h"
#include "state/configuration.h"

namespace hornbeamhook::proxy {

/** What one poll of the configuration log found beyond the adopted version. */
struct configuration_update {
    std::uint64_t head_version = 0;  ///< Version of the head of the log.
    /// Newest snapshot plus tail, when the adopted version is far behind; else null.
    std::shared_ptr<const state::configuration> whole;
    /// Changes after the adopted version, in order, when `whole` is null.
    std::vector<state::configuration_change> changes;
};

/**
 * Where platform_sync hands its results. All run on its thread and must not block; the receiver
 * queues them for its own thread.
 */
struct platform_callbacks {
    /// The version adopted so far; read before each poll. Peers may have raised it.
    std::function<std::uint64_t()> get_adopted_version;
    /// Called after each poll that found something newer than the adopted version.
    std::function<void(configuration_update)> on_configuration;
    /// Called after each successful read of the head, with its version, even if nothing is new.
    std::function<void(std::uint64_t)> on_head;
    /// Called after each successful read of the VM list.
    std::function<void(std::vector<protocol::vm_entry>)> on_vms;
    /// Called after each poll: whether the configuration log could be read.
    std::function<void(bool)> on_reachability;
};

/**
 * A thread that polls the head of the configuration log and the VM list each store_poll_interval.
 * It also registers this VM in the list: once as live at the start, and again while the list does
 * not show it. An operator drains a VM by listing it as leaving; the receiver of on_vms acts on
 * that, but not before the list showed the VM as live, because a predecessor may have left.
 */
class platform_sync {
public:
    /** Does nothing until start(). */
    platform_sync(protocol::proxy_settings settings, platform_callbacks callbacks);

    /** Calls stop(). */
    ~platform_sync();
    platform_sync(const platform_sync&) = delete;
    platform_sync& operator=(const platform_sync&) = delete;

    /** Starts the thread. */
    void start();

    /** Ends the thread; may wait for one store_timeout. Safe to call twice. Not thread safe. */
    void stop();

    /** Polls at once, for example when a peer names a version that it cannot hand out. Thread
     * safe. */
    void poll_now();

    /** Whether this proxy reads the store; others learn from peers. True at first. Thread safe. */
    void set_reading(bool is_reading);

    /** Registers this VM as leaving from now on. Thread safe. */
    void announce_leaving();

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace hornbeamhook::proxy
