#include "gateway/store_client.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "gateway/change_propagation.h"
#include "gateway/gateway_events.h"

namespace hornbeamhook::gateway {

namespace {

using transport::http_exchange_answer;
using transport::http_exchange_request;

/// After a failed direct call, calls are relayed first for this long, so that a store that does not
/// answer does not delay each call.
constexpr std::int64_t direct_backoff_ms = 2000;
/// Two reads at the interval that leases need, 700 ms, and a delay.
constexpr std::int64_t availability_timeout_ms = 1500;
constexpr int status_unavailable = 503;
constexpr int status_limited = 429;
constexpr int status_bad_request = 400;

bool is_safe_to_resend(const http_exchange_answer& answer) {
    return answer.status == status_unavailable || answer.status == status_limited ||
           (answer.status == 0 && !answer.error.was_sent);
}

/**
 * The store's answer as another VM passed it on. A malformed one counts as no answer to a call that
 * may have been executed.
 */
http_exchange_answer parse_relayed_answer(const std::string& text) {
    const nlohmann::json reply = nlohmann::json::parse(text, nullptr, false);
    http_exchange_answer answer;
    try {
        answer.status = reply.at("status");
        answer.body = reply.at("body");
        answer.error.was_sent = reply.at("was_sent");
        // VMs of an earlier release pass on no headers.
        const nlohmann::json headers = reply.value("headers", nlohmann::json::object());
        for (const auto& [name, value] : headers.items()) {
            answer.headers.push_back({name, value});
        }
    } catch (const nlohmann::json::exception& error) {
        answer = {};
        answer.error = {transport::transport_failure::invalid, true, error.what()};
    }
    return answer;
}

bool is_store_response(const http_exchange_answer& answer) {
    return answer.status != 0 && answer.status != status_unavailable &&
           answer.status != status_limited;
}

}  // namespace

/** One read that may be sent directly, on a new connection and through a relay. */
struct store_client::hedged_read {
    callback done;
    int open_requests = 0;
    bool is_hedged = false;  ///< The other requests were sent.
    std::unique_ptr<transport::loop_timer> timer;
    http_exchange_answer last;

    void finish(const http_exchange_answer& answer) {
        // The timer's callback holds a reference to this object.
        timer.reset();
        if (const callback callback_once = std::exchange(done, nullptr)) {
            callback_once(answer);
        }
    }
};

store_client::store_client(transport::event_loop& loop, const transport::endpoint& store,
                           bounded_log& log, gateway_counters& counters)
    : loop_(loop), direct_(loop, store), channels_(loop), log_(log), counters_(counters) {}

bool store_client::is_store_available() const {
    return last_response_at_ != 0 &&
           transport::get_boot_time() - last_response_at_ < availability_timeout_ms;
}

bool store_client::is_direct_backing_off() const {
    return last_failure_at_ != 0 &&
           transport::get_boot_time() - last_failure_at_ < direct_backoff_ms;
}

void store_client::update_availability(const http_exchange_answer& answer) {
    const std::int64_t now = transport::get_boot_time();
    if (is_store_response(answer)) {
        last_response_at_ = now;
        last_failure_at_ = 0;
        if (std::exchange(is_lost_, false)) {
            log_.write(event_store_regained, {});
        }
        return;
    }
    last_failure_at_ = now;
    if (!std::exchange(is_lost_, true)) {
        log_.write(event_store_lost, {{"status", std::to_string(answer.status)},
                                      {"reason", answer.error.message},
                                      {"served_ms_ago", std::to_string(now - last_response_at_)}});
    }
}

void store_client::send_direct(const http_exchange_request& request, callback done) {
    counters_.store_calls.Increment();
    direct_.send(request, [this, done = std::move(done)](const http_exchange_answer& answer) {
        update_availability(answer);
        done(answer);
    });
}

void store_client::send_relayed(const http_exchange_request& request, callback done) {
    const transport::endpoint relay = relays_[next_relay_++ % relays_.size()];
    const nlohmann::json body{{"method", request.method},
                              {"path", request.path},
                              {"body", request.body},
                              {"timeout_ms", request.timeout_ms}};
    channels_.get(relay).send({.method = "POST",
                               .path = "/internal/v1/store",
                               .headers = {},
                               .body = body.dump(),
                               .timeout_ms = request.timeout_ms + relay_overhead_ms},
                              [done = std::move(done)](const http_exchange_answer& answer) {
                                  constexpr int status_ok = 200;
                                  http_exchange_answer inner;
                                  inner.error = answer.error;
                                  if (answer.status == status_ok) {
                                      inner = parse_relayed_answer(answer.body);
                                  }
                                  done(inner);
                              });
}

void store_client::read(const http_exchange_request& request, callback done) {
    const auto shared = std::make_shared<hedged_read>();
    shared->done = std::move(done);
    const auto on_answer = [shared](const http_exchange_answer& answer) {
        --shared->open_requests;
        if (is_store_response(answer) || shared->open_requests == 0) {
            shared->finish(answer);
        }
    };
    shared->open_requests = 1;
    const bool is_relayed_first = is_direct_backing_off() && !relays_.empty();
    const auto send_on_new_connection = [this, shared, request, on_answer] {
        ++shared->open_requests;
        http_exchange_request again = request;
        again.is_connection_new = true;
        send_direct(again, on_answer);
    };
    const auto send_through_relay = [this, shared, request, on_answer] {
        if (!relays_.empty()) {
            ++shared->open_requests;
            send_relayed(request, on_answer);
        }
    };
    // All connections to the store may have gone silent at once, also those of the relay.
    shared->timer = std::make_unique<transport::loop_timer>(loop_);
    shared->timer->start(store_hedge_delay_ms, 0,
                         [shared, is_relayed_first, send_on_new_connection, send_through_relay] {
                             if (shared->done && !std::exchange(shared->is_hedged, true)) {
                                 send_on_new_connection();
                                 if (!is_relayed_first) {
                                     send_through_relay();
                                 }
                             }
                         });
    if (is_relayed_first) {
        send_relayed(request, on_answer);
        return;
    }
    send_direct(request,
                [shared, on_answer, send_through_relay](const http_exchange_answer& answer) {
                    if (!is_store_response(answer) && shared->open_requests == 1 &&
                        !std::exchange(shared->is_hedged, true)) {
                        send_through_relay();
                    }
                    on_answer(answer);
                });
}

void store_client::watch(const http_exchange_request& request, callback done) {
    if (is_direct_backing_off() && !relays_.empty()) {
        send_relayed(request, std::move(done));
    } else {
        send_direct(request, std::move(done));
    }
}

void store_client::change(const http_exchange_request& request, callback done) {
    const bool is_relayed_first = is_direct_backing_off() && !relays_.empty();
    const auto send_first = [&](callback first) {
        if (is_relayed_first) {
            send_relayed(request, std::move(first));
        } else {
            send_direct(request, std::move(first));
        }
    };
    send_first([this, request, is_relayed_first,
                done = std::move(done)](const http_exchange_answer& answer) {
        if (!is_safe_to_resend(answer) || (!is_relayed_first && relays_.empty())) {
            done(answer);
        } else if (is_relayed_first) {
            send_direct(request, done);
        } else {
            send_relayed(request, done);
        }
    });
}

void store_client::serve_relayed(const transport::http_call& call,
                                 const transport::http_listener::responder& respond) {
    const nlohmann::json body = nlohmann::json::parse(call.body, nullptr, false);
    http_exchange_request request;
    try {
        request = {.method = body.at("method"),
                   .path = body.at("path"),
                   .headers = {},
                   .body = body.value("body", std::string()),
                   .timeout_ms = body.value("timeout_ms", std::int64_t{store_hedge_delay_ms})};
    } catch (const nlohmann::json::exception&) {
        respond({.status = status_bad_request, .body = "{}"});
        return;
    }
    send_direct(request, [respond](const http_exchange_answer& answer) {
        nlohmann::json headers = nlohmann::json::object();
        for (const transport::http_header& header : answer.headers) {
            headers[header.name] = header.value;
        }
        respond({.status = 200,
                 .body = nlohmann::json{{"status", answer.status},
                                        {"body", answer.body},
                                        {"was_sent", answer.error.was_sent},
                                        {"headers", headers}}
                             .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)});
    });
}

}  // namespace hornbeamhook::gateway
