#include "proxy/proxy_server.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "protocol/authenticated_text.h"
#include "protocol/end_transaction_message.h"
#include "proxy/audit_log.h"
#include "proxy/data_events.h"
#include "proxy/data_metrics.h"
#include "proxy/entry_service.h"
#include "proxy/fleet_group_source.h"
#include "proxy/fleet_service.h"
#include "proxy/home_service.h"
#include "proxy/json_response.h"
#include "proxy/session_pool.h"
#include "proxy/session_report.h"
#include "proxy/transaction_service.h"
#include "proxy/usage_recorder.h"
#include "state/json_reader.h"
#include "transport/http_server.h"
#include "transport/worker_pool.h"

namespace hornbeamhook::proxy {

namespace leaf = boost::leaf;

namespace {

using protocol::execute_answer;
using std::chrono::milliseconds;
using transport::http_request;
using transport::http_responder;
using transport::http_response;

// Messages between proxies repeat the caller's body with fields and escapes around it.
constexpr std::size_t message_overhead = 64U << 10U;
constexpr std::size_t message_factor = 2;
constexpr int fleet_threads = 4;
constexpr std::size_t max_queued_fleet_requests = 256;
constexpr milliseconds tick{10};
constexpr int ticks_per_transaction_check = 10;
constexpr int ticks_per_maintenance = 100;
constexpr milliseconds drain_poll{10};
// Callers were told to close their connections with the last answers; a caller that did not see it
// yet sends its next request within this time.
constexpr milliseconds drain_quiet_time{300};

http_response make_text(int status, std::string text) {
    return {status, std::move(text), "text/plain; charset=utf-8"};
}

transport::http_server_options make_server_options(const protocol::proxy_settings& settings,
                                                   data_metrics& metrics) {
    transport::http_server_options options;
    options.address = settings.listen_address;
    options.threads = settings.http_threads;
    options.max_request_bytes = settings.max_request_bytes * message_factor + message_overhead;
    options.limits = coordination::make_vm_limits(settings.memory_mb, settings.max_descriptors);
    options.is_from_peer = [secret = settings.fleet_secret](const http_request& head) {
        return head.path.starts_with("/internal/v1/") &&
               protocol::is_equal_in_constant_time(head.fleet_secret, secret);
    };
    options.limited = [&metrics](coordination::http_limit limit, std::size_t count) {
        metrics.record_limited_connections(coordination::to_string(limit), count);
        transport::log_event(event_connections_limited, {{"limit", coordination::to_string(limit)},
                                                         {"count", std::to_string(count)}});
    };
    return options;
}

}  // namespace

struct proxy_server::implementation {
    implementation(protocol::proxy_settings value, std::uint64_t started)
        : settings(std::move(value)),
          incarnation(started),
          audit(settings, started),
          usage(settings, started),
          fleet(settings, started, audit),
          groups(fleet),
          sessions(settings, groups),
          runtime(settings, started, groups, sessions, metrics),
          home(runtime),
          transactions(runtime),
          entry({settings, groups, home, transactions, metrics, audit, usage, started}),
          fleet_workers(fleet_threads, max_queued_fleet_requests),
          server(make_server_options(settings, metrics),
                 [this](http_request request, http_responder respond) {
                     handle(std::move(request), std::move(respond));
                 }) {}

    void handle(http_request request, http_responder respond);
    void handle_internal(http_request request, const http_responder& respond);
    void handle_execute(const http_request& request, const http_responder& respond);
    http_response make_metrics();
    http_response make_sessions();
    http_response end_transaction(const http_request& request);
    http_response end_transaction(const protocol::end_transaction_message& message);
    bool is_ready() const { return !is_unready && fleet.is_ready(); }
    void run_maintenance();
    void stop_maintenance();
    void wait_until_idle();

    const protocol::proxy_settings settings;
    const std::uint64_t incarnation;
    std::atomic<bool> is_unready = false;
    std::atomic<std::size_t> messages_in_flight = 0;
    /// Last request of a caller or statement of another proxy; health checks do not count.
    std::atomic<state::time_point> last_work{state::time_point{}};
    audit_log audit;
    usage_recorder usage;
    fleet_service fleet;
    fleet_group_source groups;
    data_metrics metrics;
    session_pool sessions;
    home_runtime runtime;
    home_service home;
    transaction_service transactions;
    entry_service entry;
    transport::worker_pool fleet_workers;
    transport::http_server server;
    std::mutex mutex;
    std::condition_variable stop_requested;
    bool is_stopping = false;
    std::thread maintenance;
    std::thread pruning;
};

http_response proxy_server::implementation::make_metrics() {
    gauge_sample gauges;
    runtime.add_gauges(gauges);
    const std::shared_ptr<const state::fleet_view> view = fleet.get_view();
    gauges.open_transactions = transactions.get_open();
    gauges.configuration_version = view->config->version;
    gauges.live_members = view->live_members.size();
    gauges.is_ready = is_ready();
    return {200, metrics.serialise(gauges), "text/plain; version=0.0.4; charset=utf-8"};
}

http_response proxy_server::implementation::make_sessions() {
    const session_report report{settings.vm,
                                incarnation,
                                transactions.get_transactions(),
                                usage.get_recent_callers(),
                                sessions.get_usage(),
                                runtime.get_lane_usage()};
    return make_json(200, to_json(report, std::chrono::steady_clock::now()));
}

http_response proxy_server::implementation::end_transaction(const http_request& request) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<http_response> {
            BOOST_LEAF_AUTO(body, state::parse_json(request.body, "message"));
            BOOST_LEAF_AUTO(message, protocol::parse_end_transaction_message(body));
            return end_transaction(message);
        },
        [](const state::state_error& error) {
            return make_error(400, "bad_request", error.message);
        },
        [] { return make_error(400, "bad_request", "the message cannot be parsed"); });
}

http_response proxy_server::implementation::end_transaction(
    const protocol::end_transaction_message& message) {
    ended_transaction done;
    if (message.incarnation == incarnation) {
        done = transactions.end(message.transaction, message.pool);
    }
    if (done.end == coordination::transaction_end_result::gone) {
        return make_error(404, "transaction_gone", "no such transaction is open at this home");
    }
    nlohmann::json was =
        to_json(done.was, settings.vm, incarnation, std::chrono::steady_clock::now());
    was["operator"] = message.operator_name;
    was["state"] =
        done.end == coordination::transaction_end_result::idle ? "rolled_back" : "ending";
    audit.append({"transaction_ended", message.pool,
                  "operator " + message.operator_name + " ended transaction " +
                      was["id"].get<std::string>() + " of caller " + done.was.transaction.caller,
                  was});
    transport::log_event(event_transaction_ended,
                         {{"transaction", std::to_string(message.transaction)},
                          {"pool", message.pool},
                          {"operator", message.operator_name}});
    return make_json(200, was);
}

void proxy_server::implementation::handle(http_request request, http_responder respond) {
    if (request.path.starts_with("/v1/")) {
        last_work = std::chrono::steady_clock::now();
        entry.handle(request, std::move(respond));
        return;
    }
    if (request.path.starts_with("/internal/v1/")) {
        handle_internal(std::move(request), respond);
        return;
    }
    if (request.path == "/healthz") {
        respond(make_text(200, "alive\n"));
    } else if (request.path == "/readyz") {
        const bool is_now_ready = is_ready();
        respond(make_text(is_now_ready ? 200 : 503, is_now_ready ? "ready\n" : "not ready\n"));
    } else if (request.path == "/metrics") {
        respond(make_metrics());
    } else {
        respond(make_text(404, "no such path\n"));
    }
}

void proxy_server::implementation::handle_internal(http_request request,
                                                   const http_responder& respond) {
    if (!protocol::is_equal_in_constant_time(request.fleet_secret, settings.fleet_secret)) {
        respond(make_text(403, "the fleet secret is wrong or missing\n"));
        return;
    }
    if (request.path == "/internal/v1/execute" || request.path == "/internal/v1/transaction") {
        handle_execute(request, respond);
        return;
    }
    if (request.path == "/internal/v1/sessions" && request.method == "GET") {
        respond(make_sessions());
        return;
    }
    if (request.path == "/internal/v1/end_transaction" && request.method == "POST") {
        respond(end_transaction(request));
        return;
    }
    const auto task = [this, request = std::move(request), respond] {
        respond(fleet.handle(request));
    };
    if (!fleet_workers.try_submit(task)) {
        respond(make_text(503, "too many control requests wait\n"));
    }
}

void proxy_server::implementation::handle_execute(const http_request& request,
                                                  const http_responder& respond) {
    const bool is_transaction = request.path == "/internal/v1/transaction";
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(message, protocol::parse_execute_request(request.body));
            ++messages_in_flight;
            last_work = std::chrono::steady_clock::now();
            const auto done = [this, respond](const execute_answer& answer) {
                respond({200, to_text(answer), "application/json"});
                --messages_in_flight;
            };
            if (is_transaction) {
                transactions.handle(std::move(message), done);
            } else {
                home.handle(std::move(message), done);
            }
            return {};
        },
        [&](const state::state_error& error) { respond(make_text(400, error.message + "\n")); },
        [&] { respond(make_text(400, "the message cannot be parsed\n")); });
}

void proxy_server::implementation::run_maintenance() {
    std::unique_lock lock(mutex);
    for (int count = 1; !is_stopping; ++count) {
        stop_requested.wait_for(lock, tick, [this] { return is_stopping; });
        lock.unlock();
        const state::time_point now = std::chrono::steady_clock::now();
        runtime.expire_queues(now);
        if (count % ticks_per_transaction_check == 0) {
            transactions.expire(now);
        }
        if (count % ticks_per_maintenance == 0) {
            sessions.maintain();
            usage.set_live_members(fleet.get_view()->live_members.size());
        }
        lock.lock();
    }
}

void proxy_server::implementation::stop_maintenance() {
    {
        const std::scoped_lock lock(mutex);
        is_stopping = true;
    }
    stop_requested.notify_all();
    for (std::thread* thread : {&maintenance, &pruning}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
}

void proxy_server::implementation::wait_until_idle() {
    const state::time_point until = std::chrono::steady_clock::now() + settings.drain_timeout;
    while (std::chrono::steady_clock::now() < until) {
        if (entry.get_in_flight() == 0 && messages_in_flight == 0 && transactions.get_open() == 0 &&
            std::chrono::steady_clock::now() - last_work.load() >= drain_quiet_time) {
            return;
        }
        std::this_thread::sleep_for(drain_poll);
    }
    transport::log_event(event_drain_timeout,
                         {{"requests", std::to_string(entry.get_in_flight())},
                          {"messages", std::to_string(messages_in_flight.load())},
                          {"transactions", std::to_string(transactions.get_open())}});
}

proxy_server::proxy_server(protocol::proxy_settings settings, std::uint64_t incarnation)
    : implementation_(std::make_unique<implementation>(std::move(settings), incarnation)) {}

proxy_server::~proxy_server() = default;

void proxy_server::start() {
    implementation& self = *implementation_;
    self.audit.start();
    self.usage.start();
    self.fleet.start();
    self.server.start();
    self.maintenance = std::thread([&self] { self.run_maintenance(); });
    self.pruning = std::thread([&self] {
        std::unique_lock lock(self.mutex);
        while (!self.stop_requested.wait_for(lock, self.settings.prune_interval,
                                             [&self] { return self.is_stopping; })) {
            lock.unlock();
            self.home.prune_keys();
            lock.lock();
        }
    });
    transport::log_event(event_proxy_started, {{"vm", self.settings.vm},
                                               {"address", self.settings.listen_address},
                                               {"incarnation", std::to_string(self.incarnation)},
                                               {"version", HORNBEAMHOOK_VERSION}});
}

void proxy_server::drain_and_stop() {
    implementation& self = *implementation_;
    transport::log_event(event_proxy_draining, {{"vm", self.settings.vm}});
    self.is_unready = true;
    self.fleet.begin_drain();
    self.server.close_connections_after_answers();
    // The balancer goes on sending until it has seen that this proxy is not ready.
    std::this_thread::sleep_for(self.settings.balancer_grace);
    self.entry.begin_drain();
    self.runtime.begin_drain();
    self.wait_until_idle();
    self.server.stop();
    self.entry.stop();
    self.runtime.stop();
    self.fleet_workers.stop();
    self.stop_maintenance();
    self.fleet.stop();
    self.usage.stop();
    self.audit.stop();
    transport::log_event(event_proxy_stopped, {{"vm", self.settings.vm}});
}

}  // namespace hornbeamhook::proxy
