#include "standin/fault/relay_link.h"

#include <algorithm>

namespace hornbeamhook::standin::fault {

std::optional<message_fault_command> relay_link::take_message_fault(const std::string& request) {
    const auto it = std::ranges::find_if(message_faults, [&](const message_fault_command& fault) {
        return fault.match.empty() || request.find(fault.match) != std::string::npos;
    });
    if (it == message_faults.end()) {
        return std::nullopt;
    }
    const message_fault_command fault = *it;
    it->count -= 1;
    if (it->count == 0) {
        message_faults.erase(it);
    }
    faults_applied += 1;
    return fault;
}

nlohmann::json to_json(const relay_link& link) {
    int pending = 0;
    for (const message_fault_command& fault : link.message_faults) {
        pending += fault.count;
    }
    return {{"name", link.settings.name},
            {"listen", link.settings.listen},
            {"upstream", link.settings.upstream},
            {"latency_us", link.get_latency().count()},
            {"is_cut", link.is_cut},
            {"is_upstream_down", link.is_upstream_down},
            {"connections_open", link.connections_open},
            {"connections_total", link.connections_total},
            {"bytes_to_upstream", link.bytes[0]},
            {"bytes_to_client", link.bytes[1]},
            {"faults_applied", link.faults_applied},
            {"faults_pending", pending}};
}

}  // namespace hornbeamhook::standin::fault
