#include "standin/platform/platform_service.h"

#include <atomic>
#include <charconv>
#include <cstdlib>
#include <utility>

#include "standin/platform/answer_delayer.h"
#include "standin/platform/fault_plan.h"
#include "standin/platform/table_store.h"
#include "standin/platform/vm_list.h"
#include "state/json_reader.h"
#include "transport/http_server.h"
#include "transport/log_event.h"

namespace hornbeamhook::standin::platform {

namespace leaf = boost::leaf;
using nlohmann::json;
using state::json_reader;
using state::state_error;
using transport::http_request;
using transport::http_responder;
using transport::http_response;

namespace {

constexpr transport::event_type service_started{5000, "platform_started"};
constexpr transport::event_type faults_changed{5001, "platform_faults_changed"};
constexpr transport::event_type answer_lost{5002, "platform_answer_lost"};
constexpr transport::event_type request_rejected{5003, "platform_request_rejected",
                                                 transport::event_severity::warning};

constexpr std::size_t max_body_bytes = std::size_t{64} << 20U;
constexpr std::size_t default_row_limit = 1'000;
constexpr std::size_t max_row_limit = 10'000;
constexpr std::int64_t max_version = std::numeric_limits<std::int64_t>::max();
constexpr std::string_view table_path = "/v1/table/";
constexpr std::string_view object_path = "/v1/objects/";
// Lost answers to object and VM writes are selected by these names instead of a table's.
constexpr const char* objects_table = "objects";
constexpr const char* vms_table = "vms";

/** Decodes %XX in a path; empty when an escape is malformed. */
std::optional<std::string> decode_path(std::string_view text) {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            result += text[i];
            continue;
        }
        unsigned value = 0;
        const char* begin = text.data() + i + 1;
        if (i + 2 >= text.size() || std::from_chars(begin, begin + 2, value, 16).ptr != begin + 2) {
            return std::nullopt;
        }
        result += static_cast<char>(value);
        i += 2;
    }
    return result;
}

http_response make_error(int status, const std::string& message) {
    return {status, json{{"error", message}}.dump()};
}

http_response make_answer(const json& body) {
    return {200, body.dump()};
}

/** A parsed body of POST /v1/table/transaction. */
struct transaction {
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

leaf::result<std::vector<row_condition>> parse_conditions(const json& items) {
    std::vector<row_condition> conditions;
    for (std::size_t i = 0; i < items.size(); ++i) {
        json_reader reader(items[i], "conditions[" + std::to_string(i) + "]");
        row_condition condition;
        condition.table = reader.get_string("table");
        condition.key = reader.get_string("key");
        const bool is_absent = reader.get_boolean("absent", false);
        if (reader.has("version")) {
            condition.version = reader.get_integer("version", 0, max_version);
        }
        if (is_absent == condition.version.has_value()) {
            reader.fail("absent", "exactly one of \"absent\":true and \"version\" is allowed");
        }
        BOOST_LEAF_CHECK(reader.finish());
        conditions.push_back(std::move(condition));
    }
    return conditions;
}

leaf::result<void> parse_writes(const json& items, bool is_put, std::vector<row_write>& writes) {
    for (std::size_t i = 0; i < items.size(); ++i) {
        json_reader reader(items[i], (is_put ? "puts[" : "deletes[") + std::to_string(i) + "]");
        row_write write;
        write.table = reader.get_string("table");
        write.key = reader.get_string("key");
        if (is_put) {
            if (!reader.has("value")) {
                reader.fail("value", "missing; allowed: any JSON value except null");
            } else {
                write.value = items[i]["value"];
            }
        }
        if (write.table.empty() || write.key.empty()) {
            reader.fail("key", "table and key must not be empty");
        }
        BOOST_LEAF_CHECK(reader.finish());
        writes.push_back(std::move(write));
    }
    return {};
}

leaf::result<transaction> parse_transaction(const std::string& body) {
    BOOST_LEAF_AUTO(object, state::parse_json(body, "transaction"));
    json_reader reader(object, "transaction");
    const json* conditions = reader.get_array("conditions", false);
    const json* puts = reader.get_array("puts", false);
    const json* deletes = reader.get_array("deletes", false);
    BOOST_LEAF_CHECK(reader.finish());
    transaction result;
    if (conditions != nullptr) {
        BOOST_LEAF_ASSIGN(result.conditions, parse_conditions(*conditions));
    }
    if (puts != nullptr) {
        BOOST_LEAF_CHECK(parse_writes(*puts, true, result.writes));
    }
    if (deletes != nullptr) {
        BOOST_LEAF_CHECK(parse_writes(*deletes, false, result.writes));
    }
    return result;
}

leaf::result<listed_vm> parse_vm(const std::string& body) {
    BOOST_LEAF_AUTO(object, state::parse_json(body, "vm"));
    json_reader reader(object, "vm");
    listed_vm entry;
    entry.vm = reader.get_string("vm");
    entry.address = reader.get_string("address", "");
    entry.place = reader.get_string("place", "");
    entry.data_center = reader.get_string("data_center", "");
    const std::string state = reader.get_choice("state", {"live", "leaving", "gone"}, "live");
    entry.state = state == "live"      ? vm_state::live
                  : state == "leaving" ? vm_state::leaving
                                       : vm_state::gone;
    if (entry.vm.empty()) {
        reader.fail("vm", "\"\" is not allowed; allowed: a string that is not empty");
    }
    BOOST_LEAF_CHECK(reader.finish());
    return entry;
}

/** Handles the result of a parse; `use` gets the value. */
template <class T, class Use>
http_response answer_parsed(leaf::result<T> (*parse)(const std::string&), const std::string& body,
                            Use use) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<http_response> {
            BOOST_LEAF_AUTO(value, parse(body));
            return use(std::move(value));
        },
        [](const state_error& error) { return make_error(400, error.message); },
        [] { return make_error(500, "unexpected failure"); });
}

json to_json(const std::map<std::string, table_counters>& counters) {
    json result = json::object();
    for (const auto& [table, values] : counters) {
        result[table] = {{"reads", values.reads},
                         {"rows_read", values.rows_read},
                         {"writes", values.writes},
                         {"conflicts", values.conflicts}};
    }
    return result;
}

}  // namespace

struct platform_service::implementation {
    explicit implementation(const platform_settings& value)
        : settings(value),
          faults({.latency = value.latency, .vm_list_lag = value.vm_list_lag, .seed = value.seed}) {
    }

    platform_settings settings;
    table_store tables;
    vm_list vms;
    fault_plan faults;
    std::mutex objects_mutex;
    std::map<std::string, std::string> objects;
    std::atomic<std::uint64_t> requests = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<std::uint64_t> lost = 0;
    answer_delayer delayer;
    std::unique_ptr<transport::http_server> server;

    void handle(const http_request& request, const http_responder& respond);
    http_response serve(const http_request& request);
    std::string get_written_table(const http_request& request);
    http_response commit(const http_request& request);
    http_response read_table(const http_request& request);
    http_response serve_object(const http_request& request);
    http_response serve_vms(const http_request& request);
    http_response update_faults(const http_request& request);
    http_response get_status();
};

platform_service::platform_service(const platform_settings& settings)
    : implementation_(std::make_unique<implementation>(settings)) {}

platform_service::~platform_service() {
    stop();
}

void platform_service::start() {
    implementation& self = *implementation_;
    self.server = std::make_unique<transport::http_server>(
        transport::http_server_options{.address = self.settings.listen_address,
                                       .threads = self.settings.threads,
                                       .max_request_bytes = max_body_bytes},
        [&self](const http_request& request, const http_responder& respond) {
            self.handle(request, respond);
        });
    self.server->start();
    transport::log_event(service_started, {{"address", self.settings.listen_address},
                                           {"seed", std::to_string(self.settings.seed)}});
}

void platform_service::stop() {
    if (implementation_->server) {
        implementation_->server->stop();
        implementation_->server.reset();
    }
}

void platform_service::implementation::handle(const http_request& request,
                                              const http_responder& respond) {
    if (request.path == "/control/faults" && request.method == "POST") {
        respond(update_faults(request));
        return;
    }
    if (request.path == "/control/status") {
        respond(get_status());
        return;
    }
    ++requests;
    const fault_decision decision = faults.decide(get_written_table(request));
    if (decision.outage == outage_kind::refuse) {
        ++refused;
        respond(make_error(503, "the service is down"));
        return;
    }
    if (decision.outage == outage_kind::hang) {
        ++refused;
        return;
    }
    http_response response = serve(request);
    if (response.status == 400) {
        transport::log_event(request_rejected, {{"path", request.path}, {"answer", response.body}});
    }
    if (decision.is_answer_lost) {
        ++lost;
        transport::log_event(answer_lost, {{"path", request.path}});
        return;
    }
    if (decision.latency.count() == 0) {
        respond(std::move(response));
        return;
    }
    delayer.run_after(decision.latency,
                      [respond, response = std::move(response)] { respond(response); });
}

std::string platform_service::implementation::get_written_table(const http_request& request) {
    if (request.path == "/v1/vms") {
        return request.method == "POST" ? vms_table : "";
    }
    if (request.path.starts_with(object_path)) {
        return request.method == "PUT" ? objects_table : "";
    }
    if (request.method != "POST" || request.path != "/v1/table/transaction") {
        return "";
    }
    // The table of the first put stands for the whole transaction.
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_AUTO(parsed, parse_transaction(request.body));
            return parsed.writes.empty() ? std::string() : parsed.writes.front().table;
        },
        [] { return std::string(); });
}

http_response platform_service::implementation::serve(const http_request& request) {
    if (request.path == "/v1/table/transaction") {
        return request.method == "POST" ? commit(request) : make_error(405, "use POST");
    }
    if (request.path.starts_with(table_path)) {
        return request.method == "GET" ? read_table(request) : make_error(405, "use GET");
    }
    if (request.path.starts_with(object_path)) {
        return serve_object(request);
    }
    if (request.path == "/v1/vms") {
        return serve_vms(request);
    }
    return make_error(404, "unknown path " + request.path);
}

http_response platform_service::implementation::commit(const http_request& request) {
    return answer_parsed(&parse_transaction, request.body, [&](transaction parsed) {
        const transaction_result result = tables.commit(parsed.conditions, parsed.writes);
        return make_answer({{"committed", result.is_committed}, {"version", result.version}});
    });
}

http_response platform_service::implementation::read_table(const http_request& request) {
    const std::string_view rest = std::string_view(request.path).substr(table_path.size());
    const std::size_t slash = rest.find('/');
    const std::optional<std::string> table = decode_path(rest.substr(0, slash));
    if (!table || table->empty()) {
        return make_error(400, "malformed table name");
    }
    if (slash != std::string_view::npos) {
        const std::optional<std::string> key = decode_path(rest.substr(slash + 1));
        if (!key || key->empty()) {
            return make_error(400, "malformed key");
        }
        const std::optional<stored_row> row = tables.get_row(*table, *key);
        if (!row) {
            return make_error(404, "no such row");
        }
        return make_answer({{"key", *key}, {"version", row->version}, {"value", row->value}});
    }
    const auto parameter = [&](const char* name) {
        const auto it = request.query.find(name);
        return it == request.query.end() ? std::string() : it->second;
    };
    std::size_t limit = default_row_limit;
    const std::string limit_text = parameter("limit");
    const char* end = limit_text.data() + limit_text.size();
    if (!limit_text.empty()) {
        const auto [stopped, error] = std::from_chars(limit_text.data(), end, limit);
        if (error != std::errc() || stopped != end || limit == 0 || limit > max_row_limit) {
            return make_error(400, "limit: \"" + limit_text +
                                       "\" is not allowed; allowed: an integer from 1 to " +
                                       std::to_string(max_row_limit));
        }
    }
    json rows = json::array();
    for (const auto& [key, row] :
         tables.get_rows(*table, parameter("prefix"), parameter("after"), limit)) {
        rows.push_back({{"key", key}, {"version", row.version}, {"value", row.value}});
    }
    return make_answer({{"rows", std::move(rows)}});
}

http_response platform_service::implementation::serve_object(const http_request& request) {
    const std::optional<std::string> name =
        decode_path(std::string_view(request.path).substr(object_path.size()));
    if (!name || name->empty()) {
        return make_error(400, "malformed object name");
    }
    const std::scoped_lock lock(objects_mutex);
    if (request.method == "PUT") {
        objects[*name] = request.body;
        return make_answer({{"stored", true}});
    }
    const auto object = objects.find(*name);
    if (object == objects.end()) {
        return make_error(404, "no such object");
    }
    return {200, object->second, "application/octet-stream"};
}

http_response platform_service::implementation::serve_vms(const http_request& request) {
    const auto now = std::chrono::steady_clock::now();
    if (request.method == "POST") {
        return answer_parsed(&parse_vm, request.body, [&](listed_vm entry) {
            vms.put(std::move(entry), now);
            return make_answer({{"registered", true}});
        });
    }
    json list = json::array();
    for (const listed_vm& entry : vms.get_list(now, faults.get_settings().vm_list_lag)) {
        list.push_back({{"vm", entry.vm},
                        {"address", entry.address},
                        {"place", entry.place},
                        {"data_center", entry.data_center},
                        {"state", entry.state == vm_state::leaving ? "leaving" : "live"}});
    }
    return make_answer({{"vms", std::move(list)}});
}

http_response platform_service::implementation::update_faults(const http_request& request) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<http_response> {
            BOOST_LEAF_AUTO(object, state::parse_json(request.body, "faults"));
            BOOST_LEAF_CHECK(faults.update(object));
            const json current = platform::to_json(faults.get_settings());
            transport::log_event(faults_changed, {{"faults", current.dump()}});
            return make_answer(current);
        },
        [](const state_error& error) { return make_error(400, error.message); },
        [] { return make_error(500, "unexpected failure"); });
}

http_response platform_service::implementation::get_status() {
    return make_answer({{"requests", requests.load()},
                        {"refused", refused.load()},
                        {"lost_answers", lost.load()},
                        {"tables", to_json(tables.get_counters())},
                        {"faults", platform::to_json(faults.get_settings())}});
}

}  // namespace hornbeamhook::standin::platform
