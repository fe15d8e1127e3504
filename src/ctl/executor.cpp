#include "ctl/executor.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <set>
#include <thread>
#include <utility>

#include "ctl/credential.h"
#include "ctl/help_text.h"
#include "ctl/json_text.h"
#include "ctl/platform_rows.h"
#include "ctl/query_engine.h"
#include "ctl/report.h"
#include "ctl/time_text.h"
#include "protocol/audit_key.h"
#include "protocol/end_transaction_message.h"

namespace hornbeamhook::ctl {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

constexpr std::size_t change_id_bytes = 16;
constexpr std::size_t key_bytes = 32;
// Two sessions of one operator may start in the same millisecond; their audit rows must not meet.
constexpr std::size_t session_id_bytes = 8;
constexpr std::chrono::milliseconds wait_poll_interval{100};
constexpr std::int64_t ms_per_hour = 3'600'000;
constexpr std::int64_t ms_per_day = 24 * ms_per_hour;
constexpr std::int64_t night_begin_ms = 18 * ms_per_hour;
constexpr std::int64_t night_end_ms = 6 * ms_per_hour;
constexpr std::uint64_t max_shown_versions = 100;

leaf::error_id fail(command_failure failure, const std::string& message) {
    return leaf::new_error(command_error{failure, message, {}});
}

/** Runs `call` and turns errors of the store into command errors. */
template <class Call>
auto with_store(Call call) -> decltype(call()) {
    using result_type = decltype(call());
    return leaf::try_handle_some(
        call,
        [](const protocol::table_error& error) -> result_type {
            return fail(error.may_have_taken_effect ? command_failure::unknown
                                                    : command_failure::unavailable,
                        "the platform's store did not answer: " + error.message);
        },
        [](const protocol::protocol_error& error) -> result_type {
            return fail(command_failure::rejected, error.message);
        });
}

std::string get_pool_of(const std::string& kind, const std::string& name) {
    if (kind != "pool" && kind != "target") {
        return "*";
    }
    return name.substr(0, name.find('/'));
}

secret_source make_secret_source() {
    return {[] { return generate_credential(); }, [] { return generate_hex(key_bytes); }};
}

std::string list_rights(const json& rights, const char* right) {
    std::string list;
    for (const json& item : rights) {
        if (item[right] == true) {
            list += (list.empty() ? "" : ", ") + item["pool"].get<std::string>();
        }
    }
    return list;
}

std::string get_singular(const std::string& what) {
    return what.substr(0, what.size() - 1);
}

/** Joins rows that differ only in who reported them; keeps the order of the first ones. */
void merge_reports(std::vector<json>& rows) {
    std::map<json, std::size_t> places;
    std::vector<json> merged;
    for (json& row : rows) {
        const json reporter = std::move(row["reported_by"]);
        row.erase("reported_by");
        const auto [place, is_new] = places.emplace(row, merged.size());
        if (is_new) {
            row["reported_by"] = json::array();
            merged.push_back(std::move(row));
        }
        merged[place->second]["reported_by"].push_back(reporter);
    }
    rows = std::move(merged);
}

/** Part of the time that a report of events covers. */
struct report_span {
    std::int64_t begin_ms = 0;
    std::int64_t end_ms = 0;  ///< Exclusive.
};

leaf::result<report_span> get_report_span(const report_statement& item) {
    const std::int64_t now = get_wall_ms();
    if (item.period == "last") {
        return report_span{now - static_cast<std::int64_t>(item.hours) * ms_per_hour, now + 1};
    }
    std::optional<std::int64_t> morning = parse_day(item.date);
    if (!item.date.empty() && !morning) {
        return fail(command_failure::rejected, "\"" + item.date + "\" is not a date");
    }
    if (!morning) {
        // The night that began last: before 18:00 it is the one that ended this morning.
        const std::int64_t today = now - now % ms_per_day;
        morning = now - today >= night_begin_ms ? today + ms_per_day : today;
    }
    return report_span{*morning - ms_per_day + night_begin_ms, *morning + night_end_ms};
}

result_table make_object_table(const std::string& kind) {
    if (kind == "pool") {
        return {{"name", "default_read_policy", "queue_length", "default_deadline_ms", "version"},
                {}};
    }
    if (kind == "target") {
        return {{"name", "address", "place", "data_center", "connection_limit", "slots",
                 "is_leaving", "version"},
                {}};
    }
    if (kind == "token_key") {
        return {{"name", "version"}, {}};
    }
    return {{"name", "read", "write", "credential_hash", "version"}, {}};
}

}  // namespace

executor::executor(ctl_settings settings, bool is_dry_run)
    : settings_(std::move(settings)),
      is_dry_run_(is_dry_run),
      client_(settings_.get_dial_address(settings_.platform_address), settings_.store_timeout),
      store_(client_),
      proxies_(settings_),
      session_(static_cast<std::uint64_t>(get_wall_ms())),
      session_id_(generate_hex(session_id_bytes)) {}

void executor::read_base() {
    base_error_ = leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_ASSIGN(base_, store_.load());
            latest_ = base_;
            own_versions_.clear();
            return std::string();
        },
        [](const protocol::table_error& error) {
            return "the platform's store did not answer: " + error.message;
        },
        [](const protocol::protocol_error& error) { return error.message; },
        [] { return std::string("unexpected failure"); });
}

executor::answer_result executor::run(const statement& item) {
    statement_text_ = item.text;
    return leaf::try_handle_some(
        [&]() -> answer_result {
            try {
                return std::visit([&](const auto& body) { return execute(body); }, item.body);
            } catch (const json::exception& error) {
                return fail(command_failure::rejected,
                            std::string("a row of the store is malformed: ") + error.what());
            }
        },
        [&](command_error& error, const leaf::error_info& info) -> answer_result {
            // The error is changed in place: a new one of the same type would be overwritten by
            // this one when it is passed on.
            if (error.at == input_position{}) {
                error.at = item.at;
            }
            return info.error();
        });
}

executor::answer_result executor::execute(const help_statement& item) {
    return statement_answer{get_help(item.topic), {}, {}, false};
}

executor::answer_result executor::execute(const exit_statement& /*item*/) {
    return statement_answer{"", {}, {}, true};
}

executor::answer_result executor::execute(const show_statement& item) {
    if (item.what == "vms") {
        return show_vms();
    }
    if (item.what == "versions") {
        return show_versions();
    }
    if (item.what == "change") {
        return show_change(item.name);
    }
    if (item.what == "failovers") {
        return execute(select_statement{{}, "failovers", {}, {}, {}, {}});
    }
    if (item.what == "homes") {
        return show_homes(item.name);
    }
    if (item.what == "connections" || item.what == "sessions") {
        return show_sessions(item.what, item.name);
    }
    return show_objects(item);
}

executor::answer_result executor::show_objects(const show_statement& item) {
    BOOST_LEAF_AUTO(config, with_store([&] { return store_.load(); }));
    const std::string kind = get_singular(item.what);
    result_table table = make_object_table(kind);
    const json snapshot = state::to_json(config);
    for (const json& object : snapshot["objects"]) {
        const std::string name = object["name"];
        const bool is_shown = item.name.empty() || name == item.name ||
                              (kind == "target" && name.starts_with(item.name + "/"));
        if (object["kind"] != kind || !is_shown) {
            continue;
        }
        json row = hide_secrets(kind, object["value"]);
        row["name"] = name;
        row["version"] = object["version"];
        if (row.contains("rights")) {
            row["read"] = list_rights(row["rights"], "may_read");
            row["write"] = list_rights(row["rights"], "may_write");
        }
        table.rows.push_back(std::move(row));
    }
    statement_answer answer;
    answer.fields["configuration_version"] = config.version;
    answer.table = std::move(table);
    return answer;
}

executor::answer_result executor::show_versions() {
    BOOST_LEAF_AUTO(
        changes, with_store([&]() -> leaf::result<std::vector<state::configuration_change>> {
            BOOST_LEAF_AUTO(head, store_.get_head());
            const std::uint64_t skipped = head.version - std::min(head.version, max_shown_versions);
            return store_.get_changes(skipped, head.version);
        }));
    result_table table{{"version", "at", "author", "objects", "change_id"}, {}};
    for (const state::configuration_change& change : changes) {
        std::string objects;
        for (const state::configuration_put& put : change.puts) {
            objects += (objects.empty() ? "" : ", ") + put.kind + " " + put.name;
        }
        for (const state::configuration_delete& removed : change.deletes) {
            objects += (objects.empty() ? "" : ", ") + std::string("drop ") + removed.kind + " " +
                       removed.name;
        }
        table.rows.push_back({{"version", change.version},
                              {"at", format_time(change.at_ms)},
                              {"author", change.author},
                              {"objects", objects},
                              {"change_id", change.change_id}});
    }
    statement_answer answer;
    answer.table = std::move(table);
    return answer;
}

executor::answer_result executor::show_vms() {
    BOOST_LEAF_AUTO(vms, with_store([&] { return client_.get_vms(); }));
    const std::vector<proxy_answer> answers = proxies_.get_status(vms);
    result_table table{
        {"vm", "address", "place", "data_center", "listed", "answers", "configuration_version"},
        {}};
    for (const proxy_answer& proxy : answers) {
        const char* state = proxy.failure == proxy_failure::none      ? "yes"
                            : proxy.failure == proxy_failure::refused ? "refused"
                            : proxy.failure == proxy_failure::silent  ? "silent"
                                                                      : "invalid";
        table.rows.push_back(
            {{"vm", proxy.vm.vm},
             {"address", proxy.vm.address},
             {"place", proxy.vm.place},
             {"data_center", proxy.vm.data_center},
             {"listed", proxy.vm.is_leaving ? "leaving" : "live"},
             {"answers", state},
             {"configuration_version", get_field(proxy.body, "configuration_version")}});
    }
    statement_answer answer;
    answer.table = std::move(table);
    return answer;
}

executor::answer_result executor::show_change(const std::string& id) {
    BOOST_LEAF_AUTO(found, with_store([&] { return store_.find_change(id, 0); }));
    statement_answer answer;
    answer.fields["change_id"] = id;
    answer.fields["took_effect"] = found.has_value();
    if (found) {
        answer.fields["version"] = found->version;
        answer.text = "change " + id + " took effect in version " + std::to_string(found->version);
    } else {
        answer.text = "change " + id + " is not in the log";
    }
    return answer;
}

leaf::result<source_rows> executor::read_rows(const std::string& source) {
    if (source != "sessions" && source != "connections") {
        return with_store([&] { return read_source(client_, source); });
    }
    BOOST_LEAF_AUTO(vms, with_store([&] { return client_.get_vms(); }));
    return make_session_rows(source, proxies_.get_sessions(vms));
}

executor::answer_result executor::show_sessions(const std::string& what, const std::string& name) {
    BOOST_LEAF_AUTO(source, read_rows(what));
    filter_session_rows(source, name);
    statement_answer answer;
    answer.table = result_table{std::move(source.columns), std::move(source.rows)};
    return answer;
}

executor::answer_result executor::show_homes(const std::string& name) {
    const std::string what = "homes";
    BOOST_LEAF_AUTO(vms, with_store([&] { return client_.get_vms(); }));
    result_table table{{"name"}, {}};
    std::set<std::string> columns;
    for (const proxy_answer& proxy : proxies_.get_status(vms)) {
        const json section = get_field(proxy.body, what);
        if (!section.is_object() && !section.is_array()) {
            const std::string reason = proxy.message.empty() ? "not reported" : proxy.message;
            table.rows.push_back({{"reported_by", proxy.vm.vm}, {"name", what}, {"value", reason}});
            columns.insert("value");
            continue;
        }
        for (const auto& [key, value] : section.items()) {
            json row = value.is_object() ? value : json{{"value", value}};
            if (!name.empty() && key != name && !key.starts_with(name + "/")) {
                continue;
            }
            for (const auto& [column, cell] : row.items()) {
                columns.insert(column);
            }
            row["reported_by"] = proxy.vm.vm;
            row["name"] = section.is_object() ? json(key) : row.value("name", json(key));
            table.rows.push_back(std::move(row));
        }
    }
    columns.erase("reported_by");
    columns.erase("name");
    merge_reports(table.rows);
    table.columns.insert(table.columns.end(), columns.begin(), columns.end());
    table.columns.emplace_back("reported_by");
    statement_answer answer;
    answer.table = std::move(table);
    return answer;
}

executor::answer_result executor::execute(const create_statement& item) {
    return change(item, item.kind, item.name);
}

executor::answer_result executor::execute(const alter_statement& item) {
    return change(item, item.kind, item.name);
}

executor::answer_result executor::execute(const drop_statement& item) {
    return change(item, item.kind, item.name);
}

executor::answer_result executor::execute(const drain_statement& item) {
    return item.kind == "vm" ? drain_vm(item) : change(item, item.kind, item.name);
}

template <class Statement>
executor::answer_result executor::change(const Statement& item, const std::string& kind,
                                         const std::string& name) {
    if (!base_error_.empty()) {
        return fail(command_failure::unavailable, base_error_);
    }
    BOOST_LEAF_CHECK(authorise(kind, name));
    BOOST_LEAF_CHECK(expect_base(kind, name));
    BOOST_LEAF_AUTO(plan, plan_change(latest_, item, make_secret_source()));
    for (coordination::object_base& base : plan.draft.bases) {
        base.version = get_base_version(base.kind, base.name);
    }
    return commit(std::move(plan));
}

executor::answer_result executor::commit(planned_change plan) {
    const std::string subject = plan.kind + " " + plan.name;
    const json before = hide_secrets(plan.kind, plan.before);
    const json after = hide_secrets(plan.kind, plan.after);
    statement_answer answer;
    answer.fields["object"] = subject;
    if (is_dry_run_) {
        answer.fields["before"] = before;
        answer.fields["after"] = after;
        answer.text = "dry run, nothing changed: " + subject + "\n  before " + to_text(before) +
                      "\n  after  " + to_text(after);
        return answer;
    }
    state::configuration_change& change = plan.draft.change;
    change.change_id = generate_hex(change_id_bytes);
    change.author = settings_.operator_name;
    change.at_ms = get_wall_ms();
    json details{{"author", change.author},
                 {"change_id", change.change_id},
                 {"before", before},
                 {"after", after},
                 {"outcome", "committed"}};
    const protocol::table_write audit = make_audit_row("configuration", subject, details);
    protocol::committed_change done = store_.commit(
        latest_, plan.draft, {audit}, std::chrono::steady_clock::now() + settings_.commit_timeout);
    if (const auto* success = std::get_if<coordination::commit_succeeded>(&done.result)) {
        latest_ = std::move(done.config);
        last_version_ = success->version;
        remember_own(plan.draft, success->version);
        answer.fields["version"] = success->version;
        answer.text = subject + ": in force as of version " + std::to_string(success->version);
        if (!plan.credential.empty()) {
            answer.fields["credential"] = plan.credential;
            answer.text += "\ncredential, shown only now: " + plan.credential;
        }
        return answer;
    }
    command_error error;
    if (const auto* conflict = std::get_if<coordination::commit_conflict>(&done.result)) {
        error.failure = command_failure::conflict;
        error.message = "conflict: another change was first, nothing changed:";
        for (const coordination::object_conflict& object : conflict->conflicts) {
            error.message += " " + object.kind + " " + object.name + " is now at version " +
                             std::to_string(object.current_version) +
                             ", this change was based on " + std::to_string(object.base_version) +
                             ";";
        }
    } else if (const auto* rejected = std::get_if<coordination::commit_rejected>(&done.result)) {
        error = {command_failure::rejected, rejected->message, {}};
    } else if (const auto* down = std::get_if<coordination::commit_unavailable>(&done.result)) {
        error = {command_failure::unavailable,
                 "nothing changed, the store did not answer: " + down->message,
                 {}};
    } else if (const auto* lost = std::get_if<coordination::commit_unknown>(&done.result)) {
        error = {command_failure::unknown,
                 "the answer was lost (" + lost->message + "); see: show change '" +
                     change.change_id + "';" +
                     (plan.credential.empty() ? "" : " credential: " + plan.credential),
                 {}};
    }
    details["outcome"] = error.failure == command_failure::unknown ? "unknown" : "not made";
    details["error"] = error.failure == command_failure::unknown ? "answer lost" : error.message;
    append_audit("configuration_failed", subject, std::move(details));
    return leaf::new_error(std::move(error));
}

executor::answer_result executor::drain_vm(const drain_statement& item) {
    BOOST_LEAF_CHECK(authorise("vm", item.name));
    BOOST_LEAF_AUTO(vms, with_store([&] { return client_.get_vms(); }));
    const auto vm = std::find_if(vms.begin(), vms.end(), [&](const protocol::vm_entry& entry) {
        return entry.vm == item.name;
    });
    if (vm == vms.end()) {
        return fail(command_failure::rejected, "vm " + item.name + " is not in the VM list");
    }
    statement_answer answer;
    const char* state = item.is_drain ? "leaving" : "live";
    answer.fields["vm"] = item.name;
    answer.fields["before"] = vm->is_leaving ? "leaving" : "live";
    answer.fields["after"] = state;
    if (is_dry_run_) {
        answer.text = "dry run, nothing changed: vm " + item.name + " would be listed as " + state;
        return answer;
    }
    vm->is_leaving = item.is_drain;
    BOOST_LEAF_CHECK(with_store([&] { return client_.put_vm(*vm); }));
    append_audit(item.is_drain ? "drain" : "undrain", "vm " + item.name, answer.fields);
    answer.text = "vm " + item.name + " is listed as " + state;
    return answer;
}

executor::answer_result executor::execute(const primary_statement& item) {
    if (!base_error_.empty()) {
        return fail(command_failure::unavailable, base_error_);
    }
    BOOST_LEAF_CHECK(authorise("pool", item.pool));
    const state::pool_description* pool = latest_.find_pool(item.pool);
    if (pool == nullptr || pool->find_target(item.target) == nullptr) {
        return fail(command_failure::rejected, "target " + item.pool + "/" + item.target +
                                                   " does not exist in the configuration");
    }
    const std::string subject = "pool " + item.pool;
    if (is_dry_run_) {
        return statement_answer{
            "dry run, nothing changed: " + subject + " would be asked for primary " + item.target,
            {},
            json{{"pool", item.pool}, {"after", item.target}},
            false};
    }
    BOOST_LEAF_AUTO(vms, with_store([&] { return client_.get_vms(); }));
    std::string reasons;
    for (const protocol::vm_entry& vm : vms) {
        const proxy_answer reply = proxies_.post(
            vm, "/internal/v1/planned_change", json{{"pool", item.pool}, {"target", item.target}});
        json details{{"author", settings_.operator_name}, {"target", item.target}, {"via", vm.vm}};
        if (reply.failure == proxy_failure::none) {
            details["outcome"] = "done";
            append_audit("planned_change", subject, details);
            return statement_answer{"primary of " + item.pool + " is now " + item.target,
                                    {},
                                    std::move(details),
                                    false};
        }
        const bool may_have_run = reply.was_sent && reply.status != 403 && reply.status != 404 &&
                                  reply.status != 409 && reply.status != 503;
        if (may_have_run) {
            details["outcome"] = "unknown";
            append_audit("planned_change", subject, std::move(details));
            return fail(command_failure::unknown, "whether the primary changed is not known (" +
                                                      vm.vm + ": " + reply.message +
                                                      "); see: show failovers;");
        }
        reasons += " " + vm.vm + ": " + reply.message + ";";
        if (reply.status == 409 && get_field(reply.body, "error.code") != "not_home") {
            break;  // The home refused; another proxy would forward to it again.
        }
    }
    append_audit("planned_change", subject,
                 json{{"author", settings_.operator_name},
                      {"target", item.target},
                      {"outcome", "not made"},
                      {"error", reasons}});
    return fail(
        command_failure::unavailable,
        "the primary was not changed:" + (reasons.empty() ? " no proxy is listed" : reasons));
}

executor::answer_result executor::execute(const end_statement& item) {
    if (!base_error_.empty()) {
        return fail(command_failure::unavailable, base_error_);
    }
    const std::optional<transaction_name> transaction = parse_transaction_name(item.id);
    if (!transaction) {
        return fail(command_failure::rejected,
                    "\"" + item.id +
                        "\" is not the id of a transaction; allowed: VM/INCARNATION/NUMBER, see: "
                        "show sessions;");
    }
    BOOST_LEAF_AUTO(vms, with_store([&] { return client_.get_vms(); }));
    const std::vector<proxy_answer> answers = proxies_.get_sessions(vms);
    const auto home = std::find_if(answers.begin(), answers.end(), [&](const proxy_answer& proxy) {
        return proxy.vm.vm == transaction->vm;
    });
    if (home == answers.end()) {
        return fail(command_failure::rejected,
                    "vm " + transaction->vm + " is not in the VM list, and no proxy names it");
    }
    if (home->failure != proxy_failure::none) {
        return fail(command_failure::unavailable,
                    "nothing changed, the proxy of the transaction, " + transaction->vm +
                        ", did not answer: " + home->message);
    }
    for (const json& row : make_session_rows("sessions", {*home}).rows) {
        if (row.value("id", json()) == item.id) {
            BOOST_LEAF_CHECK(authorise("pool", row.value("pool", std::string())));
            return post_end(*home, *transaction, row);
        }
    }
    return fail(command_failure::rejected,
                "transaction " + item.id + " is not open; see: show sessions;");
}

executor::answer_result executor::post_end(const proxy_answer& home,
                                           const transaction_name& transaction, const json& was) {
    const std::string pool = was.value("pool", std::string());
    const std::string subject = "pool " + pool;
    const std::string id = was.value("id", std::string());
    json details{{"author", settings_.operator_name}, {"transaction", was}};
    if (is_dry_run_) {
        return statement_answer{
            "dry run, nothing changed: transaction " + id + " would be ended: " + to_text(was),
            {},
            std::move(details),
            false};
    }
    const proxy_answer reply = proxies_.post(
        home.vm, "/internal/v1/end_transaction",
        protocol::to_json(protocol::end_transaction_message{
            transaction.incarnation, transaction.number, pool, settings_.operator_name}));
    if (reply.failure == proxy_failure::none) {
        const std::string state = reply.body.value("state", "ending");
        details["outcome"] = state;
        append_audit("end_transaction", subject, details);
        return statement_answer{
            "transaction " + id +
                (state == "rolled_back" ? " is rolled back" : " ends after its running statement"),
            {},
            std::move(details),
            false};
    }
    const bool is_gone = reply.status == 404;  // Nothing was changed by this statement.
    const bool may_have_run =
        reply.was_sent && reply.status != 403 && reply.status != 404 && reply.status != 400;
    details["outcome"] = may_have_run ? "unknown" : "not made";
    details["error"] = reply.message;
    append_audit("end_transaction", subject, std::move(details));
    if (may_have_run) {
        return fail(command_failure::unknown, "whether transaction " + id +
                                                  " was ended is not known (" + reply.message +
                                                  "); see: show sessions;");
    }
    return fail(is_gone ? command_failure::rejected : command_failure::unavailable,
                "transaction " + id + " was not ended: " + reply.message);
}

executor::answer_result executor::execute(const wait_statement& item) {
    std::uint64_t version = item.version.value_or(last_version_);
    if (version == 0) {
        BOOST_LEAF_AUTO(head, with_store([&] { return store_.get_head(); }));
        version = head.version;
    }
    const auto begin = std::chrono::steady_clock::now();
    const auto deadline = begin + std::chrono::seconds(item.seconds);
    while (true) {
        BOOST_LEAF_AUTO(vms, with_store([&] { return client_.get_vms(); }));
        std::string behind;
        std::size_t reached = 0;
        for (const proxy_answer& proxy : proxies_.get_status(vms)) {
            if (proxy.failure == proxy_failure::refused) {
                continue;  // Not live; the VM list lags.
            }
            const json reported = get_field(proxy.body, "configuration_version");
            if (reported.is_number_unsigned() && reported.get<std::uint64_t>() >= version) {
                ++reached;
            } else {
                behind += " " + proxy.vm.vm + " (" +
                          (reported.is_null() ? proxy.message : to_text(reported)) + ")";
            }
        }
        if (behind.empty() && reached > 0) {
            const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - begin);
            return statement_answer{
                "version " + std::to_string(version) + " is in force on " +
                    std::to_string(reached) + " proxies",
                {},
                json{{"version", version}, {"proxies", reached}, {"waited_ms", waited.count()}},
                false};
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            return fail(command_failure::wait_expired,
                        "version " + std::to_string(version) + " is not in force everywhere: " +
                            (behind.empty() ? "no live proxy is listed" : "behind:" + behind));
        }
        std::this_thread::sleep_for(wait_poll_interval);
    }
}

executor::answer_result executor::execute(const select_statement& item) {
    BOOST_LEAF_AUTO(source, read_rows(item.source));
    BOOST_LEAF_AUTO(table, run_query(item, source.rows, source.columns));
    statement_answer answer;
    answer.table = std::move(table);
    return answer;
}

executor::answer_result executor::execute(const explain_statement& item) {
    BOOST_LEAF_AUTO(failovers, with_store([&] { return read_failovers(client_); }));
    const std::uint64_t number = item.number == 0 ? failovers.size() : item.number;
    if (number == 0 || number > failovers.size()) {
        return fail(command_failure::rejected, "failover " + std::to_string(number) +
                                                   " is not recorded; allowed: 1 to " +
                                                   std::to_string(failovers.size()));
    }
    const json& failover = failovers[number - 1];
    statement_answer answer;
    answer.fields = {{"pool", failover["pool"]}, {"gap_ms", failover.value("gap_ms", json())}};
    answer.text =
        "pool " + failover["pool"].get<std::string>() + ", reason " + failover.value("reason", "");
    answer.table = explain_failover(failover);
    return answer;
}

executor::answer_result executor::execute(const report_statement& item) {
    return write_report(item);
}

executor::answer_result executor::write_report(const report_statement& item) {
    report value;
    std::size_t skipped = 0;
    if (item.period == "month") {
        BOOST_LEAF_AUTO(usage, with_store([&] { return read_usage(client_, item.date, skipped); }));
        BOOST_LEAF_AUTO(
            records, with_store([&] { return read_values(client_, "failover", item.date + "/"); }));
        value = make_month_report(item.date, usage, merge_failovers(std::move(records)));
    } else {
        if (item.format == "svg") {
            return fail(command_failure::rejected,
                        "the format svg is only allowed for a month; allowed: table, csv");
        }
        BOOST_LEAF_AUTO(span, get_report_span(item));
        BOOST_LEAF_AUTO(usage, with_store([&] { return read_usage(client_, "", skipped); }));
        BOOST_LEAF_AUTO(audit, with_store([&] { return read_values(client_, "audit", ""); }));
        BOOST_LEAF_AUTO(failovers, with_store([&] { return read_failovers(client_); }));
        value = make_night_report(span.begin_ms, span.end_ms, usage, audit, failovers);
        if (item.period == "last") {
            value.title = "Last " + std::to_string(item.hours) + " hours, " + value.title;
        }
    }
    statement_answer answer;
    answer.fields = {{"title", value.title}, {"summary", value.summary}};
    answer.text = value.title + "\n" + value.summary;
    if (skipped > 0) {
        answer.fields["skipped_rows"] = skipped;
        answer.text += "\n" + std::to_string(skipped) + " malformed usage rows were skipped";
    }
    const std::string body = item.format == "svg"   ? format_svg(value)
                             : item.format == "csv" ? format_csv(value.table)
                                                    : format_table(value.table);
    if (item.file.empty()) {
        if (item.format == "csv") {
            answer.text = body;
        } else {
            answer.table = std::move(value.table);
        }
        return answer;
    }
    std::ofstream file(item.file, std::ios::binary | std::ios::trunc);
    file << body;
    file.close();
    if (!file) {
        return fail(command_failure::rejected, "file " + item.file + " cannot be written");
    }
    answer.fields["file"] = item.file;
    answer.text += "\nwritten to " + item.file;
    return answer;
}

leaf::result<void> executor::authorise(const std::string& kind, const std::string& name) {
    // Before the first operator exists, anyone who reaches the store may set the fleet up.
    if (latest_.operators.get_all().empty()) {
        return {};
    }
    const state::principal_table::name_map& operators = latest_.operators.get_all();
    const auto it = operators.find(settings_.operator_name);
    const bool is_known = it != operators.end() && !settings_.credential.empty() &&
                          it->second.credential_hash == hash_credential(settings_.credential);
    const std::string pool = get_pool_of(kind, name);
    if (is_known && it->second.is_allowed(pool, true)) {
        return {};
    }
    append_audit("access_denied", kind + " " + name, json{{"author", settings_.operator_name}});
    return fail(command_failure::denied,
                is_known ? "operator " + settings_.operator_name + " may not change " +
                               (pool == "*" ? "objects outside of pools" : "pool " + pool)
                         : "operator " + settings_.operator_name +
                               " is not known with this credential; see \"operator\" and "
                               "\"credential\" in the settings");
}

leaf::result<void> executor::expect_base(const std::string& kind, const std::string& name) {
    const std::uint64_t base = get_base_version(kind, name);
    const std::uint64_t current = coordination::get_object_version(latest_, kind, name);
    if (base == current) {
        return {};
    }
    return fail(command_failure::conflict,
                "conflict: another change was first, nothing changed: " + kind + " " + name +
                    " is now at version " + std::to_string(current) +
                    ", this change was based on " + std::to_string(base));
}

std::uint64_t executor::get_base_version(const std::string& kind, const std::string& name) const {
    const auto own = own_versions_.find(kind + "/" + name);
    return own == own_versions_.end() ? coordination::get_object_version(base_, kind, name)
                                      : own->second;
}

void executor::remember_own(const coordination::change_draft& draft, std::uint64_t version) {
    // Objects that are touched but not put were dropped, like the targets of a dropped pool.
    for (const coordination::object_base& base : draft.bases) {
        own_versions_[base.kind + "/" + base.name] = 0;
    }
    for (const state::configuration_put& put : draft.change.puts) {
        own_versions_[put.kind + "/" + put.name] = version;
    }
}

protocol::table_write executor::make_audit_row(const std::string& kind, const std::string& subject,
                                               json details) {
    const std::string vm = "operator:" + settings_.operator_name;
    const std::uint64_t sequence = ++sequence_;
    return {"audit", protocol::make_audit_key(vm + ":" + session_id_, session_, sequence),
            json{{"vm", vm},
                 {"incarnation", session_},
                 {"sequence", sequence},
                 {"at_ms", get_wall_ms()},
                 {"kind", kind},
                 {"subject", subject},
                 {"reason", statement_text_},
                 {"details", std::move(details)}}};
}

void executor::append_audit(const std::string& kind, const std::string& subject, json details) {
    const protocol::table_write row = make_audit_row(kind, subject, std::move(details));
    // The effect has taken place or not; a missing audit row shows as a gap in its numbers.
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_CHECK(client_.commit({}, {row}));
            return {};
        },
        [] {});
}

}  // namespace hornbeamhook::ctl
