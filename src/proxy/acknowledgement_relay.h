#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "coordination/acknowledgement.h"
#include "protocol/proxy_settings.h"
#include "proxy/group_source.h"
#include "transport/http_client.h"

namespace hornbeamhook::proxy {

/**
 * Asks proxies that poll a group whether a write is acknowledged. A proxy that ceases to be a home
 * while a commit waits (it drains, or another proxy joined) finishes its requests this way.
 */
class acknowledgement_relay {
public:
    /** The references must outlive this. */
    acknowledgement_relay(const protocol::proxy_settings& settings, std::uint64_t incarnation,
                          group_source& groups);

    /** Blocks until a poller decided or `deadline` passed. Thread safe. */
    coordination::acknowledgement ask(const std::string& pool, state::log_point point,
                                      state::time_point deadline);

private:
    coordination::acknowledgement ask_member(const state::member& member, const std::string& pool,
                                             state::log_point point, state::time_point deadline);

    const protocol::proxy_settings& settings_;
    const std::uint64_t incarnation_;
    group_source& groups_;
    std::atomic<std::uint64_t> next_exchange_ = 1;
    transport::http_client client_;
};

}  // namespace hornbeamhook::proxy
