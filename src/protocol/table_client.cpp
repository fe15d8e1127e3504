#include "protocol/table_client.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "state/json_reader.h"
#include "transport/transport_error.h"

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;
using nlohmann::json;
using state::json_reader;
using transport::http_call;
using transport::http_response;

namespace {

constexpr std::int64_t max_counter = std::numeric_limits<std::int64_t>::max();
constexpr std::chrono::milliseconds max_connect_timeout{500};
constexpr int status_ok = 200;
constexpr int status_absent = 404;
constexpr int status_rejected = 400;
constexpr int status_unavailable = 503;

std::string encode_percent(const std::string& text) {
    static const char* const digits = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool is_plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                              (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' ||
                              c == '~';
        if (is_plain) {
            result += c;
        } else {
            result += '%';
            result += digits[byte >> 4U];
            result += digits[byte & 15U];
        }
    }
    return result;
}

/** JSON text; bytes that are not UTF-8 are replaced, because the platform rejects them. */
std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/** Performs the exchange; answers other than 200 (and 404 for reads) are table errors. */
leaf::result<http_response> exchange(transport::http_client& http, const http_call& call) {
    const bool is_write = call.method != "GET";
    return leaf::try_handle_some(
        [&]() -> leaf::result<http_response> {
            BOOST_LEAF_AUTO(response, http.call(call));
            if (response.status == status_ok || (!is_write && response.status == status_absent)) {
                return response;
            }
            const bool is_refused = response.status == status_unavailable ||
                                    response.status == status_rejected ||
                                    response.status == status_absent;
            return leaf::new_error(
                table_error{is_write && !is_refused,
                            "status " + std::to_string(response.status) + ": " + response.body});
        },
        [&](const transport::transport_error& error) -> leaf::result<http_response> {
            return leaf::new_error(table_error{is_write && error.was_sent, error.message});
        });
}

/** Runs `parse` on the body; a malformed answer leaves the effect of a write unknown. */
template <class T, class Parse>
leaf::result<T> parse_answer(const http_response& response, bool is_write, Parse parse) {
    return leaf::try_handle_some(
        [&]() -> leaf::result<T> {
            BOOST_LEAF_AUTO(object, state::parse_json(response.body, "answer"));
            return parse(object);
        },
        [&](const state::state_error& error) -> leaf::result<T> {
            return leaf::new_error(table_error{is_write, error.message});
        });
}

leaf::result<table_row> parse_row(const json& object) {
    json_reader reader(object, "row");
    table_row row;
    row.key = reader.get_string("key");
    row.version = reader.get_integer("version", 0, max_counter);
    if (reader.has("value")) {
        row.value = object["value"];
    }
    BOOST_LEAF_CHECK(reader.finish());
    return row;
}

leaf::result<std::vector<table_row>> parse_rows(const json& object) {
    json_reader reader(object, "answer");
    const json* items = reader.get_array("rows");
    BOOST_LEAF_CHECK(reader.finish());
    std::vector<table_row> rows;
    for (const json& item : *items) {
        BOOST_LEAF_AUTO(row, parse_row(item));
        rows.push_back(std::move(row));
    }
    return rows;
}

leaf::result<std::vector<vm_entry>> parse_vms(const json& object) {
    json_reader reader(object, "answer");
    const json* items = reader.get_array("vms");
    BOOST_LEAF_CHECK(reader.finish());
    std::vector<vm_entry> list;
    for (const json& item : *items) {
        json_reader entry_reader(item, "vm");
        vm_entry entry;
        entry.vm = entry_reader.get_string("vm");
        entry.address = entry_reader.get_string("address");
        entry.place = entry_reader.get_string("place");
        entry.data_center = entry_reader.get_string("data_center");
        entry.is_leaving = entry_reader.get_choice("state", {"live", "leaving"}) == "leaving";
        BOOST_LEAF_CHECK(entry_reader.finish());
        list.push_back(std::move(entry));
    }
    return list;
}

}  // namespace

table_client::table_client(std::string address, std::chrono::milliseconds timeout)
    : address_(std::move(address)), timeout_(timeout) {}

namespace {

http_call make_call(const std::string& address, std::chrono::milliseconds timeout,
                    std::string method, std::string target, std::string body = "") {
    http_call call;
    call.method = std::move(method);
    call.address = address;
    call.target = std::move(target);
    call.body = std::move(body);
    call.timeout = timeout;
    call.connect_timeout = std::min(timeout, max_connect_timeout);
    return call;
}

}  // namespace

leaf::result<std::optional<table_row>> table_client::get_row(const std::string& table,
                                                             const std::string& key) {
    BOOST_LEAF_AUTO(response, exchange(http_, make_call(address_, timeout_, "GET",
                                                        "/v1/table/" + encode_percent(table) + "/" +
                                                            encode_percent(key))));
    if (response.status == status_absent) {
        return std::optional<table_row>();
    }
    BOOST_LEAF_AUTO(row, parse_answer<table_row>(response, false, parse_row));
    return std::optional(std::move(row));
}

leaf::result<std::vector<table_row>> table_client::get_rows(const std::string& table,
                                                            const std::string& prefix,
                                                            const std::string& after, int limit) {
    BOOST_LEAF_AUTO(response, exchange(http_, make_call(address_, timeout_, "GET",
                                                        "/v1/table/" + encode_percent(table) +
                                                            "?prefix=" + encode_percent(prefix) +
                                                            "&after=" + encode_percent(after) +
                                                            "&limit=" + std::to_string(limit))));
    return parse_answer<std::vector<table_row>>(response, false, parse_rows);
}

leaf::result<bool> table_client::commit(const std::vector<table_condition>& conditions,
                                        const std::vector<table_write>& writes) {
    BOOST_LEAF_AUTO(version, commit_rows(conditions, writes));
    return version.has_value();
}

leaf::result<std::optional<std::uint64_t>> table_client::commit_rows(
    const std::vector<table_condition>& conditions, const std::vector<table_write>& writes) {
    using row_version = std::optional<std::uint64_t>;
    json body{{"conditions", json::array()}, {"puts", json::array()}, {"deletes", json::array()}};
    for (const table_condition& condition : conditions) {
        json item{{"table", condition.table}, {"key", condition.key}};
        if (condition.version) {
            item["version"] = *condition.version;
        } else {
            item["absent"] = true;
        }
        body["conditions"].push_back(std::move(item));
    }
    for (const table_write& write : writes) {
        json item{{"table", write.table}, {"key", write.key}};
        if (write.value) {
            item["value"] = *write.value;
        }
        body[write.value ? "puts" : "deletes"].push_back(std::move(item));
    }
    BOOST_LEAF_AUTO(response, exchange(http_, make_call(address_, timeout_, "POST",
                                                        "/v1/table/transaction", dump(body))));
    return parse_answer<row_version>(
        response, true, [](const json& object) -> leaf::result<row_version> {
            json_reader reader(object, "answer");
            const bool is_committed = reader.get_boolean("committed");
            const std::uint64_t version = reader.get_integer("version", 0, max_counter);
            BOOST_LEAF_CHECK(reader.finish());
            return is_committed ? row_version(version) : row_version();
        });
}

leaf::result<void> table_client::put_object(const std::string& name, const std::string& body) {
    BOOST_LEAF_CHECK(exchange(
        http_, make_call(address_, timeout_, "PUT", "/v1/objects/" + encode_percent(name), body)));
    return {};
}

leaf::result<std::optional<std::string>> table_client::get_object(const std::string& name) {
    BOOST_LEAF_AUTO(response, exchange(http_, make_call(address_, timeout_, "GET",
                                                        "/v1/objects/" + encode_percent(name))));
    if (response.status == status_absent) {
        return std::optional<std::string>();
    }
    return std::optional(std::move(response.body));
}

leaf::result<std::vector<vm_entry>> table_client::get_vms() {
    BOOST_LEAF_AUTO(response, exchange(http_, make_call(address_, timeout_, "GET", "/v1/vms")));
    return parse_answer<std::vector<vm_entry>>(response, false, parse_vms);
}

leaf::result<void> table_client::put_vm(const vm_entry& entry) {
    const json body{{"vm", entry.vm},
                    {"address", entry.address},
                    {"place", entry.place},
                    {"data_center", entry.data_center},
                    {"state", entry.is_leaving ? "leaving" : "live"}};
    BOOST_LEAF_CHECK(exchange(http_, make_call(address_, timeout_, "POST", "/v1/vms", dump(body))));
    return {};
}

}  // namespace hornbeamhook::protocol
