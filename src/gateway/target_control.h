#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/session_protocol.h"
#include "gateway/target_link.h"
#include "transport/event_loop.h"

namespace hornbeamhook::gateway {

/** Reports and control statements, each on a connection of its own. Loop thread only. */
class target_control {
public:
    target_control(transport::event_loop& loop, const session_protocol& protocol)
        : loop_(loop), protocol_(protocol) {}

    ~target_control();
    target_control(const target_control&) = delete;
    target_control& operator=(const target_control&) = delete;

    /** Asks a target for a report; `done` gets it, or empty when it fails or takes too long. */
    void request_report(const target_entry& target,
                        std::function<void(const std::optional<target_report>&)> done);

    /** Sends a control statement whose answer does not matter. */
    void send(const target_entry& target, const std::string& bytes);

    /** Ends the connections that take too long. Call regularly. */
    void close_timed_out(std::int64_t now);

private:
    transport::event_loop& loop_;
    const session_protocol& protocol_;
    std::vector<std::shared_ptr<target_link>> links_;
};

}  // namespace hornbeamhook::gateway
