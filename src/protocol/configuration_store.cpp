#include "protocol/configuration_store.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <thread>
#include <utility>

#include "state/json_reader.h"
#include "transport/log_event.h"

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;
using coordination::commit_event;
using coordination::commit_step;
using nlohmann::json;
using state::configuration;
using state::configuration_change;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr transport::event_type snapshot_unusable{3000, "configuration_snapshot_unusable",
                                                  transport::event_severity::warning};
constexpr transport::event_type snapshot_written{3001, "configuration_snapshot_written"};
constexpr transport::event_type snapshot_failed{3002, "configuration_snapshot_failed",
                                                transport::event_severity::warning};

constexpr const char* config_table = "config";
constexpr const char* change_table = "config_change";
constexpr const char* head_key = "head";
constexpr const char* snapshot_key = "snapshot";
constexpr std::int64_t max_counter = std::numeric_limits<std::int64_t>::max();
constexpr int page_size = 500;
constexpr std::uint64_t changes_per_snapshot = 100;
// Racing operators and a failing store are retried after a random pause, so that they spread out.
constexpr int min_pause_ms = 20;
constexpr int max_pause_ms = 150;

std::string get_change_key(std::uint64_t version) {
    std::string digits = std::to_string(version);
    constexpr std::size_t width = 12;
    return digits.size() < width ? std::string(width - digits.size(), '0') + digits : digits;
}

void pause() {
    thread_local std::minstd_rand random{std::random_device{}()};
    std::this_thread::sleep_for(
        milliseconds(std::uniform_int_distribution<int>(min_pause_ms, max_pause_ms)(random)));
}

/** Turns a state_error of `call` into a protocol_error. */
template <class T, class Call>
leaf::result<T> translate(const std::string& what, Call call) {
    return leaf::try_handle_some(call, [&](const state::state_error& error) -> leaf::result<T> {
        return leaf::new_error(protocol_error{what + ": " + error.message});
    });
}

leaf::result<std::uint64_t> parse_head(const json& value) {
    state::json_reader reader(value, "head");
    const std::uint64_t version = reader.get_integer("version", 0, max_counter);
    reader.get_string("change_id");
    BOOST_LEAF_CHECK(reader.finish());
    return version;
}

/** The pointer row to the newest snapshot. */
struct snapshot_pointer {
    std::uint64_t version = 0;
    std::string object;
};

leaf::result<snapshot_pointer> parse_pointer(const json& value) {
    state::json_reader reader(value, "snapshot");
    snapshot_pointer pointer;
    pointer.version = reader.get_integer("version", 0, max_counter);
    pointer.object = reader.get_string("object");
    BOOST_LEAF_CHECK(reader.finish());
    return pointer;
}

}  // namespace

configuration_store::configuration_store(table_client& client) : client_(client) {}

leaf::result<configuration_head> configuration_store::get_head() {
    BOOST_LEAF_AUTO(row, client_.get_row(config_table, head_key));
    if (!row) {
        return configuration_head{};
    }
    return translate<configuration_head>("row config/head",
                                         [&]() -> leaf::result<configuration_head> {
                                             BOOST_LEAF_AUTO(version, parse_head(row->value));
                                             return configuration_head{version, row->version};
                                         });
}

leaf::result<std::vector<configuration_change>> configuration_store::get_changes(
    std::uint64_t after, std::uint64_t head) {
    std::vector<configuration_change> changes;
    while (after < head) {
        const int limit = static_cast<int>(std::min<std::uint64_t>(page_size, head - after));
        BOOST_LEAF_AUTO(rows, client_.get_rows(change_table, "", get_change_key(after), limit));
        if (rows.empty()) {
            return leaf::new_error(protocol_error{"change " + std::to_string(after + 1) +
                                                  " is missing below the head " +
                                                  std::to_string(head)});
        }
        for (const table_row& row : rows) {
            BOOST_LEAF_AUTO(change,
                            translate<configuration_change>("row config_change/" + row.key, [&] {
                                return state::parse_configuration_change(row.value);
                            }));
            if (change.version != after + 1 || row.key != get_change_key(change.version)) {
                return leaf::new_error(protocol_error{"change " + std::to_string(after + 1) +
                                                      " is missing; the next row is " + row.key});
            }
            after = change.version;
            changes.push_back(std::move(change));
        }
    }
    return changes;
}

leaf::result<configuration> configuration_store::get_snapshot() {
    BOOST_LEAF_AUTO(row, client_.get_row(config_table, snapshot_key));
    if (!row) {
        return configuration();
    }
    // A snapshot only saves reading; without it the whole log is read.
    const auto ignore = [](const std::string& message) -> leaf::result<configuration> {
        transport::log_event(snapshot_unusable, {{"error", message}});
        return configuration();
    };
    return leaf::try_handle_some(
        [&]() -> leaf::result<configuration> {
            BOOST_LEAF_AUTO(pointer, parse_pointer(row->value));
            BOOST_LEAF_AUTO(body, client_.get_object(pointer.object));
            if (!body) {
                return ignore("object " + pointer.object + " is absent");
            }
            BOOST_LEAF_AUTO(object, state::parse_json(*body, pointer.object));
            BOOST_LEAF_AUTO(config, state::parse_configuration(object));
            if (config.version != pointer.version) {
                return ignore("object " + pointer.object + " has another version");
            }
            return config;
        },
        [&](const state::state_error& error) { return ignore(error.message); });
}

leaf::result<configuration> configuration_store::load() {
    BOOST_LEAF_AUTO(config, get_snapshot());
    BOOST_LEAF_AUTO(head, get_head());
    BOOST_LEAF_AUTO(changes, get_changes(config.version, head.version));
    coordination::adoption_result read = coordination::adopt_changes(config, changes);
    if (!read.error.empty()) {
        return leaf::new_error(protocol_error{"change " + std::to_string(read.config.version + 1) +
                                              ": " + read.error});
    }
    return std::move(read.config);
}

commit_event configuration_store::read_log(const coordination::read_log& action) {
    if (action.after_failure) {
        pause();
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<commit_event> {
            BOOST_LEAF_AUTO(head, get_head());
            BOOST_LEAF_AUTO(changes, get_changes(action.after, head.version));
            return commit_event(coordination::log_read_completed{head.version, head.row_version,
                                                                 std::move(changes)});
        },
        [](const table_error& error) {
            return commit_event(coordination::log_read_failed{error.message});
        },
        [](const protocol_error& error) {
            return commit_event(coordination::log_read_failed{error.message});
        },
        [] { return commit_event(coordination::log_read_failed{"unexpected failure"}); });
}

commit_event configuration_store::send_commit(const coordination::send_commit& action,
                                              const std::vector<table_write>& audit) {
    const configuration_change& change = action.change;
    std::vector<table_write> writes{
        {config_table, head_key,
         json{{"version", change.version}, {"change_id", change.change_id}}},
        {change_table, get_change_key(change.version), state::to_json(change)}};
    for (table_write write : audit) {
        if (write.value) {
            (*write.value)["version"] = change.version;
        }
        writes.push_back(std::move(write));
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<commit_event> {
            BOOST_LEAF_AUTO(is_committed,
                            client_.commit({{config_table, head_key, action.head_row_version},
                                            {change_table, get_change_key(change.version), {}}},
                                           writes));
            return commit_event(coordination::commit_answered{is_committed, change.version});
        },
        [&](const table_error& error) {
            return commit_event(coordination::commit_call_failed{error.may_have_taken_effect,
                                                                 change.version, error.message});
        },
        [&] {
            return commit_event(
                coordination::commit_call_failed{true, change.version, "unexpected failure"});
        });
}

committed_change configuration_store::commit(const configuration& current,
                                             const coordination::change_draft& draft,
                                             const std::vector<table_write>& audit,
                                             steady_clock::time_point deadline) {
    commit_step step = coordination::begin_commit(current, draft);
    while (!step.state.result) {
        if (steady_clock::now() >= deadline) {
            step = coordination::advance_commit(std::move(step.state),
                                                coordination::commit_deadline_passed{});
            continue;
        }
        commit_event event = coordination::commit_deadline_passed{};
        if (const auto* read = std::get_if<coordination::read_log>(&step.action)) {
            event = read_log(*read);
        } else if (const auto* send = std::get_if<coordination::send_commit>(&step.action)) {
            event = send_commit(*send, audit);
        }
        step = coordination::advance_commit(std::move(step.state), event);
    }
    if (std::holds_alternative<coordination::commit_succeeded>(*step.state.result)) {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> { return write_snapshot_if_due(step.state.current); },
            [](const table_error& error) {
                transport::log_event(snapshot_failed, {{"error", error.message}});
            },
            [](const protocol_error& error) {
                transport::log_event(snapshot_failed, {{"error", error.message}});
            },
            [] {
                transport::log_event(snapshot_failed, {{"error", "unexpected failure"}});
            });
    }
    return {std::move(*step.state.result), std::move(step.state.current)};
}

leaf::result<std::optional<configuration_change>> configuration_store::find_change(
    const std::string& change_id, std::uint64_t after) {
    BOOST_LEAF_AUTO(head, get_head());
    BOOST_LEAF_AUTO(changes, get_changes(std::min(after, head.version), head.version));
    for (configuration_change& change : changes) {
        if (change.change_id == change_id) {
            return std::optional(std::move(change));
        }
    }
    return std::optional<configuration_change>();
}

leaf::result<void> configuration_store::write_snapshot_if_due(const configuration& config) {
    if (config.version < changes_per_snapshot) {
        return {};
    }
    BOOST_LEAF_AUTO(row, client_.get_row(config_table, snapshot_key));
    if (row) {
        BOOST_LEAF_AUTO(pointer, translate<snapshot_pointer>("row config/snapshot", [&] {
                            return parse_pointer(row->value);
                        }));
        if (config.version < pointer.version + changes_per_snapshot) {
            return {};
        }
    }
    const std::string object = "configuration/" + get_change_key(config.version);
    BOOST_LEAF_CHECK(client_.put_object(object, state::to_json(config).dump()));
    // The condition keeps a slower writer from pointing back to an older snapshot.
    std::optional<std::uint64_t> row_version;
    if (row) {
        row_version = row->version;
    }
    BOOST_LEAF_AUTO(is_committed,
                    client_.commit({{config_table, snapshot_key, row_version}},
                                   {{config_table, snapshot_key,
                                     json{{"version", config.version}, {"object", object}}}}));
    if (is_committed) {
        transport::log_event(snapshot_written, {{"version", std::to_string(config.version)}});
    }
    return {};
}

}  // namespace hornbeamhook::protocol
