#include "load/load_settings.h"

#include "state/json_reader.h"

namespace hornbeamhook::load {

namespace leaf = boost::leaf;

namespace {

leaf::result<proxy_endpoint> parse_proxy(const nlohmann::json& object, const std::string& path) {
    state::json_reader reader(object, path);
    proxy_endpoint proxy;
    proxy.name = reader.get_string("name");
    proxy.place = reader.get_string("place");
    proxy.address = reader.get_string("address");
    BOOST_LEAF_CHECK(reader.finish());
    return proxy;
}

}  // namespace

leaf::result<load_settings> parse_load_settings(const nlohmann::json& object) {
    state::json_reader reader(object, "");
    load_settings settings;
    settings.deployment = reader.get_choice("deployment", {"nile_horn", "carrowmore"});
    settings.credential = reader.get_string("credential");
    settings.control_address = reader.get_string("control_address", "");
    const nlohmann::json* proxies = reader.get_array("proxies");
    const nlohmann::json* pools = reader.get_array("pools");
    if (proxies != nullptr && proxies->empty()) {
        reader.fail("proxies", "[] is not allowed; allowed: at least one proxy");
    }
    if (pools != nullptr) {
        if (pools->empty()) {
            reader.fail("pools", "[] is not allowed; allowed: at least one pool name");
        }
        for (const nlohmann::json& pool : *pools) {
            if (!pool.is_string()) {
                reader.fail("pools", pool.dump() + " is not allowed; allowed: pool names");
                break;
            }
            settings.pools.push_back(pool.get<std::string>());
        }
    }
    BOOST_LEAF_CHECK(reader.finish());
    for (std::size_t i = 0; i < proxies->size(); ++i) {
        BOOST_LEAF_AUTO(proxy, parse_proxy((*proxies)[i], "proxies[" + std::to_string(i) + "]"));
        settings.proxies.push_back(std::move(proxy));
    }
    return settings;
}

}  // namespace hornbeamhook::load
