#include "proxy/audit_log.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "protocol/table_client.h"
#include "proxy/audit_buffer.h"
#include "transport/log_event.h"

namespace hornbeamhook::proxy {

namespace leaf = boost::leaf;
using std::chrono::milliseconds;

namespace {

constexpr transport::event_type write_failed{3020, "audit_write_failed",
                                             transport::event_severity::warning};
constexpr transport::event_type write_resumed{3021, "audit_write_resumed"};
constexpr transport::event_type key_taken{3022, "audit_key_taken",
                                          transport::event_severity::error};

constexpr std::size_t max_buffered = 10'000;
constexpr std::size_t records_per_write = 50;
constexpr milliseconds min_pause{100};
constexpr milliseconds max_pause{2000};

std::int64_t get_wall_ms() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}  // namespace

struct audit_log::implementation {
    implementation(const protocol::proxy_settings& settings, std::uint64_t incarnation)
        : client(settings.get_dial_address(settings.platform_address), settings.store_timeout),
          buffer(settings.vm, incarnation, max_buffered) {}

    protocol::table_client client;
    std::mutex mutex;
    std::condition_variable has_changed;
    audit_buffer buffer;
    bool is_stopping = false;
    std::thread thread;

    void run();
    bool write_batch(const std::vector<protocol::table_write>& batch);
    leaf::result<bool> store_batch(const std::vector<protocol::table_write>& batch);
};

audit_log::audit_log(const protocol::proxy_settings& settings, std::uint64_t incarnation)
    : implementation_(std::make_unique<implementation>(settings, incarnation)) {}

audit_log::~audit_log() {
    stop();
}

void audit_log::append(audit_record record) {
    {
        const std::scoped_lock lock(implementation_->mutex);
        implementation_->buffer.append(std::move(record), get_wall_ms());
    }
    implementation_->has_changed.notify_all();
}

void audit_log::start() {
    implementation_->thread = std::thread([self = implementation_.get()] { self->run(); });
}

void audit_log::stop() {
    {
        const std::scoped_lock lock(implementation_->mutex);
        implementation_->is_stopping = true;
    }
    implementation_->has_changed.notify_all();
    if (implementation_->thread.joinable()) {
        implementation_->thread.join();
    }
}

void audit_log::implementation::run() {
    milliseconds pause{0};
    std::unique_lock lock(mutex);
    while (true) {
        has_changed.wait_for(lock, pause, [this] { return is_stopping; });
        has_changed.wait(lock, [this] { return is_stopping || !buffer.is_empty(); });
        if (buffer.is_empty()) {
            return;
        }
        const bool is_last_try = is_stopping;
        const std::vector<protocol::table_write> batch = buffer.get_batch(records_per_write);
        lock.unlock();
        const bool is_written = write_batch(batch);
        lock.lock();
        if (is_written) {
            buffer.confirm(get_wall_ms());
            if (pause.count() > 0) {
                transport::log_event(write_resumed, {});
            }
            pause = milliseconds(0);
            continue;
        }
        if (is_last_try) {
            return;
        }
        if (pause.count() == 0) {
            transport::log_event(write_failed, {});
        }
        pause = std::clamp(pause * 2, min_pause, max_pause);
    }
}

bool audit_log::implementation::write_batch(const std::vector<protocol::table_write>& batch) {
    return leaf::try_handle_all([&] { return store_batch(batch); }, [] { return false; });
}

leaf::result<bool> audit_log::implementation::store_batch(
    const std::vector<protocol::table_write>& batch) {
    std::vector<protocol::table_condition> conditions;
    conditions.reserve(batch.size());
    for (const protocol::table_write& write : batch) {
        conditions.push_back({write.table, write.key, {}});
    }
    BOOST_LEAF_AUTO(is_committed, client.commit(conditions, batch));
    if (is_committed) {
        return true;
    }
    // Usually an earlier attempt took effect and its answer was lost. Rows are written as a whole,
    // so the first one stands for all.
    BOOST_LEAF_AUTO(row, client.get_row(batch.front().table, batch.front().key));
    if (!row || row->value != *batch.front().value) {
        transport::log_event(key_taken, {{"key", batch.front().key}});
    }
    return row.has_value();
}

}  // namespace hornbeamhook::proxy
