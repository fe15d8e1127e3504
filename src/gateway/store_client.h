#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "gateway/bounded_log.h"
#include "gateway/gateway_counters.h"
#include "gateway/platform_protocol.h"
#include "transport/http_channel_pool.h"
#include "transport/http_listener.h"

namespace hornbeamhook::gateway {

/**
 * Calls the platform's store. When the store does not serve this VM, calls are relayed through
 * another VM that it serves. Loop thread only.
 */
class store_client {
public:
    using callback = transport::http_channel::callback;

    store_client(transport::event_loop& loop, const transport::endpoint& store, bounded_log& log,
                 gateway_counters& counters);

    /** Sends a call without side effects, possibly both directly and through a relay. `done` is
     * called once, with the store's first answer or, if all attempts fail, the last failure. */
    void read(const transport::http_exchange_request& request, callback done);

    /** Sends a call that the store holds until something changes: directly, or through a relay
     * while the store does not serve this VM. `done` is called once. */
    void watch(const transport::http_exchange_request& request, callback done);

    /** Sends a call with side effects; resends it only if the store did not execute it. */
    void change(const transport::http_exchange_request& request, callback done);

    /** Sets the control addresses of VMs that the store serves. */
    void set_relays(const std::vector<transport::endpoint>& relays) { relays_ = relays; }

    /** Sends a call to the store for another VM. */
    void serve_relayed(const transport::http_call& call,
                       const transport::http_listener::responder& respond);

    /** Whether the store has recently answered this VM directly. */
    bool is_store_available() const;

private:
    struct hedged_read;

    void send_direct(const transport::http_exchange_request& request, callback done);
    void send_relayed(const transport::http_exchange_request& request, callback done);
    void update_availability(const transport::http_exchange_answer& answer);
    bool is_direct_backing_off() const;

    transport::event_loop& loop_;
    transport::http_channel direct_;
    transport::http_channel_pool channels_;  ///< To other VMs.
    std::vector<transport::endpoint> relays_;
    std::size_t next_relay_ = 0;
    bounded_log& log_;
    gateway_counters& counters_;
    std::int64_t last_response_at_ = 0;
    std::int64_t last_failure_at_ = 0;
    bool is_lost_ = false;
};

}  // namespace hornbeamhook::gateway
