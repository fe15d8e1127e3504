#include "proxy/usage_recorder.h"

#include <array>
#include <condition_variable>
#include <ctime>
#include <mutex>
#include <thread>
#include <utility>

#include "coordination/store_reading.h"
#include "protocol/table_client.h"
#include "proxy/usage_ledger.h"
#include "transport/log_event.h"

namespace hornbeamhook::proxy {

namespace leaf = boost::leaf;

namespace {

constexpr transport::event_type write_failed{3030, "usage_write_failed",
                                             transport::event_severity::warning};

constexpr const char* usage_table = "usage";
constexpr std::size_t rows_per_write = 50;
// One row needs about 1 KB; the bound holds a day of store outage at today's size.
constexpr std::size_t max_rows = 20'000;
// An entry takes about 200 bytes, and all of them go into one answer to the operator.
constexpr std::size_t max_recent_callers = 200;
// At the end of the process a lost answer is resolved by reading back and writing again.
constexpr int last_attempts = 2;

std::string get_hour() {
    const std::time_t now = std::time(nullptr);
    std::tm parts{};
    gmtime_r(&now, &parts);
    std::array<char, 16> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H", &parts);
    return text.data();
}

}  // namespace

struct usage_recorder::implementation {
    implementation(const protocol::proxy_settings& settings, std::uint64_t incarnation)
        : client(settings.get_dial_address(settings.platform_address), settings.store_timeout),
          ledger(settings.place, settings.vm, incarnation, max_rows) {}

    protocol::table_client client;
    std::mutex mutex;
    std::condition_variable has_changed;
    usage_ledger ledger;
    coordination::recent_callers callers{max_recent_callers};
    bool is_stopping = false;
    std::size_t live_members = 1;
    bool has_failed = false;
    std::thread thread;

    void run();
    bool write_all();
    leaf::result<std::uint64_t> store(std::vector<usage_write>& writes);
    leaf::result<void> read_versions(std::vector<usage_write>& writes);
};

usage_recorder::usage_recorder(const protocol::proxy_settings& settings, std::uint64_t incarnation)
    : implementation_(std::make_unique<implementation>(settings, incarnation)) {}

usage_recorder::~usage_recorder() {
    stop();
}

void usage_recorder::record(const usage_sample& sample) {
    const std::string hour = get_hour();
    const coordination::caller_request_result end =
        !sample.refusal.empty() ? coordination::caller_request_result::refused
        : sample.is_read        ? coordination::caller_request_result::read
                                : coordination::caller_request_result::write;
    const std::scoped_lock lock(implementation_->mutex);
    implementation_->ledger.record(sample, hour);
    implementation_->callers.record(sample.pool, sample.caller, end,
                                    std::chrono::steady_clock::now());
}

coordination::caller_snapshot usage_recorder::get_recent_callers() const {
    const std::scoped_lock lock(implementation_->mutex);
    return implementation_->callers.get_snapshot();
}

void usage_recorder::set_live_members(std::size_t count) {
    const std::scoped_lock lock(implementation_->mutex);
    implementation_->live_members = count;
}

void usage_recorder::start() {
    implementation_->thread = std::thread([self = implementation_.get()] { self->run(); });
}

void usage_recorder::stop() {
    {
        const std::scoped_lock lock(implementation_->mutex);
        implementation_->is_stopping = true;
    }
    implementation_->has_changed.notify_all();
    if (implementation_->thread.joinable()) {
        implementation_->thread.join();
    }
}

void usage_recorder::implementation::run() {
    std::unique_lock lock(mutex);
    while (!has_changed.wait_for(lock, coordination::get_usage_interval(live_members),
                                 [this] { return is_stopping; })) {
        lock.unlock();
        const bool is_written = write_all();
        if (!is_written && !has_failed) {
            transport::log_event(write_failed, {});
        }
        has_failed = !is_written;
        lock.lock();
    }
    lock.unlock();
    for (int attempt = 0; attempt < last_attempts && !write_all(); ++attempt) {
        transport::log_event(write_failed, {{"attempt", std::to_string(attempt + 1)}});
    }
}

bool usage_recorder::implementation::write_all() {
    std::optional<state::usage_key> after;
    while (true) {
        std::vector<usage_write> writes;
        {
            const std::scoped_lock lock(mutex);
            writes = ledger.get_changed(rows_per_write, after);
        }
        if (writes.empty()) {
            return true;
        }
        after = writes.back().row.key;
        const std::uint64_t version =
            leaf::try_handle_all([&] { return store(writes); }, [] { return std::uint64_t{0}; });
        const std::scoped_lock lock(mutex);
        if (version == 0) {
            ledger.mark_uncertain(writes);
            return false;
        }
        ledger.confirm(writes, version, get_hour());
    }
}

leaf::result<std::uint64_t> usage_recorder::implementation::store(
    std::vector<usage_write>& writes) {
    BOOST_LEAF_CHECK(read_versions(writes));
    std::vector<protocol::table_condition> conditions;
    std::vector<protocol::table_write> rows;
    for (const usage_write& write : writes) {
        const std::string key = write.row.key.get_row_key();
        conditions.push_back({usage_table, key, write.version});
        rows.push_back({usage_table, key, state::to_json(write.row)});
    }
    BOOST_LEAF_AUTO(version, client.commit_rows(conditions, rows));
    return version.value_or(0);
}

leaf::result<void> usage_recorder::implementation::read_versions(std::vector<usage_write>& writes) {
    for (usage_write& write : writes) {
        if (write.is_version_known) {
            continue;
        }
        BOOST_LEAF_AUTO(row, client.get_row(usage_table, write.row.key.get_row_key()));
        write.version = row ? std::optional(row->version) : std::nullopt;
        write.is_version_known = true;
    }
    return {};
}

}  // namespace hornbeamhook::proxy
