#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include "protocol/proxy_settings.h"
#include "proxy/audit_log.h"
#include "proxy/fleet_service.h"
#include "support/free_port.h"
#include "transport/http_server.h"
#include "transport/worker_pool.h"

namespace hornbeamhook::tests {

/** Waits until `holds`, at most `limit`; returns whether it holds. */
inline bool wait_until(const std::function<bool()>& holds,
                       std::chrono::milliseconds limit = std::chrono::milliseconds(10'000)) {
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!holds()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

/** The control side of one proxy with its HTTP server, without a data path. */
class fleet_node {
public:
    fleet_node(protocol::proxy_settings settings, std::uint64_t incarnation)
        : settings_(std::move(settings)),
          audit_(settings_, incarnation),
          service_(settings_, incarnation, audit_),
          workers_(4, 256),
          server_({.address = settings_.listen_address},
                  [this](transport::http_request request, transport::http_responder respond) {
                      workers_.try_submit(
                          [this, request = std::move(request), respond = std::move(respond)] {
                              respond(service_.handle(request));
                          });
                  }) {}

    ~fleet_node() { stop(); }
    fleet_node(const fleet_node&) = delete;
    fleet_node& operator=(const fleet_node&) = delete;

    /** Starts all threads. */
    void start() {
        audit_.start();
        service_.start();
        server_.start();
    }

    /** Ends all threads, without announcing it. */
    void stop() {
        server_.stop();
        workers_.stop();
        service_.stop();
        audit_.stop();
    }

    proxy::fleet_service& get_service() { return service_; }
    const protocol::proxy_settings& get_settings() const { return settings_; }

private:
    const protocol::proxy_settings settings_;
    proxy::audit_log audit_;
    proxy::fleet_service service_;
    transport::worker_pool workers_;
    transport::http_server server_;
};

/** Settings of a node on a free port. */
inline protocol::proxy_settings make_node_settings(const std::string& vm,
                                                   const std::string& platform) {
    protocol::proxy_settings settings;
    settings.vm = vm;
    settings.place = "cairo";
    settings.data_center = "cairo-1";
    settings.listen_address = get_free_address();
    settings.advertise_address = settings.listen_address;
    settings.platform_address = platform;
    settings.fleet_secret = "secret";
    settings.exchange_interval = std::chrono::milliseconds(100);
    settings.store_poll_interval = std::chrono::milliseconds(100);
    settings.store_timeout = std::chrono::milliseconds(500);
    return settings;
}

}  // namespace hornbeamhook::tests
