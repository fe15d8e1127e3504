#include "proxy/platform_sync.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "coordination/store_reading.h"
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
/// Field names and punctuation of one entry of the VM list.
constexpr std::size_t vm_entry_bytes = 70;

using state::time_point;

time_point get_now() {
    return std::chrono::steady_clock::now();
}

/** Where the process stands with its own entry in the VM list. */
enum class registration { none, live, leaving };

}  // namespace

struct platform_sync::implementation {
    implementation(protocol::proxy_settings value, platform_callbacks functions)
        : settings(std::move(value)),
          callbacks(std::move(functions)),
          client(settings.get_dial_address(settings.platform_address), settings.store_timeout),
          store(client) {
        reading.poll_interval = settings.store_poll_interval;
        reading.last_peer_message_at = get_now();
    }

    protocol::proxy_settings settings;
    platform_callbacks callbacks;
    protocol::table_client client;
    protocol::configuration_store store;
    std::mutex mutex;
    std::condition_variable has_changed;
    bool is_stopping = false;
    bool is_woken = false;
    bool is_leaving = false;
    coordination::store_reading_state reading;
    std::thread thread;
    // Only used by the thread.
    bool was_reachable = true;
    bool was_vm_list_read = true;
    registration registered = registration::none;
    time_point next_registration{};

    /** Applies an event and wakes the thread. */
    void apply(const coordination::store_reading_event& event);
    std::vector<coordination::store_reading_action> check();
    void run();
    void execute(const coordination::read_head& action);
    void execute(const coordination::read_vm_list& action);
    bool poll_configuration();
    leaf::result<void> read_configuration();
    leaf::result<coordination::vm_list_read_ended> read_vms();
    protocol::vm_entry get_own_entry();
    bool is_registration_due(const protocol::vm_entry& own) const;
    void register_vm(const protocol::vm_entry& own);
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
    implementation_->apply(coordination::head_requested{});
}

void platform_sync::read_vms_now() {
    implementation_->apply(coordination::vm_list_requested{});
}

void platform_sync::set_reading(bool is_reading) {
    implementation_->apply(coordination::reader_assigned{is_reading});
}

void platform_sync::note_peer() {
    const std::scoped_lock lock(implementation_->mutex);
    implementation_->reading = step_store_reading(implementation_->reading,
                                                  coordination::peer_message_received{}, get_now())
                                   .state;
}

void platform_sync::announce_leaving() {
    {
        const std::scoped_lock lock(implementation_->mutex);
        implementation_->is_leaving = true;
        implementation_->is_woken = true;
    }
    implementation_->has_changed.notify_all();
}

void platform_sync::implementation::apply(const coordination::store_reading_event& event) {
    {
        const std::scoped_lock lock(mutex);
        reading = step_store_reading(reading, event, get_now()).state;
        is_woken = true;
    }
    has_changed.notify_all();
}

std::vector<coordination::store_reading_action> platform_sync::implementation::check() {
    const std::scoped_lock lock(mutex);
    coordination::store_reading_step step =
        step_store_reading(reading, coordination::read_check_due{}, get_now());
    reading = step.state;
    is_woken = false;
    return std::move(step.actions);
}

void platform_sync::implementation::run() {
    while (true) {
        const protocol::vm_entry own = get_own_entry();
        // Registered first, so that the list read next can show it.
        if (is_registration_due(own) && get_now() >= next_registration) {
            register_vm(own);
        }
        for (const coordination::store_reading_action& action : check()) {
            std::visit([this](const auto& value) { execute(value); }, action);
        }
        const bool has_registration = is_registration_due(get_own_entry());
        std::unique_lock lock(mutex);
        time_point next = get_next_read_time(reading);
        if (has_registration) {
            next = std::min(next, next_registration);
        }
        has_changed.wait_until(lock, next, [this] { return is_stopping || is_woken; });
        if (is_stopping) {
            return;
        }
    }
}

void platform_sync::implementation::execute(const coordination::read_head& /*action*/) {
    const bool is_reachable = poll_configuration();
    if (is_reachable != was_reachable) {
        was_reachable = is_reachable;
        transport::log_event(is_reachable ? store_back : store_lost,
                             {{"address", settings.platform_address}});
    }
    callbacks.on_reachability(is_reachable);
    apply(coordination::head_read_ended{is_reachable});
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

void platform_sync::implementation::execute(const coordination::read_vm_list& /*action*/) {
    const coordination::vm_list_read_ended ended = leaf::try_handle_all(
        [&] { return read_vms(); }, [] { return coordination::vm_list_read_ended{}; });
    if (!ended.is_answered && was_vm_list_read) {
        transport::log_event(vm_list_failed, {{"address", settings.platform_address}});
    }
    was_vm_list_read = ended.is_answered;
    apply(ended);
}

leaf::result<coordination::vm_list_read_ended> platform_sync::implementation::read_vms() {
    const bool was_registered = registered != registration::none;
    BOOST_LEAF_AUTO(list, client.get_vms());
    const protocol::vm_entry own = get_own_entry();
    coordination::vm_list_read_ended ended{true, 0, false};
    bool is_listed = false;
    for (const protocol::vm_entry& entry : list) {
        ended.bytes += entry.vm.size() + entry.address.size() + entry.place.size() +
                       entry.data_center.size() + vm_entry_bytes;
        const bool is_own = entry.vm == own.vm && entry.address == own.address;
        // A listed "leaving" may be an operator's drain and is never turned back to "live".
        is_listed = is_listed || (is_own && (entry.is_leaving || !own.is_leaving));
        ended.is_own_listed =
            ended.is_own_listed || (was_registered && is_own && !entry.is_leaving);
    }
    callbacks.on_vms({std::move(list), ended.bytes, was_registered});
    if (!is_listed) {
        register_vm(own);
    }
    return ended;
}

protocol::vm_entry platform_sync::implementation::get_own_entry() {
    const std::scoped_lock lock(mutex);
    return {settings.vm, settings.advertise_address, settings.place, settings.data_center,
            is_leaving};
}

bool platform_sync::implementation::is_registration_due(const protocol::vm_entry& own) const {
    return registered != (own.is_leaving ? registration::leaving : registration::live);
}

void platform_sync::implementation::register_vm(const protocol::vm_entry& own) {
    next_registration = get_now() + settings.store_poll_interval;
    const bool is_done = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(client.put_vm(own));
            return true;
        },
        [] { return false; });
    if (is_done) {
        registered = own.is_leaving ? registration::leaving : registration::live;
    }
}

}  // namespace hornbeamhook::proxy
