#include "protocol/proxy_settings.h"

#include <algorithm>

#include "state/json_reader.h"

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t max_interval_ms = 600'000;
constexpr std::int64_t max_memory_mb = 1 << 20;
constexpr std::int64_t max_descriptor_limit = 1 << 20;

milliseconds read_duration(state::json_reader& reader, const char* field, milliseconds fallback) {
    return milliseconds(reader.get_integer(field, 1, max_interval_ms, fallback.count()));
}

void read_address_map(state::json_reader& reader, proxy_settings& settings) {
    const nlohmann::json* map = reader.get_object("address_map", false);
    if (map == nullptr) {
        return;
    }
    for (const auto& [from, to] : map->items()) {
        if (!to.is_string()) {
            reader.fail("address_map", "\"" + from + "\" is not mapped to a string");
            return;
        }
        settings.address_map.emplace(from, to.get<std::string>());
    }
}

void read_durations(state::json_reader& reader, proxy_settings& settings) {
    settings.heartbeat_interval =
        read_duration(reader, "heartbeat_interval_ms", settings.heartbeat_interval);
    settings.standby_heartbeat_interval = milliseconds(reader.get_integer(
        "standby_heartbeat_interval_ms", settings.heartbeat_interval.count(), max_interval_ms,
        std::max(settings.heartbeat_interval, settings.standby_heartbeat_interval).count()));
    settings.probe_timeout = read_duration(reader, "probe_timeout_ms", settings.probe_timeout);
    settings.exchange_interval =
        read_duration(reader, "exchange_interval_ms", settings.exchange_interval);
    settings.member_timeout = read_duration(reader, "member_timeout_ms", settings.member_timeout);
    settings.store_poll_interval =
        read_duration(reader, "store_poll_interval_ms", settings.store_poll_interval);
    settings.store_timeout = read_duration(reader, "store_timeout_ms", settings.store_timeout);
    settings.balancer_grace = read_duration(reader, "balancer_grace_ms", settings.balancer_grace);
    settings.drain_timeout = read_duration(reader, "drain_timeout_ms", settings.drain_timeout);
    settings.transaction_idle_timeout =
        read_duration(reader, "transaction_idle_timeout_ms", settings.transaction_idle_timeout);
    settings.transaction_total_timeout =
        read_duration(reader, "transaction_total_timeout_ms", settings.transaction_total_timeout);
    settings.prune_interval = read_duration(reader, "prune_interval_ms", settings.prune_interval);
    settings.key_retention = std::chrono::hours(
        reader.get_integer("key_retention_hours", 1, 8760, settings.key_retention.count()));
}

}  // namespace

std::string proxy_settings::get_dial_address(const std::string& address) const {
    const auto it = address_map.find(address);
    return it == address_map.end() ? address : it->second;
}

leaf::result<proxy_settings> parse_proxy_settings(const nlohmann::json& object) {
    state::json_reader reader(object, "");
    proxy_settings settings;
    settings.vm = reader.get_string("vm");
    settings.place = reader.get_string("place");
    settings.data_center = reader.get_string("data_center");
    settings.region = reader.get_string("region", settings.place);
    settings.listen_address = reader.get_string("listen_address");
    settings.advertise_address = reader.get_string("advertise_address", settings.listen_address);
    settings.platform_address = reader.get_string("platform_address");
    settings.fleet_secret = reader.get_string("fleet_secret");
    read_address_map(reader, settings);
    if (reader.get_choice("connection_layout", {"homes", "fixed_split"}, "homes") ==
        "fixed_split") {
        settings.layout = connection_layout::fixed_split;
    }
    settings.homes_per_target =
        static_cast<int>(reader.get_integer("homes_per_target", 1, 8, settings.homes_per_target));
    settings.worker_threads =
        static_cast<int>(reader.get_integer("worker_threads", 1, 1024, settings.worker_threads));
    settings.http_threads =
        static_cast<int>(reader.get_integer("http_threads", 1, 64, settings.http_threads));
    settings.reserved_connections = static_cast<int>(
        reader.get_integer("reserved_connections", 0, 1000, settings.reserved_connections));
    settings.max_request_bytes = reader.get_integer(
        "max_request_bytes", 1024, 64 << 20, static_cast<std::int64_t>(settings.max_request_bytes));
    settings.memory_mb = reader.get_integer("memory_mb", 0, max_memory_mb, settings.memory_mb);
    settings.max_descriptors =
        reader.get_integer("max_descriptors", 0, max_descriptor_limit, settings.max_descriptors);
    read_durations(reader, settings);
    BOOST_LEAF_CHECK(reader.finish());
    return settings;
}

}  // namespace hornbeamhook::protocol
