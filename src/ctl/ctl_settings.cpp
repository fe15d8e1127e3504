#include "ctl/ctl_settings.h"

#include "state/json_reader.h"

namespace hornbeamhook::ctl {

namespace {

constexpr std::int64_t max_timeout_ms = 600'000;

std::chrono::milliseconds read_timeout(state::json_reader& reader, const char* field,
                                       std::chrono::milliseconds fallback) {
    return std::chrono::milliseconds(
        reader.get_integer(field, 1, max_timeout_ms, fallback.count()));
}

}  // namespace

std::string ctl_settings::get_dial_address(const std::string& address) const {
    const auto it = address_map.find(address);
    return it == address_map.end() ? address : it->second;
}

boost::leaf::result<ctl_settings> parse_ctl_settings(const nlohmann::json& object) {
    state::json_reader reader(object, "");
    ctl_settings settings;
    settings.platform_address = reader.get_string("platform_address");
    settings.fleet_secret = reader.get_string("fleet_secret", "");
    settings.operator_name = reader.get_string("operator", "unnamed", 64);
    settings.credential = reader.get_string("credential", "");
    settings.store_timeout = read_timeout(reader, "store_timeout_ms", settings.store_timeout);
    settings.proxy_timeout = read_timeout(reader, "proxy_timeout_ms", settings.proxy_timeout);
    settings.commit_timeout = read_timeout(reader, "commit_timeout_ms", settings.commit_timeout);
    if (const nlohmann::json* map = reader.get_object("address_map", false)) {
        for (const auto& [from, to] : map->items()) {
            if (!to.is_string()) {
                reader.fail("address_map", "\"" + from + "\" is not mapped to a string");
                break;
            }
            settings.address_map.emplace(from, to.get<std::string>());
        }
    }
    BOOST_LEAF_CHECK(reader.finish());
    return settings;
}

}  // namespace hornbeamhook::ctl
