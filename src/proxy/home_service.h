#pragma once

#include "proxy/exchange_log.h"
#include "proxy/home_runtime.h"

namespace hornbeamhook::proxy {

/** Serves requests outside of transactions at the home of their target. */
class home_service {
public:
    /** `runtime` must outlive this. */
    explicit home_service(home_runtime& runtime) : runtime_(runtime) {}

    /** Serves a request; answers from any thread. Thread safe, does not block on a target. */
    void handle(protocol::execute_request request, execute_responder respond);

    /** Deletes idempotency keys older than key_retention from groups whose primary this proxy is
     * the first home of. Blocks. Thread safe. */
    void prune_keys();

private:
    void await_acknowledgement(const protocol::execute_request& request, state::time_point deadline,
                               execute_responder respond);
    void wait_for_freshness(std::shared_ptr<const protocol::execute_request> request,
                            const state::target_description& target, state::time_point arrival,
                            state::time_point deadline, execute_responder respond);
    void admit(std::shared_ptr<const protocol::execute_request> request,
               const state::target_description& target,
               const coordination::required_points& required, state::time_point deadline,
               execute_responder respond);

    home_runtime& runtime_;
    exchange_log exchanges_;
};

}  // namespace hornbeamhook::proxy
