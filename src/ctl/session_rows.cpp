#include "ctl/session_rows.h"

#include <algorithm>
#include <charconv>
#include <tuple>

namespace hornbeamhook::ctl {

using nlohmann::json;

namespace {

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stopped, error] = std::from_chars(text.data(), end, value);
    return error == std::errc() && stopped == end ? std::optional(value) : std::nullopt;
}

std::string get_text(const json& row, const char* field) {
    const auto it = row.find(field);
    return it != row.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/** Appends the objects of a list as rows; false when there is no such list. */
bool add_rows(const proxy_answer& proxy, const char* list, const char* kind,
              std::vector<json>& rows) {
    const auto it = proxy.body.find(list);
    if (it == proxy.body.end() || !it->is_array()) {
        return false;
    }
    for (const json& item : *it) {
        if (!item.is_object()) {
            return false;
        }
        json row = item;
        row["vm"] = proxy.vm.vm;
        if (kind != nullptr) {
            row["access"] = row.value("kind", json());
            row["kind"] = kind;
        }
        rows.push_back(std::move(row));
    }
    return true;
}

bool add_answer(const std::string& source, const proxy_answer& proxy, std::vector<json>& rows) {
    if (proxy.failure != proxy_failure::none) {
        return false;
    }
    if (source == "connections") {
        return add_rows(proxy, "connections", nullptr, rows);
    }
    return add_rows(proxy, "transactions", "transaction", rows) &&
           add_rows(proxy, "callers", "caller", rows);
}

std::string explain(const proxy_answer& proxy) {
    switch (proxy.failure) {
        case proxy_failure::none:
            return "not reported";
        case proxy_failure::refused:
            return "not reachable, nobody listens: " + proxy.message;
        case proxy_failure::silent:
            return "not reachable: " + proxy.message;
        case proxy_failure::invalid:
            break;
    }
    return "no usable answer: " + proxy.message;
}

std::tuple<bool, std::string, std::string, std::string, std::string, std::string> get_order(
    const json& row) {
    // "transaction" sorts after "caller", but an operator looks for transactions first.
    return {row.contains("note"),    get_text(row, "kind") == "caller" ? "2" : "1",
            get_text(row, "pool"),   get_text(row, "target"),
            get_text(row, "caller"), get_text(row, "vm")};
}

}  // namespace

std::optional<transaction_name> parse_transaction_name(const std::string& id) {
    const std::size_t last = id.rfind('/');
    if (last == std::string::npos || last == 0) {
        return std::nullopt;
    }
    const std::size_t middle = id.rfind('/', last - 1);
    if (middle == std::string::npos || middle == 0) {
        return std::nullopt;
    }
    const auto incarnation =
        parse_number(std::string_view(id).substr(middle + 1, last - middle - 1));
    const auto number = parse_number(std::string_view(id).substr(last + 1));
    if (!incarnation || !number) {
        return std::nullopt;
    }
    return transaction_name{id.substr(0, middle), *incarnation, *number};
}

source_rows make_session_rows(const std::string& source, const std::vector<proxy_answer>& answers) {
    source_rows result;
    if (source == "connections") {
        result.columns = {"target",
                          "vm",
                          "in_use",
                          "idle",
                          "opening",
                          "quota",
                          "allowed",
                          "waiting_for_connection",
                          "queued_reads",
                          "queued_writes",
                          "queued_transactions",
                          "in_flight",
                          "read_limit",
                          "write_limit",
                          "transaction_limit",
                          "note"};
    } else {
        result.columns = {"kind",   "vm",      "id",      "pool",  "caller", "target",  "access",
                          "age_ms", "idle_ms", "is_busy", "reads", "writes", "refused", "note"};
    }
    for (const proxy_answer& proxy : answers) {
        std::vector<json> rows;
        if (add_answer(source, proxy, rows)) {
            std::move(rows.begin(), rows.end(), std::back_inserter(result.rows));
        } else {
            result.rows.push_back({{"vm", proxy.vm.vm}, {"note", explain(proxy)}});
        }
    }
    std::stable_sort(result.rows.begin(), result.rows.end(),
                     [](const json& a, const json& b) { return get_order(a) < get_order(b); });
    return result;
}

void filter_session_rows(source_rows& source, const std::string& name) {
    if (name.empty()) {
        return;
    }
    const auto is_other = [&](const json& row) {
        const std::string pool = get_text(row, "pool");
        const std::string target = get_text(row, "target");
        const std::string path = pool.empty() ? target : pool + "/" + target;
        return !row.contains("note") && path != name && !path.starts_with(name + "/");
    };
    source.rows.erase(std::remove_if(source.rows.begin(), source.rows.end(), is_other),
                      source.rows.end());
}

}  // namespace hornbeamhook::ctl
