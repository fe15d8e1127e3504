#pragma once

#include <gtest/gtest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "protocol/table_client.h"
#include "standin/platform/platform_service.h"
#include "support/free_port.h"
#include "transport/http_client.h"
#include "transport/transport_error.h"

namespace hornbeamhook::tests {

/** A platform stand-in on a free port with helpers to set faults. */
class platform_fixture : public ::testing::Test {
protected:
    platform_fixture() {
        settings_.listen_address = get_free_address();
        settings_.vm_list_lag = std::chrono::milliseconds(0);
        service_ = std::make_unique<standin::platform::platform_service>(settings_);
        service_->start();
    }

    /** Posts to or reads from a control path; returns the answer. */
    nlohmann::json control(const std::string& method, const std::string& path,
                           const nlohmann::json& body = nlohmann::json::object()) {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<nlohmann::json> {
                transport::http_call call;
                call.method = method;
                call.address = settings_.listen_address;
                call.target = path;
                call.body = body.dump();
                BOOST_LEAF_AUTO(response, http_.call(call));
                return nlohmann::json::parse(response.body);
            },
            [](const transport::transport_error& error) {
                ADD_FAILURE() << error.message;
                return nlohmann::json();
            },
            [] { return nlohmann::json(); });
    }

    void set_faults(const nlohmann::json& faults) {
        const nlohmann::json answer = control("POST", "/control/faults", faults);
        EXPECT_FALSE(answer.contains("error")) << answer;
    }

    nlohmann::json get_status() { return control("GET", "/control/status"); }

    standin::platform::platform_settings settings_;
    std::unique_ptr<standin::platform::platform_service> service_;
    transport::http_client http_;
};

}  // namespace hornbeamhook::tests
