#include "standin/fault/relay_settings.h"

#include <set>

#include "state/json_reader.h"

namespace hornbeamhook::standin::fault {

namespace leaf = boost::leaf;

namespace {

constexpr std::int64_t max_threads = 16;
constexpr std::int64_t max_latency_us = 60'000'000;

leaf::result<relay_link_settings> parse_link(const nlohmann::json& object,
                                             const std::string& path) {
    state::json_reader reader(object, path);
    relay_link_settings link;
    link.name = reader.get_string("name");
    link.listen = reader.get_string("listen");
    link.upstream = reader.get_string("upstream");
    link.latency =
        std::chrono::microseconds(reader.get_integer("latency_us", 0, max_latency_us, 0));
    for (const auto& [field, address] :
         {std::pair{"listen", link.listen}, std::pair{"upstream", link.upstream}}) {
        if (address.find(':') == std::string::npos) {
            reader.fail(field, "\"" + address + "\" is not allowed; allowed: \"ip:port\"");
        }
    }
    BOOST_LEAF_CHECK(reader.finish());
    return link;
}

}  // namespace

leaf::result<relay_settings> parse_relay_settings(const nlohmann::json& object) {
    state::json_reader reader(object, "");
    relay_settings settings;
    settings.control_address = reader.get_string("control_address");
    settings.threads =
        static_cast<int>(reader.get_integer("threads", 1, max_threads, settings.threads));
    const nlohmann::json* links = reader.get_array("links");
    BOOST_LEAF_CHECK(reader.finish());
    std::set<std::string> names;
    for (std::size_t i = 0; i < links->size(); ++i) {
        const std::string path = "links[" + std::to_string(i) + "]";
        BOOST_LEAF_AUTO(link, parse_link((*links)[i], path));
        if (!names.insert(link.name).second) {
            return leaf::new_error(state::state_error{
                path + ".name",
                path + ".name: \"" + link.name + "\" is used twice; allowed: a unique name"});
        }
        settings.links.push_back(std::move(link));
    }
    return settings;
}

}  // namespace hornbeamhook::standin::fault
