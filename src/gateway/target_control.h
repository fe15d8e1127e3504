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

/** Sends status requests and control statements, each on its own connection. Loop thread only. */
class target_control {
public:
    target_control(transport::event_loop& loop, const session_protocol& protocol)
        : loop_(loop), protocol_(protocol) {}

    ~target_control();
    target_control(const target_control&) = delete;
    target_control& operator=(const target_control&) = delete;

    /** Requests a target's report; `done` gets it, or empty after a failure or timeout. */
    void request_report(const target_entry& target,
                        std::function<void(const std::optional<target_report>&)> done);

    /** Sends a control statement and ignores its answer. */
    void send(const target_entry& target, const std::string& bytes);

    /** Closes the connections that have timed out. Call regularly. */
    void close_timed_out(std::int64_t now);

private:
    transport::event_loop& loop_;
    const session_protocol& protocol_;
    std::vector<std::shared_ptr<target_link>> links_;
};

}  // namespace hornbeamhook::gateway
