#include "proxy/platform_sync.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "protocol/configuration_store.h"
#include "transport/log_event.h"

namespace hornbeamhook::proxy {

namespace leaf = boost::leaf;

namespace {

constexpr transport::event_type store_lost{3010, "platform_store_lost",
                                           transport::event_severity::warning};
constexpr transport::event_type store_back{3011, "platform_store_back"};
constexpr transport::event_type vm_list_failed{3012, "platform_vm_list_failed",
                                               transport::event_severity::warning};
constexpr transport::event_type log_malformed{3013, "configuration_log_malformed",
                                              transport::event_severity::error};

// A proxy that is further behind reads the newest snapshot instead of single changes.
constexpr std::uint64_t max_changes_to_read = 200;

}  // namespace

struct platform_sync::implementation {
    implementation(protocol::proxy_settings value, platform_callbacks functions)
        : settings(std::move(value)),
          callbacks(std::move(functions)),
          client(settings.get_dial_address(settings.platform_address), settings.store_timeout),
          store(client) {}

    protocol::proxy_settings settings;
    platform_callbacks callbacks;
    protocol::table_client client;
    protocol::configuration_store store;
    std::mutex mutex;
    std::condition_variable has_changed;
    bool is_stopping = false;
    bool is_reading = true;
    bool is_poll_asked = false;
    bool is_leaving = false;
    std::thread thread;
    // Only used by the thread.
    bool was_reachable = true;
    bool was_vm_list_read = true;
    bool is_registered = false;  ///< Whether this process registered its VM since it started.

    void run();
    void poll();
    bool poll_configuration();
    leaf::result<void> read_configuration();
    void poll_vms();
    leaf::result<void> read_vms();
};

platform_sync::platform_sync(protocol::proxy_settings settings, platform_callbacks callbacks)
    : implementation_(std::make_unique<implementation>(std::move(settings), std::move(callbacks))) {
}

platform_sync::~platform_sync() {
    stop();
}

void platform_sync::start() {
    implementation_->thread = std::thread([self = implementation_.get()] { self->run(); });
}

void platform_sync::stop() {
    {
        const std::scoped_lock lock(implementation_->mutex);
        implementation_->is_stopping = true;
    }
    implementation_->has_changed.notify_all();
    if (implementation_->thread.joinable()) {
        implementation_->thread.join();
    }
}

void platform_sync::poll_now() {
    {
        const std::scoped_lock lock(implementation_->mutex);
        implementation_->is_poll_asked = true;
    }
    implementation_->has_changed.notify_all();
}

void platform_sync::set_reading(bool is_reading) {
    const std::scoped_lock lock(implementation_->mutex);
    implementation_->is_reading = is_reading;
}

void platform_sync::announce_leaving() {
    {
        const std::scoped_lock lock(implementation_->mutex);
        implementation_->is_leaving = true;
        implementation_->is_poll_asked = true;
    }
    implementation_->has_changed.notify_all();
}

void platform_sync::implementation::run() {
    std::unique_lock lock(mutex);
    while (!is_stopping) {
        const bool is_due = is_reading || is_poll_asked;
        is_poll_asked = false;
        if (is_due) {
            lock.unlock();
            poll();
            lock.lock();
        }
        has_changed.wait_for(lock, settings.store_poll_interval,
                             [this] { return is_stopping || is_poll_asked; });
    }
}

void platform_sync::implementation::poll() {
    const bool is_reachable = poll_configuration();
    if (is_reachable != was_reachable) {
        was_reachable = is_reachable;
        transport::log_event(is_reachable ? store_back : store_lost,
                             {{"address", settings.platform_address}});
    }
    callbacks.on_reachability(is_reachable);
    poll_vms();
}

bool platform_sync::implementation::poll_configuration() {
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(read_configuration());
            return true;
        },
        [](const protocol::table_error& /*error*/) { return false; },
        [](const protocol::protocol_error& error) {
            transport::log_event(log_malformed, {{"error", error.message}});
            return true;
        },
        [] { return false; });
}

leaf::result<void> platform_sync::implementation::read_configuration() {
    const std::uint64_t adopted = callbacks.get_adopted_version();
    BOOST_LEAF_AUTO(head, store.get_head());
    callbacks.on_head(head.version);
    if (head.version <= adopted) {
        return {};
    }
    configuration_update update;
    update.head_version = head.version;
    if (adopted == 0 || head.version - adopted > max_changes_to_read) {
        BOOST_LEAF_AUTO(config, store.load());
        update.head_version = std::max(head.version, config.version);
        update.whole = std::make_shared<const state::configuration>(std::move(config));
    } else {
        BOOST_LEAF_ASSIGN(update.changes, store.get_changes(adopted, head.version));
    }
    callbacks.on_configuration(std::move(update));
    return {};
}

void platform_sync::implementation::poll_vms() {
    const bool is_read = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(read_vms());
            return true;
        },
        [] { return false; });
    if (!is_read && was_vm_list_read) {
        transport::log_event(vm_list_failed, {{"address", settings.platform_address}});
    }
    was_vm_list_read = is_read;
}

leaf::result<void> platform_sync::implementation::read_vms() {
    BOOST_LEAF_AUTO(list, client.get_vms());
    protocol::vm_entry self{settings.vm, settings.advertise_address, settings.place,
                            settings.data_center, false};
    {
        const std::scoped_lock lock(mutex);
        self.is_leaving = is_leaving;
    }
    // At the start the list may still show a predecessor that left. Later a listed "leaving" is an
    // operator's drain and is never turned back to "live".
    const bool is_listed =
        is_registered &&
        std::any_of(list.begin(), list.end(), [&](const protocol::vm_entry& entry) {
            return entry.vm == self.vm && entry.address == self.address &&
                   (entry.is_leaving || !self.is_leaving);
        });
    callbacks.on_vms(std::move(list));
    if (!is_listed) {
        BOOST_LEAF_CHECK(client.put_vm(self));
        is_registered = true;
    }
    return {};
}

}  // namespace hornbeamhook::proxy
