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

/** The VM list, as read once. */
struct vm_list_update {
    std::vector<protocol::vm_entry> entries;
    std::size_t bytes = 0;  ///< About the size of the answer.
    /// This process had registered its VM before the read began. Until then the entry of this VM
    /// may be a predecessor's.
    bool is_registered = false;
};

/**
 * Where platform_sync hands its results. All run on its thread and must not block; the receiver
 * queues them for its own thread.
 */
struct platform_callbacks {
    /// The version adopted so far; read before each poll. Peers may have raised it.
    std::function<std::uint64_t()> get_adopted_version;
    /// Called after each read of the head that found something newer than the adopted version.
    std::function<void(configuration_update)> on_configuration;
    /// Called after each successful read of the head, with its version, even if nothing is new.
    std::function<void(std::uint64_t)> on_head;
    /// Called after each successful read of the VM list.
    std::function<void(vm_list_update)> on_vms;
    /// Called after each read of the head: whether the configuration log could be read.
    std::function<void(bool)> on_reachability;
};

/**
 * A thread that reads the head of the configuration log and the VM list when
 * coordination::step_store_reading() says so. It also registers this VM in the list: once as live
 * at the start, again when a read of the list does not show it, and as leaving when it leaves. An
 * operator drains a VM by listing it as leaving; the receiver of on_vms acts on that, but not
 * before the list showed the VM as live, because a predecessor may have left.
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

    /** Reads the head at once, for example when a peer names a version that it cannot hand out.
     * Thread safe. */
    void poll_now();

    /** Reads the VM list at once, because a store reader saw this VM leaving in it or not at all.
     * Thread safe. */
    void read_vms_now();

    /** Whether this proxy is a store reader; others learn from peers. True at first. Thread safe.
     */
    void set_reading(bool is_reading);

    /** A peer was heard, so this proxy need not read the store itself. Thread safe. */
    void note_peer();

    /** Registers this VM as leaving from now on. Thread safe. */
    void announce_leaving();

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace hornbeamhook::proxy
