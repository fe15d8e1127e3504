#include "standin/platform/platform_settings.h"

#include <limits>

#include "state/json_reader.h"

namespace hornbeamhook::standin::platform {

namespace {
constexpr std::int64_t max_delay_ms = 600'000;
}  // namespace

boost::leaf::result<platform_settings> parse_platform_settings(const nlohmann::json& object) {
    state::json_reader reader(object, "");
    platform_settings settings;
    settings.listen_address = reader.get_string("listen_address");
    settings.threads = static_cast<int>(reader.get_integer("threads", 1, 64, settings.threads));
    settings.vm_list_lag = std::chrono::milliseconds(
        reader.get_integer("vm_list_lag_ms", 0, max_delay_ms, settings.vm_list_lag.count()));
    settings.latency = std::chrono::milliseconds(
        reader.get_integer("latency_ms", 0, max_delay_ms, settings.latency.count()));
    settings.seed = reader.get_integer("seed", 0, std::numeric_limits<std::int64_t>::max(),
                                       static_cast<std::int64_t>(settings.seed));
    BOOST_LEAF_CHECK(reader.finish());
    return settings;
}

}  // namespace hornbeamhook::standin::platform
