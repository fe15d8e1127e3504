#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "protocol/proxy_settings.h"

namespace hornbeamhook::proxy {

/** A whole proxy process: control side, entry, home, health and metrics. */
class proxy_server {
public:
    /** Does nothing until start(). `incarnation` is the start time in ms. */
    proxy_server(protocol::proxy_settings settings, std::uint64_t incarnation);
    ~proxy_server();
    proxy_server(const proxy_server&) = delete;
    proxy_server& operator=(const proxy_server&) = delete;

    /** Starts all threads and listens. Throws std::runtime_error when the address is taken. */
    void start();

    /**
     * Drains as docs/design.md, section 7, says: unready, announce, wait balancer_grace, refuse
     * new work, finish what is in flight within drain_timeout, close. Blocks.
     */
    void drain_and_stop();

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace hornbeamhook::proxy
