#pragma once

#include <memory>

#include "standin/target/target_settings.h"
#include "transport/http_message.h"

namespace hornbeamhook::standin::target {

/** One target stand-in: PostgreSQL protocol, replication and control interface. */
class target_server {
public:
    /** Reads the data directory. Throws std::runtime_error. */
    explicit target_server(target_settings settings);
    ~target_server();
    target_server(const target_server&) = delete;
    target_server& operator=(const target_server&) = delete;

    /** Listens and starts the threads. Throws std::runtime_error when an address is taken. */
    void start();

    /** Closes all connections and ends the threads. Safe to call twice. Not thread safe. */
    void stop();

    /** Answers a request of the control interface, also for tests in the same process. Thread
     * safe. */
    transport::http_response handle_control(const transport::http_request& request);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace hornbeamhook::standin::target
