#include "state/usage_row.h"

#include <limits>

#include "state/json_reader.h"

namespace hornbeamhook::state {

namespace {

constexpr std::int64_t max_counter = std::numeric_limits<std::int64_t>::max();

}  // namespace

std::string usage_key::get_row_key() const {
    return hour + "/" + pool + "/" + caller + "/" + place + "/" + vm + "/" +
           std::to_string(incarnation);
}

boost::leaf::result<usage_row> parse_usage_row(const nlohmann::json& object) {
    json_reader reader(object, "usage");
    usage_row row;
    row.key.hour = reader.get_string("hour");
    row.key.pool = reader.get_string("pool");
    row.key.caller = reader.get_string("caller");
    row.key.place = reader.get_string("place");
    row.key.vm = reader.get_string("vm");
    row.key.incarnation = reader.get_integer("incarnation", 0, max_counter);
    row.counters.reads = reader.get_integer("reads", 0, max_counter);
    row.counters.writes = reader.get_integer("writes", 0, max_counter);
    row.counters.replica_reads = reader.get_integer("replica_reads", 0, max_counter);
    row.counters.unknown = reader.get_integer("unknown", 0, max_counter);
    row.counters.latency_sum_us = reader.get_integer("latency_sum_us", 0, max_counter);
    const nlohmann::json* refused = reader.get_object("refused");
    const nlohmann::json* latency = reader.get_array("latency");
    BOOST_LEAF_CHECK(reader.finish());
    json_reader refused_reader(*refused, "usage.refused");
    for (const auto& [code, count] : refused->items()) {
        row.counters.refused[code] = refused_reader.get_integer(code, 0, max_counter);
    }
    BOOST_LEAF_CHECK(refused_reader.finish());
    BOOST_LEAF_ASSIGN(row.counters.latency, latency_histogram::parse(*latency));
    return row;
}

nlohmann::json to_json(const usage_row& row) {
    nlohmann::json refused = nlohmann::json::object();
    for (const auto& [code, count] : row.counters.refused) {
        refused[code] = count;
    }
    return {{"hour", row.key.hour},
            {"pool", row.key.pool},
            {"caller", row.key.caller},
            {"place", row.key.place},
            {"vm", row.key.vm},
            {"incarnation", row.key.incarnation},
            {"reads", row.counters.reads},
            {"writes", row.counters.writes},
            {"replica_reads", row.counters.replica_reads},
            {"unknown", row.counters.unknown},
            {"refused", std::move(refused)},
            {"latency_sum_us", row.counters.latency_sum_us},
            {"latency", row.counters.latency.to_json()}};
}

}  // namespace hornbeamhook::state
