#include "gateway/store_watcher.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "gateway/gateway_events.h"

namespace hornbeamhook::gateway {

namespace {

constexpr std::int64_t read_check_interval_ms = 100;
constexpr std::int64_t due_read_interval_ms = 700;  ///< A third of coordination::lease_duration_ms.
/// Interval while members' promises extend all leases, because each read is billed. The maximum
/// keeps the records fresh enough to begin a change of a primary.
constexpr std::int64_t min_idle_interval_ms = 2700;
constexpr std::int64_t max_idle_interval_ms = 4000;
constexpr std::int64_t idle_interval_per_member_ms = 60;
/// Between reads for the fleet. VMs learn of a read through two hubs, each asked every 350 ms, and
/// their leases need one that is at most 1.3 s old.
constexpr std::int64_t reader_interval_ms = 300;
/// Age of the reader's rows at which a hub reads them for its place: the reader's interval and a
/// hub request, with a delay.
constexpr std::int64_t max_followed_age_ms = 850;
/// VMs announce a new configuration to each other, so most of their watches may be long.
constexpr watch_limits configuration_watch{12000, 1500};
/// All connections may go silent at once, and 4 s later a new configuration has to reach all VMs.
/// This leaves time for the read of the table and for the announcement.
constexpr watch_limits confirming_watch{1500, 700};
/// After the configuration was read.
constexpr std::int64_t first_configuration_watch_delay_ms = 1500;
/// A larger configuration is read from the store: sent to all VMs of a place at once, it would
/// delay the callers on a hub's link of 20 Mbit/s.
constexpr std::size_t max_relayed_configuration_bytes = 65536;
// Fields of update requests and of their answers.
constexpr const char* configuration_field = "configuration";
constexpr const char* targets_field = "targets";
constexpr const char* rows_field = "rows";
constexpr const char* rows_age_field = "rows_age_ms";
/// In a request, the versions of the store that the copies reflect; in an answer, the changes
/// since.
constexpr const char* changes_field = "changes";

std::string to_string(store_watcher::source value) {
    switch (value) {
        case store_watcher::source::store:
            return "store";
        case store_watcher::source::reader:
            return "reader";
        case store_watcher::source::other_hub:
            return "other_hub";
        case store_watcher::source::hub:
            return "hub";
    }
    return "store";
}

std::string to_string(platform_table table) {
    return table == platform_table::configuration ? configuration_field : targets_field;
}

std::string to_string(store_outcome outcome) {
    switch (outcome) {
        case store_outcome::done:
            return "done";
        case store_outcome::conflict:
            return "conflict";
        case store_outcome::refused:
            return "refused";
        case store_outcome::history_lost:
            return "history_lost";
        case store_outcome::unknown:
            return "unknown";
    }
    return "unknown";
}

/** Null if `value` is not an object with that field. */
const nlohmann::json* find_field(const nlohmann::json& value, const char* field) {
    const auto entry = value.is_object() ? value.find(field) : value.end();
    return entry == value.end() ? nullptr : &*entry;
}

/** Null unless the field is an object. */
nlohmann::json get_object_field(const nlohmann::json& value, const char* field) {
    const nlohmann::json* entry = find_field(value, field);
    return entry != nullptr && entry->is_object() ? *entry : nlohmann::json();
}

std::optional<std::string> get_text_field(const nlohmann::json& value, const char* field) {
    const nlohmann::json* entry = find_field(value, field);
    return entry != nullptr && entry->is_string() ? std::optional(entry->get<std::string>())
                                                  : std::nullopt;
}

std::optional<row_version> get_version_field(const nlohmann::json& value, const char* field) {
    const nlohmann::json* entry = find_field(value, field);
    return entry != nullptr && entry->is_number_integer() ? std::optional(entry->get<row_version>())
                                                          : std::nullopt;
}

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
        tables_[table];
    }
}

void store_watcher::start() {
    read_table(platform_table::configuration);
    read_table(platform_table::targets);
    read_rows();
    poll_timer_.start(read_check_interval_ms, read_check_interval_ms, [this] {
        const std::int64_t age = transport::get_boot_time() - rows_requested_at_;
        if (age >= get_read_interval() ||
            (age >= due_read_interval_ms && callbacks_.is_read_due())) {
            read_rows();
        }
    });
    removal_timer_.start(removal_check_ms, removal_check_ms, [this] { remove_expired_targets(); });
}

void store_watcher::set_fleet_size(int vms) {
    idle_interval_ms_ =
        std::clamp(idle_interval_per_member_ms * vms, min_idle_interval_ms, max_idle_interval_ms);
}

std::int64_t store_watcher::get_read_interval() const {
    switch (source_) {
        case source::store:
            return idle_interval_ms_;
        case source::reader:
            return reader_interval_ms;
        case source::other_hub:
            // Only while the reader's rows are not renewed.
            return transport::get_boot_time() - rows_confirmed_at_ >= max_followed_age_ms
                       ? reader_interval_ms
                       : std::numeric_limits<std::int64_t>::max();
        case source::hub:
            break;
    }
    return std::numeric_limits<std::int64_t>::max();
}

void store_watcher::set_source(source value) {
    if (value == source_) {
        return;
    }
    source_ = value;
    log_.write(event_store_source, {{"source", to_string(value)}});
    for (const platform_table table : {platform_table::configuration, platform_table::targets}) {
        if (is_watching(table) && !watched_.contains(table)) {
            watch_table(table, tables_[table].get_read_version());
        }
    }
}

void store_watcher::set_confirming(bool value) {
    if (value == is_confirming_) {
        return;
    }
    is_confirming_ = value;
    constexpr platform_table table = platform_table::configuration;
    if (is_confirming_ && open_watches_.contains(table)) {
        watch_table(table, tables_[table].get_read_version());
    }
}

watch_limits store_watcher::get_watch_limits(platform_table table) const {
    if (table == platform_table::targets) {
        return get_targets_schedule().limits;
    }
    return is_confirming_ ? confirming_watch : configuration_watch;
}

const watch_schedule& store_watcher::get_targets_schedule() const {
    return source_ == source::reader ? reader_targets_schedule : targets_schedule;
}

bool store_watcher::is_watching(platform_table table) const {
    return !is_following() ||
           (source_ == source::other_hub && table == platform_table::configuration);
}

void store_watcher::read_rows() {
    const std::int64_t requested_at = transport::get_boot_time();
    rows_requested_at_ = requested_at;
    read_pages(
        [this](const std::string& after) { return platform_.format_read(product_table, after); },
        [this, requested_at](const store_answer& answer) {
            handle_rows_read(answer, requested_at);
        });
}

void store_watcher::read_pages(const page_request& request, const store_callback& done,
                               const store_answer& earlier) {
    const std::string after = earlier.rows.empty() ? "" : earlier.rows.back().key;
    store_.read(request(after), [this, request, done,
                                 earlier](const transport::http_exchange_answer& answer) {
        store_answer page = platform_.parse_store_answer(answer);
        if (page.outcome != store_outcome::done) {
            done(page);
            return;
        }
        if (!earlier.rows.empty() && page.era != earlier.era) {
            // The store was restored between two pages.
            page.outcome = store_outcome::unknown;
            done(page);
            return;
        }
        const bool is_last = !page.has_more || page.rows.empty();
        if (!earlier.rows.empty()) {
            page.version = earlier.version;
            page.rows.insert(page.rows.begin(), earlier.rows.begin(), earlier.rows.end());
        }
        if (is_last) {
            done(page);
        } else {
            read_pages(request, done, page);
        }
    });
}

void store_watcher::handle_rows_read(const store_answer& answer, std::int64_t requested_at) {
    if (answer.outcome != store_outcome::done) {
        return;
    }
    if (!accept_era(rows_field, rows_, answer)) {
        return;
    }
    check_ignored_rows(rows_field, rows_, answer.rows);
    rows_.apply_read(answer.rows, answer.version);
    rows_confirmed_at_ = std::max(rows_confirmed_at_, requested_at);
    callbacks_.rows_read(rows_.get_rows(), requested_at);
}

bool store_watcher::accept_era(const std::string& table, const table_copy& copy,
                               const store_answer& answer) {
    if (answer.era <= store_era_) {
        const bool is_answered = answer.outcome == store_outcome::done;
        return !is_answered || answer.era == store_era_;
    }
    const std::int64_t previous = std::exchange(store_era_, answer.era);
    if (previous == 0) {
        return true;
    }
    log_.write(event_store_restored, {{"table", table},
                                      {"era", std::to_string(answer.era)},
                                      {"previous", std::to_string(previous)},
                                      {"version", std::to_string(answer.version)},
                                      {"known_version", std::to_string(copy.get_read_version())}});
    // Open watches wait for versions that the store has given up. A watch of the new era could pass
    // over changes, because versions are given out again.
    for (auto& [watched, timer] : retry_timers_) {
        ++watch_numbers_[watched];
        open_watches_.erase(watched);
        if (is_watching(watched)) {
            timer->start(0, 0, [this, reread = watched] { read_table(reread); });
        }
    }
    return true;
}

void store_watcher::check_ignored_rows(const std::string& table, const table_copy& copy,
                                       const std::vector<stored_row>& rows) {
    for (const stored_row& row : rows) {
        const auto known = copy.find(row.key);
        if (known && known->version >= row.version && known->value != row.value) {
            log_.write(event_row_ignored, {{"table", table},
                                           {"key", row.key},
                                           {"version", std::to_string(row.version)},
                                           {"known_version", std::to_string(known->version)}});
        }
    }
}

void store_watcher::read_table(platform_table table) {
    watched_.insert(table);
    read_pages(
        [this, table](const std::string& after) {
            return platform_.format_platform_read(table, after);
        },
        [this, table, requested_at = transport::get_boot_time()](const store_answer& answer) {
            handle_table_read(table, answer, requested_at);
        });
}

void store_watcher::retry_table(platform_table table) {
    retry_timers_[table]->start(store_retry_ms, 0, [this, table] { read_table(table); });
}

void store_watcher::handle_table_read(platform_table table, const store_answer& answer,
                                      std::int64_t requested_at) {
    if (answer.outcome != store_outcome::done) {
        // Only the first failure in a row: attempts follow each other quickly.
        if (failed_reads_.insert(table).second) {
            log_.write(event_read_failed,
                       {{"table", to_string(table)},
                        {"outcome", to_string(answer.outcome)},
                        {"waited_ms", std::to_string(transport::get_boot_time() - requested_at)}});
        }
        retry_table(table);
        return;
    }
    failed_reads_.erase(table);
    if (!accept_era(to_string(table), tables_[table], answer)) {
        retry_table(table);
        return;
    }
    check_ignored_rows(to_string(table), tables_[table], answer.rows);
    apply(table, tables_[table].apply_read(answer.rows, answer.version));
    has_targets_ = has_targets_ || table == platform_table::targets;
    // A VM that has just started usually learns of a hub during this pause and needs no watch. The
    // pause also replaces the read of this table that accept_era() may have scheduled.
    const std::int64_t delay_ms = table == platform_table::targets
                                      ? get_targets_schedule().pause_ms
                                      : first_configuration_watch_delay_ms;
    retry_timers_[table]->start(
        delay_ms, 0, [this, table, version = answer.version] { watch_table(table, version); });
}

void store_watcher::watch_table(platform_table table, row_version after) {
    if (!is_watching(table)) {
        watched_.erase(table);
        return;
    }
    request_changes(table, after);
}

void store_watcher::request_changes(platform_table table, row_version after) {
    watched_.insert(table);
    open_watches_.insert(table);
    const std::int64_t number = ++watch_numbers_[table];
    store_.watch(
        platform_.format_watch(table, after, get_watch_limits(table)),
        [this, table, after, number,
         requested_at = transport::get_boot_time()](const transport::http_exchange_answer& answer) {
            if (number != watch_numbers_[table]) {
                return;
            }
            open_watches_.erase(table);
            const store_answer parsed = platform_.parse_store_answer(answer);
            if (!accept_era(to_string(table), tables_[table], parsed)) {
                retry_table(table);
                return;
            }
            if (number != watch_numbers_[table]) {
                return;
            }
            if (parsed.outcome == store_outcome::done) {
                check_ignored_rows(to_string(table), tables_[table], parsed.rows);
                const row_version next = std::max(after, parsed.version);
                apply(table, tables_[table].apply(parsed.rows));
                tables_[table].set_read_version(next);
                if (table == platform_table::targets) {
                    retry_timers_[table]->start(get_targets_schedule().pause_ms, 0,
                                                [this, table, next] { watch_table(table, next); });
                } else {
                    watch_table(table, next);
                }
                return;
            }
            log_.write(event_watch_failed,
                       {{"table", to_string(table)},
                        {"outcome", to_string(parsed.outcome)},
                        {"after", std::to_string(after)},
                        {"waited_ms", std::to_string(transport::get_boot_time() - requested_at)}});
            retry_table(table);
        });
}

table_digests store_watcher::get_digests() const {
    return {tables_.at(platform_table::configuration).get_digest(),
            tables_.at(platform_table::targets).get_digest(), rows_.get_digest()};
}

std::optional<std::int64_t> store_watcher::get_rows_age(std::int64_t now) const {
    return rows_confirmed_at_ == 0 ? std::nullopt : std::optional(now - rows_confirmed_at_);
}

void store_watcher::confirm_rows(std::int64_t requested_at) {
    if (rows_confirmed_at_ != 0 && requested_at > rows_confirmed_at_) {
        rows_confirmed_at_ = requested_at;
        callbacks_.rows_confirmed(requested_at);
    }
}

std::string store_watcher::format_update_request(const table_digests& digests) const {
    const table_digests own = get_digests();
    nlohmann::json request = nlohmann::json::object();
    const auto add = [&](const char* field, const table_copy& table) {
        // VMs of an earlier release read only this version and send the list of all rows.
        request[field] = table.get_newest_version();
        if (table.get_read_version() > 0 && !incomplete_tables_.contains(field)) {
            request[changes_field][field] = table.get_read_version();
        }
    };
    if (digests.configuration != own.configuration) {
        add(configuration_field, tables_.at(platform_table::configuration));
    }
    if (digests.targets != own.targets) {
        add(targets_field, tables_.at(platform_table::targets));
    }
    if (digests.rows != own.rows) {
        add(rows_field, rows_);
    }
    return request.dump();
}

std::string store_watcher::format_updates(const std::string& request) const {
    const nlohmann::json wanted = nlohmann::json::parse(request, nullptr, false);
    const nlohmann::json changes_since = get_object_field(wanted, changes_field);
    nlohmann::json result = nlohmann::json::object();
    const auto add = [&](const char* field, const table_copy& table, std::size_t max_bytes) {
        std::string text;
        nlohmann::json* place = nullptr;
        if (const auto since = get_version_field(changes_since, field)) {
            text = format_table_changes(table.get_changes(*since));
            place = &result[changes_field][field];
        } else if (const auto after = get_version_field(wanted, field)) {
            text = format_table_update(table.get_update(*after));
            place = &result[field];
        } else {
            return;
        }
        if (text.size() > max_bytes) {
            result[field] = nullptr;
            return;
        }
        *place = std::move(text);
    };
    constexpr std::size_t no_limit = std::numeric_limits<std::size_t>::max();
    add(configuration_field, tables_.at(platform_table::configuration),
        max_relayed_configuration_bytes);
    add(targets_field, tables_.at(platform_table::targets), no_limit);
    if (const auto age = get_rows_age(transport::get_boot_time())) {
        add(rows_field, rows_, no_limit);
        result[rows_age_field] = *age;
    }
    return result.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::vector<stored_row> store_watcher::apply_changes(const std::string& field, table_copy& table,
                                                     const table_changes& changes) {
    std::vector<stored_row> newer = table.apply_changes(changes);
    if (table.get_digest() == changes.digest) {
        incomplete_tables_.erase(field);
    } else {
        incomplete_tables_.insert(field);
    }
    return newer;
}

void store_watcher::apply_updates(const std::string& text, std::int64_t sent_at) {
    const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
    const nlohmann::json all_changes = get_object_field(object, changes_field);
    const auto find_update = [&](const char* field) {
        const auto entry = get_text_field(object, field);
        return entry ? parse_table_update(*entry) : std::nullopt;
    };
    const auto find_changes = [&](const char* field) {
        const auto entry = get_text_field(all_changes, field);
        return entry ? parse_table_changes(*entry) : std::nullopt;
    };
    const auto apply_table = [&](platform_table table, const char* field) {
        if (const auto update = find_update(field)) {
            apply(table, tables_[table].apply_update(*update));
            incomplete_tables_.erase(field);
            return true;
        }
        if (const auto changes = find_changes(field)) {
            apply(table, apply_changes(field, tables_[table], *changes));
            return true;
        }
        return false;
    };
    apply_table(platform_table::configuration, configuration_field);
    const nlohmann::json* configuration = find_field(object, configuration_field);
    if (configuration != nullptr && configuration->is_null() &&
        !watched_.contains(platform_table::configuration)) {
        // A watch waits long enough for a large answer on a slow link.
        request_changes(platform_table::configuration,
                        tables_[platform_table::configuration].get_read_version());
    }
    if (apply_table(platform_table::targets, targets_field)) {
        has_targets_ = true;
    }
    const nlohmann::json* age = find_field(object, rows_age_field);
    // A negative age would renew leases for longer than they last.
    if (age == nullptr || !age->is_number_unsigned()) {
        return;
    }
    if (const auto update = find_update(rows_field)) {
        rows_.apply_update(*update);
        incomplete_tables_.erase(rows_field);
    } else if (const auto changes = find_changes(rows_field)) {
        apply_changes(rows_field, rows_, *changes);
        if (incomplete_tables_.contains(rows_field)) {
            // The copy may still list a VM that was removed, for example this one.
            return;
        }
    } else {
        return;
    }
    const std::int64_t requested_at = sent_at - age->get<std::int64_t>();
    rows_confirmed_at_ = std::max(rows_confirmed_at_, requested_at);
    callbacks_.rows_read(rows_.get_rows(), requested_at);
}

void store_watcher::apply(platform_table table, const std::vector<stored_row>& newer) {
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
    for (const auto& [table, copy] : tables_) {
        nlohmann::json& list = tables[std::to_string(static_cast<int>(table))];
        list = nlohmann::json::array();
        for (const stored_row& row : copy.get_all_rows()) {
            list.push_back({{"key", row.key},
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
        std::vector<stored_row> rows;
        try {
            for (const nlohmann::json& entry : tables.at(name)) {
                rows.push_back({{},
                                entry.at("key"),
                                entry.at("value"),
                                entry.at("version"),
                                entry.at("deleted")});
            }
        } catch (const nlohmann::json::exception& error) {
            log_.write(event_row_rejected, {{"reason", error.what()}});
            continue;
        }
        has_targets_ = has_targets_ || (table == platform_table::targets && !rows.empty());
        apply(table, tables_[table].apply_copied(rows));
    }
}

}  // namespace hornbeamhook::gateway
