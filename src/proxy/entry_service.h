#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "coordination/retry_budget.h"
#include "protocol/caller_error.h"
#include "protocol/proxy_settings.h"
#include "proxy/audit_log.h"
#include "proxy/avoid_list.h"
#include "proxy/data_metrics.h"
#include "proxy/entry_request.h"
#include "proxy/group_source.h"
#include "proxy/home_service.h"
#include "proxy/timer_queue.h"
#include "proxy/transaction_service.h"
#include "proxy/usage_recorder.h"
#include "transport/http_client.h"
#include "transport/http_message.h"
#include "transport/http_server.h"
#include "transport/worker_pool.h"

namespace hornbeamhook::proxy {

/** What the entry works with; all of them must outlive it. */
struct entry_parts {
    const protocol::proxy_settings& settings;
    group_source& groups;
    home_service& home;
    transaction_service& transactions;
    data_metrics& metrics;
    audit_log& audit;
    usage_recorder& usage;
    std::uint64_t incarnation = 0;
};

/** Serves the caller API: authenticates, routes, forwards and repeats where that is safe. */
class entry_service {
public:
    explicit entry_service(entry_parts parts);
    ~entry_service();
    entry_service(const entry_service&) = delete;
    entry_service& operator=(const entry_service&) = delete;

    /** Serves a request below /v1/. Thread safe, does not block. */
    void handle(const transport::http_request& request, transport::http_responder respond);

    /** New requests are refused from now on. Thread safe. */
    void begin_drain() { is_draining_ = true; }

    /** Requests that are not answered yet. Thread safe. */
    std::size_t get_in_flight() const { return in_flight_; }

    /** Ends the threads. Safe to call twice. */
    void stop();

private:
    using shared_request = std::shared_ptr<entry_request>;

    boost::leaf::result<shared_request> accept(const transport::http_request& request);
    boost::leaf::result<const state::principal*> authenticate(
        const state::configuration& config, const transport::http_request& request);
    boost::leaf::result<void> authorise(const state::principal& caller, const std::string& pool,
                                        bool is_write);
    boost::leaf::result<void> read_pool_request(const state::configuration& config,
                                                const transport::http_request& request,
                                                const std::string& pool, const std::string& action,
                                                entry_request& result);
    boost::leaf::result<void> read_transaction_request(const state::configuration& config,
                                                       const transport::http_request& request,
                                                       const std::string& id,
                                                       const std::string& action,
                                                       entry_request& result);
    boost::leaf::result<void> read_token(const state::configuration& config,
                                         const std::string& text, entry_request& result);
    void audit_denial(const std::string& subject, const std::string& reason);

    void run(const shared_request& request);
    void step(const shared_request& request);
    void step_transaction(const shared_request& request);
    std::shared_ptr<const state::fleet_view> get_routing_view(const std::string& pool) const;
    void send(const shared_request& request, const coordination::route_candidate& candidate);
    void call_home(const shared_request& request, const std::string& address,
                   const std::string& path, const protocol::execute_request& message,
                   std::chrono::milliseconds timeout,
                   const std::function<void(protocol::execute_answer)>& done);
    protocol::execute_request make_message(const entry_request& request, const std::string& target,
                                           std::chrono::milliseconds deadline);
    std::chrono::milliseconds get_send_deadline(const entry_request& request) const;
    void on_answer(const shared_request& request, const coordination::route_candidate& candidate,
                   protocol::execute_answer answer);
    void on_transaction_answer(const shared_request& request, protocol::execute_answer answer);
    void apply(const shared_request& request, const coordination::retry_decision& decision);
    void schedule(const shared_request& request, std::chrono::milliseconds pause);
    void finish(const shared_request& request, state::outcome outcome, protocol::error_code code);
    void submit(const shared_request& request);
    bool try_take_retry();
    double get_jitter();

    entry_parts parts_;
    transport::http_client client_;
    std::atomic<bool> is_draining_ = false;
    std::atomic<std::size_t> in_flight_ = 0;
    std::atomic<std::uint64_t> next_exchange_ = 1;
    std::mutex mutex_;
    coordination::retry_budget budget_;
    std::map<std::string, state::time_point> audited_;
    avoid_list avoided_;
    transport::worker_pool readers_;
    transport::worker_pool writers_;
    timer_queue timers_;
};

}  // namespace hornbeamhook::proxy
