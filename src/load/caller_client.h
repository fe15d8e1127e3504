#pragma once

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "load/api_answer.h"
#include "transport/http_client.h"

namespace hornbeamhook::load {

/** Sends caller requests to proxies. Thread safe. */
class caller_client {
public:
    explicit caller_client(std::string credential);

    /**
     * One POST to one proxy. A connection that could not be opened gives `not_run`, any failure
     * after bytes were sent `unknown`; both allow a retry.
     */
    api_answer post(const std::string& address, const std::string& path, const nlohmann::json& body,
                    std::chrono::milliseconds deadline);

private:
    std::string authorization_;
    transport::http_client client_;
};

/** One statement of a request body. */
nlohmann::json make_statement(const std::string& sql, const std::vector<std::string>& parameters);

}  // namespace hornbeamhook::load
