#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "protocol/proxy_settings.h"
#include "proxy/audit_log.h"
#include "state/fleet_view.h"
#include "transport/http_message.h"

namespace hornbeamhook::proxy {

/**
 * The control side of a proxy: one control thread that owns membership, configuration, group views
 * and failover, with its pollers. The data path reads snapshots and asks for polls.
 */
class fleet_service {
public:
    /** Does nothing until start(). `audit` must outlive this; `incarnation` is the start time in
     * ms. */
    fleet_service(protocol::proxy_settings settings, std::uint64_t incarnation, audit_log& audit);
    ~fleet_service();
    fleet_service(const fleet_service&) = delete;
    fleet_service& operator=(const fleet_service&) = delete;

    /** Starts the control thread, pollers, store synchronisation and peer exchange. */
    void start();

    /** Stops all threads. Safe to call twice. Not thread safe. */
    void stop();

    /** The newest snapshot; never null. Thread safe. */
    std::shared_ptr<const state::fleet_view> get_view() const;

    /** Asks for a poll round of all targets of `pool` that begins after this call. Thread safe. */
    void request_poll(const std::string& pool);

    /**
     * Blocks until `is_satisfied` holds for the view of `pool` or `deadline` passed; the view is
     * checked after each change. Returns the last view (null when this proxy does not poll the
     * group). Polls on its own while it waits. Thread safe.
     */
    std::shared_ptr<const state::group_view> wait_for_group(
        const std::string& pool, state::time_point deadline,
        const std::function<bool(const state::group_view&)>& is_satisfied);

    /** Tells the control thread that an exchange with a target failed, so that it polls at once.
     * Thread safe. */
    void report_target_failure(const std::string& pool, const std::string& target);

    /** Records the primary named in an answer of a home; a lower term is ignored. Thread safe. */
    void report_primary(const std::string& pool, const state::primary_view& primary);

    /**
     * Answers /internal/v1/exchange, configuration, observations, planned_change and the fleet's
     * part of /internal/v1/status; may block for up to a few seconds. Thread safe.
     */
    transport::http_response handle(const transport::http_request& request);

    /** Announces that this proxy is leaving: unready, no homes. Thread safe. */
    void begin_drain();

    /** Whether callers may be sent here: configuration present and confirmed, not draining. Thread
     * safe. */
    bool is_ready() const;

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace hornbeamhook::proxy
