#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "ctl/ctl_settings.h"
#include "protocol/table_client.h"
#include "transport/http_client.h"

namespace hornbeamhook::ctl {

/** Why a proxy did not answer. */
enum class proxy_failure {
    none,
    refused,  ///< Nobody listens: the proxy is not live.
    silent,   ///< No connection or no answer in time; it may be live.
    invalid,  ///< It answered with an error or with something else than JSON.
};

/** Answer of one proxy. */
struct proxy_answer {
    protocol::vm_entry vm;
    proxy_failure failure = proxy_failure::none;
    bool was_sent = false;  ///< Whether the request may have been received.
    int status = 0;
    nlohmann::json body;
    std::string message;
};

/** Calls to the proxies of the VM list. Blocking. Thread safe. */
class proxy_client {
public:
    explicit proxy_client(ctl_settings settings);

    /**
     * GET /internal/v1/status of each VM of the list, and of the live members that these name: the
     * list lags behind. In parallel; ordered by VM.
     */
    std::vector<proxy_answer> get_status(const std::vector<protocol::vm_entry>& vms);

    /** GET /internal/v1/sessions of the same proxies; one that gave no status is not asked again.
     */
    std::vector<proxy_answer> get_sessions(const std::vector<protocol::vm_entry>& vms);

    /** POST to one proxy. */
    proxy_answer post(const protocol::vm_entry& vm, const std::string& path,
                      const nlohmann::json& body);

private:
    std::vector<proxy_answer> get_from(const std::vector<protocol::vm_entry>& vms,
                                       const std::string& path);
    proxy_answer call(const protocol::vm_entry& vm, transport::http_call request);

    ctl_settings settings_;
    transport::http_client http_;
};

}  // namespace hornbeamhook::ctl
