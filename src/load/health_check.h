#pragma once

#include <atomic>
#include <cstddef>
#include <thread>
#include <vector>

#include "load/load_settings.h"
#include "load/proxy_directory.h"
#include "transport/http_client.h"

namespace hornbeamhook::load {

/** Asks every proxy for its readiness as the platform's balancer does, one thread per proxy. */
class health_check {
public:
    /** Starts the threads. Both references must outlive this. */
    health_check(const std::vector<proxy_endpoint>& proxies, proxy_directory& directory);

    /** Ends the threads. */
    ~health_check();
    health_check(const health_check&) = delete;
    health_check& operator=(const health_check&) = delete;

private:
    void run(std::size_t index, const proxy_endpoint& proxy);
    bool is_ready(const proxy_endpoint& proxy);

    proxy_directory& directory_;
    transport::http_client client_;
    std::atomic<bool> is_stopping_ = false;
    std::vector<std::thread> threads_;
};

}  // namespace hornbeamhook::load
