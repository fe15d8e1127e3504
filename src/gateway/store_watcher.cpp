#include "gateway/store_watcher.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "gateway/gateway_events.h"

namespace hornbeamhook::gateway {

namespace {

constexpr std::int64_t read_check_interval_ms = 100;
/// Targets change in bursts, for example when they start; a pause batches several changes into one
/// answer.
constexpr std::int64_t targets_watch_pause_ms = 800;
constexpr std::int64_t due_read_interval_ms = 700;  ///< A third of coordination::lease_duration_ms.
/// Interval while members' promises extend all leases, because each read is billed. The maximum
/// keeps the records fresh enough to begin a change of a primary.
constexpr std::int64_t min_idle_interval_ms = 2700;
constexpr std::int64_t max_idle_interval_ms = 4000;
constexpr std::int64_t idle_interval_per_member_ms = 60;
constexpr std::int64_t retry_ms = 250;  ///< After a failed read or watch.
/// Entries that expire while the store is unavailable reappear within about 2 s of its recovery.
constexpr std::int64_t removal_delay_ms = 2500;
constexpr std::int64_t removal_check_ms = 250;

}  // namespace

store_watcher::store_watcher(transport::event_loop& loop, store_client& store,
                             const platform_protocol& platform, bounded_log& log,
                             store_callbacks callbacks)
    : store_(store),
      platform_(platform),
      log_(log),
      callbacks_(std::move(callbacks)),
      poll_timer_(loop),
      removal_timer_(loop) {
    for (const platform_table table : {platform_table::configuration, platform_table::targets}) {
        retry_timers_[table] = std::make_unique<transport::loop_timer>(loop);
    }
}

void store_watcher::start() {
    read_table(platform_table::configuration);
    read_table(platform_table::targets);
    read_rows();
    poll_timer_.start(read_check_interval_ms, read_check_interval_ms, [this] {
        const std::int64_t age = transport::get_boot_time() - rows_requested_at_;
        if (age >= idle_interval_ms_ || (age >= due_read_interval_ms && callbacks_.is_read_due())) {
            read_rows();
        }
    });
    removal_timer_.start(removal_check_ms, removal_check_ms, [this] { remove_expired_targets(); });
}

void store_watcher::set_fleet_size(int vms) {
    idle_interval_ms_ =
        std::clamp(idle_interval_per_member_ms * vms, min_idle_interval_ms, max_idle_interval_ms);
}

void store_watcher::read_rows() {
    const std::int64_t requested_at = transport::get_boot_time();
    rows_requested_at_ = requested_at;
    store_.read(platform_.format_read(product_table, {}),
                [this, requested_at](const transport::http_exchange_answer& answer) {
                    const store_answer parsed = platform_.parse_store_answer(answer);
                    if (parsed.outcome == store_outcome::done) {
                        callbacks_.rows_read(parsed.rows, requested_at);
                    }
                });
}

void store_watcher::read_table(platform_table table) {
    store_.read(platform_.format_platform_read(table, {}),
                [this, table](const transport::http_exchange_answer& answer) {
                    handle_table_read(table, platform_.parse_store_answer(answer));
                });
}

void store_watcher::handle_table_read(platform_table table, const store_answer& answer) {
    if (answer.outcome != store_outcome::done) {
        retry_timers_[table]->start(retry_ms, 0, [this, table] { read_table(table); });
        return;
    }
    std::vector<stored_row> rows = answer.rows;
    // A read returns all rows, so rows missing from it were deleted.
    for (const auto& [key, row] : rows_[table]) {
        const bool is_listed = std::any_of(
            rows.begin(), rows.end(),
            [&wanted = row.key](const stored_row& listed) { return listed.key == wanted; });
        if (!is_listed && row.version <= answer.version) {
            rows.push_back({row.table, key, {}, answer.version, true});
        }
    }
    apply(table, rows);
    has_targets_ = has_targets_ || table == platform_table::targets;
    watch_table(table, answer.version);
}

void store_watcher::watch_table(platform_table table, row_version after) {
    store_.read(platform_.format_watch(table, after),
                [this, table, after](const transport::http_exchange_answer& answer) {
                    const store_answer parsed = platform_.parse_store_answer(answer);
                    if (parsed.outcome == store_outcome::done) {
                        apply(table, parsed.rows);
                        const row_version next = std::max(after, parsed.version);
                        if (table == platform_table::targets) {
                            retry_timers_[table]->start(
                                targets_watch_pause_ms, 0,
                                [this, table, next] { watch_table(table, next); });
                        } else {
                            watch_table(table, next);
                        }
                        return;
                    }
                    retry_timers_[table]->start(retry_ms, 0, [this, table] { read_table(table); });
                });
}

void store_watcher::apply(platform_table table, const std::vector<stored_row>& rows) {
    std::vector<stored_row> newer;
    for (const stored_row& row : rows) {
        const auto known = rows_[table].find(row.key);
        if (known == rows_[table].end() || known->second.version < row.version) {
            rows_[table][row.key] = row;
            newer.push_back(row);
        }
    }
    if (newer.empty()) {
        return;
    }
    const platform_rows decoded = platform_.decode(table, newer);
    for (const std::string& error : decoded.errors) {
        log_.write(event_row_rejected, {{"reason", error}});
    }
    if (decoded.newest_configuration &&
        decoded.newest_configuration->version > configuration_version_) {
        configuration_version_ = decoded.newest_configuration->version;
        log_.write(event_configuration_adopted,
                   {{"version", std::to_string(configuration_version_)},
                    {"routes", std::to_string(decoded.newest_configuration->routes.size())}});
        callbacks_.configuration_changed(*decoded.newest_configuration);
    }
    for (const auto& [id, entry] : decoded.targets) {
        apply_target(id, entry);
    }
}

void store_watcher::apply_target(const std::string& id, const std::optional<target_entry>& entry) {
    if (entry) {
        missing_since_.erase(id);
        callbacks_.target_changed(id, entry);
    } else {
        missing_since_.emplace(id, transport::get_boot_time());
    }
}

void store_watcher::remove_expired_targets() {
    const std::int64_t now = transport::get_boot_time();
    for (auto entry = missing_since_.begin(); entry != missing_since_.end();) {
        if (now - entry->second < removal_delay_ms) {
            ++entry;
            continue;
        }
        const std::string id = entry->first;
        entry = missing_since_.erase(entry);
        callbacks_.target_changed(id, std::nullopt);
    }
}

std::string store_watcher::format_snapshot() const {
    nlohmann::json tables = nlohmann::json::object();
    for (const auto& [table, rows] : rows_) {
        nlohmann::json& list = tables[std::to_string(static_cast<int>(table))];
        list = nlohmann::json::array();
        for (const auto& [key, row] : rows) {
            list.push_back({{"key", key},
                            {"value", row.value},
                            {"version", row.version},
                            {"deleted", row.is_deleted}});
        }
    }
    return tables.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void store_watcher::merge_snapshot(const std::string& text) {
    const nlohmann::json tables = nlohmann::json::parse(text, nullptr, false);
    for (const platform_table table : {platform_table::configuration, platform_table::targets}) {
        const std::string name = std::to_string(static_cast<int>(table));
        if (!tables.is_object() || !tables.contains(name) || !tables[name].is_array()) {
            continue;
        }
        std::vector<stored_row> rows;
        for (const nlohmann::json& entry : tables[name]) {
            if (entry.is_object()) {
                rows.push_back({{},
                                entry.value("key", std::string()),
                                entry.value("value", std::string()),
                                entry.value("version", std::int64_t{0}),
                                entry.value("deleted", false)});
            }
        }
        has_targets_ = has_targets_ || (table == platform_table::targets && !rows.empty());
        apply(table, rows);
    }
}

}  // namespace hornbeamhook::gateway
