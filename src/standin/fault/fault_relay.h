#pragma once

#include <memory>
#include <vector>

#include "standin/fault/relay_loop.h"
#include "standin/fault/relay_settings.h"
#include "transport/http_message.h"
#include "transport/http_server.h"

namespace hornbeamhook::standin::fault {

/** All links of one relay process and their control interface. */
class fault_relay {
public:
    /** Binds the links. Throws std::runtime_error when an address is taken or malformed. */
    explicit fault_relay(const relay_settings& settings);

    /** Calls stop(). */
    ~fault_relay();
    fault_relay(const fault_relay&) = delete;
    fault_relay& operator=(const fault_relay&) = delete;

    /** Starts relaying and the control interface. Throws std::runtime_error. */
    void start();

    /** Stops everything. Safe to call twice. Not thread safe. */
    void stop();

    /** Answers one control request. Thread safe. */
    transport::http_response handle(const transport::http_request& request);

private:
    transport::http_response apply(const std::string& body);

    std::vector<std::unique_ptr<relay_loop>> loops_;
    std::unique_ptr<transport::http_server> control_;
};

}  // namespace hornbeamhook::standin::fault
