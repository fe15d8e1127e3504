#include "ctl/platform_rows.h"

#include <cstdlib>
#include <map>
#include <utility>

#include "ctl/time_text.h"
#include "state/state_error.h"

namespace hornbeamhook::ctl {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

constexpr int page_size = 1000;

json make_usage_object(const state::usage_row& row) {
    json object = state::to_json(row);
    std::uint64_t refused = 0;
    for (const auto& [code, count] : row.counters.refused) {
        refused += count;
    }
    object["refused_by_code"] = std::move(object["refused"]);
    object["refused"] = refused;
    object["requests"] = row.counters.reads + row.counters.writes + refused;
    return object;
}

// Pollers record a promotion within seconds. A pool that was dropped and created again has the same
// terms again, so equal terms far apart are different promotions.
constexpr std::int64_t max_record_distance_ms = 600'000;

json get_term(const json& row) {
    const json details = row.value("details", json::object());
    const json after = details.is_object() ? details.value("after", json()) : json();
    return after.is_object() ? after.value("term", json()) : json();
}

bool is_same_promotion(const json& a, const json& b) {
    const json term = get_term(a);
    return term.is_number_integer() && term == get_term(b) &&
           a.value("subject", "") == b.value("subject", "") &&
           std::abs(a.value("at_ms", std::int64_t{0}) - b.value("at_ms", std::int64_t{0})) <=
               max_record_distance_ms;
}

/** Adds what another record says of the same promotion. */
void join_record(json& row, json other) {
    if (row.value("is_second_hand", false) && !other.value("is_second_hand", false)) {
        std::swap(row, other);
        row["seen_by"] = std::move(other["seen_by"]);
    }
    row["seen_by"].push_back({{"vm", other.value("vm", "")},
                              {"at_ms", other.value("at_ms", json())},
                              {"reason", other.value("reason", "")},
                              {"gap_ms", other.value("gap_ms", json())}});
}

void add_time(json& row) {
    const auto at = row.find("at_ms");
    if (at != row.end() && at->is_number_integer()) {
        row["at"] = format_time(at->get<std::int64_t>());
    }
}

}  // namespace

leaf::result<std::vector<json>> read_values(protocol::table_client& client,
                                            const std::string& table, const std::string& prefix) {
    std::vector<json> values;
    std::string after;
    while (true) {
        BOOST_LEAF_AUTO(rows, client.get_rows(table, prefix, after, page_size));
        for (protocol::table_row& row : rows) {
            after = row.key;
            values.push_back(std::move(row.value));
        }
        if (rows.size() < static_cast<std::size_t>(page_size)) {
            return values;
        }
    }
}

leaf::result<std::vector<state::usage_row>> read_usage(protocol::table_client& client,
                                                       const std::string& prefix,
                                                       std::size_t& skipped) {
    BOOST_LEAF_AUTO(values, read_values(client, "usage", prefix));
    std::vector<state::usage_row> rows;
    for (const json& value : values) {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(row, state::parse_usage_row(value));
                rows.push_back(std::move(row));
                return {};
            },
            [&] { ++skipped; });
    }
    return rows;
}

std::vector<json> merge_failovers(std::vector<json> rows) {
    std::vector<json> merged;
    std::map<std::pair<std::string, std::string>, std::size_t> latest;  // By pool and term.
    for (json& row : rows) {
        row["is_second_hand"] = row.value("is_second_hand", false);
        row["seen_by"] = json::array();
        const std::pair key{row.value("subject", ""), get_term(row).dump()};
        const auto [place, is_new] = latest.emplace(key, merged.size());
        if (!is_new && is_same_promotion(merged[place->second], row)) {
            join_record(merged[place->second], std::move(row));
            continue;
        }
        place->second = merged.size();
        merged.push_back(std::move(row));
    }
    return merged;
}

leaf::result<std::vector<json>> read_failovers(protocol::table_client& client) {
    BOOST_LEAF_AUTO(records, read_values(client, "failover", ""));
    std::vector<json> rows = merge_failovers(std::move(records));
    std::uint64_t number = 0;
    for (json& row : rows) {
        row["number"] = ++number;
        row["pool"] = row.value("subject", "");
        add_time(row);
    }
    return rows;
}

leaf::result<source_rows> read_source(protocol::table_client& client, const std::string& source) {
    source_rows result;
    if (source == "failovers") {
        result.columns = {"number", "at", "pool", "reason", "gap_ms", "vm", "is_second_hand"};
        BOOST_LEAF_ASSIGN(result.rows, read_failovers(client));
        return result;
    }
    if (source == "audit") {
        result.columns = {"at", "vm", "sequence", "kind", "subject", "reason", "version"};
        BOOST_LEAF_ASSIGN(result.rows, read_values(client, "audit", ""));
        for (json& row : result.rows) {
            add_time(row);
        }
        return result;
    }
    result.columns = {"hour",  "pool",          "caller", "place",   "vm",
                      "reads", "replica_reads", "writes", "refused", "unknown"};
    std::size_t skipped = 0;
    BOOST_LEAF_AUTO(usage, read_usage(client, "", skipped));
    for (const state::usage_row& row : usage) {
        result.rows.push_back(make_usage_object(row));
    }
    return result;
}

}  // namespace hornbeamhook::ctl
