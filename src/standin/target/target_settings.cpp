#include "standin/target/target_settings.h"

#include <limits>

#include "state/json_reader.h"

namespace hornbeamhook::standin::target {

namespace leaf = boost::leaf;

namespace {

constexpr std::int64_t max_interval_ms = 600'000;

std::chrono::milliseconds read_duration(state::json_reader& reader, const char* field,
                                        std::int64_t min, std::chrono::milliseconds fallback) {
    return std::chrono::milliseconds(
        reader.get_integer(field, min, max_interval_ms, fallback.count()));
}

leaf::result<std::pair<std::string, std::string>> parse_peer(const nlohmann::json& object,
                                                             const std::string& path) {
    state::json_reader reader(object, path);
    std::string name = reader.get_string("name");
    std::string address = reader.get_string("address");
    BOOST_LEAF_CHECK(reader.finish());
    return std::pair{std::move(name), std::move(address)};
}

}  // namespace

leaf::result<target_settings> parse_target_settings(const nlohmann::json& object) {
    state::json_reader reader(object, "");
    target_settings settings;
    settings.name = reader.get_string("name");
    settings.listen_address = reader.get_string("listen_address");
    settings.control_address = reader.get_string("control_address");
    settings.replication_address = reader.get_string("replication_address");
    if (const nlohmann::json* peers = reader.get_array("peers", false)) {
        for (std::size_t i = 0; i < peers->size(); ++i) {
            BOOST_LEAF_AUTO(peer, parse_peer((*peers)[i], "peers[" + std::to_string(i) + "]"));
            if (peer.first == settings.name || !settings.peers.insert(peer).second) {
                reader.fail("peers", "\"" + peer.first +
                                         "\" is not allowed; allowed: each other target once");
            }
        }
    }
    settings.initial_primary = reader.get_string("initial_primary");
    if (settings.initial_primary != settings.name &&
        !settings.peers.contains(settings.initial_primary)) {
        reader.fail("initial_primary", "\"" + settings.initial_primary +
                                           "\" is not allowed; allowed: name or one of peers");
    }
    settings.initial_term = static_cast<state::term_number>(
        reader.get_integer("initial_term", 1, std::numeric_limits<std::int64_t>::max(), 1));
    settings.data_directory = reader.get_string("data_directory", "");
    settings.replication_lag =
        read_duration(reader, "replication_lag_ms", 0, settings.replication_lag);
    settings.slots = static_cast<int>(reader.get_integer("slots", 1, 1024, settings.slots));
    settings.connection_limit = static_cast<int>(
        reader.get_integer("connection_limit", 1, 10'000, settings.connection_limit));
    settings.statement_cost = std::chrono::microseconds(
        reader.get_integer("statement_cost_us", 0, 60'000'000, settings.statement_cost.count()));
    settings.connect_cost = read_duration(reader, "connect_cost_ms", 0, settings.connect_cost);
    settings.heartbeat_interval =
        read_duration(reader, "heartbeat_interval_ms", 1, settings.heartbeat_interval);
    settings.idle_transaction_timeout =
        read_duration(reader, "idle_transaction_timeout_ms", 1, settings.idle_transaction_timeout);
    BOOST_LEAF_CHECK(reader.finish());
    return settings;
}

}  // namespace hornbeamhook::standin::target
