#include "proxy/entry_service.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include "protocol/statement_codec.h"
#include "proxy/data_events.h"
#include "state/json_reader.h"

namespace hornbeamhook::proxy {

namespace leaf = boost::leaf;

namespace {

using coordination::retry_decision;
using coordination::retry_step;
using coordination::route_candidate;
using protocol::caller_answer;
using protocol::caller_error;
using protocol::error_code;
using protocol::execute_answer;
using protocol::execute_operation;
using protocol::execute_request;
using state::outcome;
using std::chrono::milliseconds;

// The answer of a home travels back after its deadline; without this slack it would be lost.
constexpr milliseconds answer_slack{50};
constexpr milliseconds home_failure_pause{1000};
constexpr milliseconds overload_pause{200};
constexpr milliseconds connect_timeout{300};
// Requests beyond the threads wait here; more would only wait past their deadlines.
constexpr std::size_t queued_per_thread = 4;
// A caller that is refused again and again leaves one audit record per interval.
constexpr std::chrono::seconds audit_interval{10};
constexpr std::size_t max_audit_subjects = 1000;
constexpr std::string_view bearer = "Bearer ";

std::vector<std::string> split_path(const std::string& path) {
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin < path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        if (end > begin) {
            parts.push_back(path.substr(begin, end - begin));
        }
        begin = end + 1;
    }
    return parts;
}

leaf::error_id refuse(error_code code, std::string message) {
    return leaf::new_error(caller_error{code, std::move(message)});
}

bool is_transaction_step(execute_operation operation) {
    return operation == execute_operation::transaction_statements ||
           operation == execute_operation::commit || operation == execute_operation::rollback;
}

execute_answer make_lost_answer(const transport::transport_error& error) {
    execute_answer answer;
    // not_run only when no byte of the message left for the home.
    answer.outcome = error.was_sent ? outcome::unknown : outcome::not_run;
    answer.code = error.was_sent ? error_code::outcome_unknown : error_code::unavailable;
    answer.was_sent = error.was_sent;
    answer.message = "home: " + error.message;
    return answer;
}

milliseconds get_time_left(const entry_request& request) {
    return std::chrono::duration_cast<milliseconds>(request.attempt.deadline -
                                                    std::chrono::steady_clock::now());
}

}  // namespace

entry_service::entry_service(entry_parts parts)
    : parts_(parts),
      readers_(parts.settings.worker_threads, parts.settings.worker_threads * queued_per_thread),
      writers_(parts.settings.worker_threads, parts.settings.worker_threads * queued_per_thread) {}

entry_service::~entry_service() {
    stop();
}

void entry_service::stop() {
    timers_.stop();
    readers_.stop();
    writers_.stop();
}

void entry_service::audit_denial(const std::string& subject, const std::string& reason) {
    const state::time_point now = std::chrono::steady_clock::now();
    {
        const std::scoped_lock lock(mutex_);
        if (audited_.size() >= max_audit_subjects) {
            std::erase_if(audited_, [&](const auto& entry) { return entry.second <= now; });
        }
        state::time_point& until = audited_[subject + "\n" + reason];
        if (now < until) {
            return;
        }
        until = now + audit_interval;
    }
    parts_.audit.append({"access_denied", subject, reason, nlohmann::json::object()});
    transport::log_event(event_access_denied, {{"subject", subject}, {"reason", reason}});
}

leaf::result<const state::principal*> entry_service::authenticate(
    const state::configuration& config, const transport::http_request& request) {
    if (!request.authorization.starts_with(bearer)) {
        return refuse(error_code::unauthenticated, "header \"Authorization: Bearer\" is missing");
    }
    const state::principal* caller =
        config.find_caller(protocol::hash_text(request.authorization.substr(bearer.size())));
    if (caller == nullptr) {
        audit_denial("unknown caller", "credential not known");
        return refuse(error_code::unauthenticated, "the credential is not known");
    }
    return caller;
}

leaf::result<void> entry_service::authorise(const state::principal& caller, const std::string& pool,
                                            bool is_write) {
    if (!caller.is_allowed(pool, is_write)) {
        audit_denial(caller.name,
                     std::string(is_write ? "write" : "read") + " not allowed in pool " + pool);
        return refuse(error_code::forbidden, "caller \"" + caller.name + "\" may not " +
                                                 (is_write ? "write" : "read") + " in pool \"" +
                                                 pool + "\"");
    }
    return {};
}

leaf::result<void> entry_service::read_token(const state::configuration& config,
                                             const std::string& text, entry_request& result) {
    result.token.pool = result.pool;
    result.token.caller = result.caller;
    if (text.empty()) {
        return {};
    }
    BOOST_LEAF_ASSIGN(result.token, protocol::decode_session_token(text, result.pool, result.caller,
                                                                   config.token_keys));
    result.has_token = true;
    return {};
}

leaf::result<void> entry_service::read_pool_request(const state::configuration& config,
                                                    const transport::http_request& request,
                                                    const std::string& pool,
                                                    const std::string& action,
                                                    entry_request& result) {
    const state::pool_description* description = config.find_pool(pool);
    if (description == nullptr) {
        return refuse(error_code::unknown_pool, "pool \"" + pool + "\" does not exist");
    }
    result.pool = pool;
    if (action == "transactions") {
        result.operation = execute_operation::begin;
        BOOST_LEAF_ASSIGN(result.body, protocol::parse_begin_request(request.body));
    } else {
        BOOST_LEAF_ASSIGN(result.body, protocol::parse_statement_request(request.body));
        // The pool is part of the digest, so that a key cannot match a request to another pool.
        result.digest =
            protocol::hash_text(pool + "\n" + protocol::to_json(result.body.statements).dump());
    }
    result.policy = result.body.policy.value_or(description->default_read_policy);
    result.attempt.deadline =
        result.arrival + result.body.deadline.value_or(description->default_deadline);
    return read_token(config, result.body.token, result);
}

leaf::result<void> entry_service::read_transaction_request(const state::configuration& config,
                                                           const transport::http_request& request,
                                                           const std::string& id,
                                                           const std::string& action,
                                                           entry_request& result) {
    BOOST_LEAF_ASSIGN(result.transaction,
                      protocol::decode_transaction_id(id, result.caller, config.token_keys));
    result.pool = result.transaction.pool;
    const state::pool_description* description = config.find_pool(result.pool);
    if (description == nullptr) {
        return refuse(error_code::unknown_pool, "pool \"" + result.pool + "\" does not exist");
    }
    if (action == "statements") {
        result.operation = execute_operation::transaction_statements;
        BOOST_LEAF_ASSIGN(result.body, protocol::parse_transaction_statement_request(
                                           request.body, result.transaction.is_write));
    } else if (action == "commit") {
        result.operation = execute_operation::commit;
        BOOST_LEAF_ASSIGN(result.body, protocol::parse_commit_request(request.body));
    } else {
        result.operation = execute_operation::rollback;
        BOOST_LEAF_ASSIGN(result.body, protocol::parse_rollback_request(request.body));
    }
    result.body.is_write = result.transaction.is_write;
    result.digest = protocol::hash_text("commit\n" + id);
    result.attempt.deadline =
        result.arrival + result.body.deadline.value_or(description->default_deadline);
    return read_token(config, result.body.token, result);
}

leaf::result<entry_service::shared_request> entry_service::accept(
    const transport::http_request& request) {
    const std::shared_ptr<const state::fleet_view> view = parts_.groups.get_view();
    const state::configuration& config = *view->config;
    auto result = std::make_shared<entry_request>();
    result->arrival = std::chrono::steady_clock::now();
    if (config.version == 0) {
        return refuse(error_code::unavailable, "this proxy has no configuration yet");
    }
    BOOST_LEAF_AUTO(caller, authenticate(config, request));
    result->caller = caller->name;
    const std::vector<std::string> parts = split_path(request.path);
    const bool is_pool_path = parts.size() == 4 && parts[1] == "pools" &&
                              (parts[3] == "statements" || parts[3] == "transactions");
    const bool is_transaction_path =
        parts.size() == 4 && parts[1] == "transactions" &&
        (parts[3] == "statements" || parts[3] == "commit" || parts[3] == "rollback");
    if (request.method != "POST" || (!is_pool_path && !is_transaction_path)) {
        return refuse(error_code::bad_request,
                      "no such request: " + request.method + " " + request.path.substr(0, 80));
    }
    if (is_pool_path) {
        BOOST_LEAF_CHECK(read_pool_request(config, request, parts[2], parts[3], *result));
    } else {
        BOOST_LEAF_CHECK(read_transaction_request(config, request, parts[2], parts[3], *result));
    }
    BOOST_LEAF_CHECK(authorise(*caller, result->pool, result->body.is_write));
    // A transaction that is open is finished; everything else is new work.
    if (!is_transaction_path && is_draining_) {
        return refuse(error_code::draining, "this proxy is leaving");
    }
    if (!is_transaction_path && !view->is_configuration_confirmed) {
        return refuse(error_code::configuration_unconfirmed,
                      "this proxy cannot confirm its configuration");
    }
    result->attempt.is_write =
        result->body.is_write && result->operation != execute_operation::begin;
    result->attempt.is_keyed = !result->body.idempotency_key.empty();
    return result;
}

void entry_service::handle(const transport::http_request& request,
                           transport::http_responder respond) {
    if (request.body.size() > parts_.settings.max_request_bytes) {
        caller_answer answer;
        answer.code = error_code::too_large;
        answer.message =
            "body: more than " + std::to_string(parts_.settings.max_request_bytes) + " bytes";
        respond(to_response(answer));
        return;
    }
    // not_run: a request that is not accepted was not routed to any home.
    const auto refuse_with = [&](const caller_error& error) {
        caller_answer answer;
        answer.code = error.code;
        answer.message = error.message;
        answer.configuration_version = parts_.groups.get_view()->config->version;
        parts_.metrics.record({.outcome = answer.outcome, .code = answer.code});
        respond(to_response(answer));
    };
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(accepted, accept(request));
            accepted->respond = [respond](const caller_answer& answer) {
                respond(to_response(answer));
            };
            ++in_flight_;
            {
                const std::scoped_lock lock(mutex_);
                budget_.count_request(accepted->arrival);
            }
            submit(accepted);
            return {};
        },
        refuse_with,
        [&] {
            refuse_with({error_code::bad_request, "the request cannot be parsed"});
        });
}

void entry_service::submit(const shared_request& request) {
    transport::worker_pool& pool = request->body.is_write ? writers_ : readers_;
    if (!pool.try_submit([this, request] { run(request); })) {
        // not_run (or unknown after an earlier send): this send does not take place.
        const retry_decision decision =
            coordination::give_up(request->attempt, error_code::overloaded);
        finish(request, decision.outcome, decision.code);
    }
}

void entry_service::run(const shared_request& request) {
    if (std::chrono::steady_clock::now() >= request->attempt.deadline) {
        const retry_decision decision = coordination::expire(request->attempt);
        finish(request, decision.outcome, decision.code);
        return;
    }
    if (is_transaction_step(request->operation)) {
        step_transaction(request);
    } else {
        step(request);
    }
}

void entry_service::step(const shared_request& request) {
    const state::time_point now = std::chrono::steady_clock::now();
    const std::shared_ptr<const state::fleet_view> view = get_routing_view(request->pool);
    coordination::route_request wanted;
    wanted.pool = request->pool;
    wanted.is_write = request->body.is_write;
    wanted.must_use_primary =
        request->is_primary_preferred ||
        (request->policy.policy == state::read_policy::kind::own_writes && !request->has_token);
    wanted.required = request->token.point;
    wanted.avoided = avoided_.get(now);
    wanted.avoided.insert(request->avoided.begin(), request->avoided.end());
    wanted.tie_break_seed = next_exchange_++;
    const std::vector<route_candidate> route = coordination::plan_route(*view, wanted);
    if (route.empty()) {
        request->attempt = coordination::record_no_route(request->attempt);
        apply(request, coordination::decide_without_route(request->attempt, now));
        return;
    }
    send(request, route.front());
}

std::shared_ptr<const state::fleet_view> entry_service::get_routing_view(
    const std::string& pool) const {
    std::shared_ptr<const state::fleet_view> view = parts_.groups.get_view();
    const state::pool_description* description = view->config->find_pool(pool);
    if (parts_.settings.layout == protocol::connection_layout::homes || description == nullptr) {
        return view;
    }
    // With a fixed split every proxy serves every target itself.
    auto split = std::make_shared<state::fleet_view>(*view);
    for (const state::target_description& target : description->targets) {
        split->homes[pool + "/" + target.name] = {view->self};
    }
    return split;
}

milliseconds entry_service::get_send_deadline(const entry_request& request) const {
    const milliseconds left = std::max(milliseconds(1), get_time_left(request));
    return coordination::get_send_timeout(request.attempt, left);
}

execute_request entry_service::make_message(const entry_request& request, const std::string& target,
                                            milliseconds deadline) {
    execute_request message;
    message.exchange_id = parts_.settings.vm + "/" + std::to_string(parts_.incarnation) + "/" +
                          std::to_string(next_exchange_++);
    message.operation = request.operation;
    message.pool = request.pool;
    message.target = target;
    message.caller = request.caller;
    message.is_write = request.body.is_write;
    message.statements = request.body.statements;
    message.policy = request.policy;
    message.must_be_fresh =
        request.token.is_uncertain ||
        (request.policy.policy == state::read_policy::kind::own_writes && !request.has_token);
    message.required = request.token.point;
    message.idempotency_key = request.body.idempotency_key;
    message.digest = request.digest;
    message.deadline = deadline;
    message.incarnation = request.transaction.incarnation;
    message.transaction = request.transaction.number;
    return message;
}

void entry_service::send(const shared_request& request, const route_candidate& candidate) {
    const milliseconds deadline = get_send_deadline(*request);
    const execute_request message = make_message(*request, candidate.target, deadline);
    request->attempt = coordination::record_send(request->attempt);
    const bool is_begin = request->operation == execute_operation::begin;
    if (candidate.is_self) {
        const auto done = [this, request, candidate](execute_answer answer) {
            on_answer(request, candidate, std::move(answer));
        };
        if (is_begin) {
            parts_.transactions.handle(message, done);
        } else {
            parts_.home.handle(message, done);
        }
        return;
    }
    call_home(request, candidate.home.address,
              is_begin ? "/internal/v1/transaction" : "/internal/v1/execute", message, deadline,
              [this, request, candidate](execute_answer answer) {
                  on_answer(request, candidate, std::move(answer));
              });
}

void entry_service::call_home(const shared_request& /*request*/, const std::string& address,
                              const std::string& path, const execute_request& message,
                              milliseconds timeout,
                              const std::function<void(execute_answer)>& done) {
    const transport::http_call call{.method = "POST",
                                    .address = parts_.settings.get_dial_address(address),
                                    .target = path,
                                    .body = to_text(message),
                                    .fleet_secret = parts_.settings.fleet_secret,
                                    .timeout = timeout + answer_slack,
                                    .connect_timeout = std::min(connect_timeout, timeout)};
    execute_answer lost;  // Whatever cannot be read may have been run by the home.
    lost.outcome = outcome::unknown;
    lost.code = error_code::outcome_unknown;
    lost.was_sent = true;
    execute_answer answer = leaf::try_handle_all(
        [&]() -> leaf::result<execute_answer> {
            BOOST_LEAF_AUTO(response, client_.call(call));
            BOOST_LEAF_AUTO(parsed, protocol::parse_execute_answer(response.body));
            if (parsed.exchange_id != message.exchange_id) {
                transport::log_event(event_exchange_mismatch, {{"sent", message.exchange_id},
                                                               {"received", parsed.exchange_id}});
                lost.message = "the answer belongs to another exchange";
                return lost;
            }
            return parsed;
        },
        [&](const transport::transport_error& error) { return make_lost_answer(error); },
        [&](const state::state_error& error) {
            lost.message = error.message;
            return lost;
        },
        [&] { return lost; });
    done(std::move(answer));
}

void entry_service::on_answer(const shared_request& request, const route_candidate& candidate,
                              execute_answer answer) {
    const state::time_point now = std::chrono::steady_clock::now();
    if (answer.primary) {
        parts_.groups.report_primary(request->pool, *answer.primary);
    }
    const bool was_lost = answer.exchange_id.empty();
    if (was_lost) {
        avoided_.add(candidate.home.vm, home_failure_pause, now);
    }
    if (answer.outcome != outcome::ok) {
        request->avoided.insert(was_lost || answer.code == error_code::not_home ||
                                        answer.code == error_code::draining
                                    ? candidate.home.vm
                                    : candidate.target);
    }
    if (answer.code == error_code::overloaded && !request->body.is_write) {
        avoided_.add(candidate.target, overload_pause, now);
    }
    request->is_primary_preferred = request->is_primary_preferred || answer.is_behind;
    if (request->operation == execute_operation::begin && answer.outcome == outcome::ok) {
        request->transaction = {candidate.home.vm,     candidate.home.address, answer.incarnation,
                                answer.transaction,    request->pool,          request->caller,
                                request->body.is_write};
    }
    const coordination::send_result result{answer.outcome, answer.code, answer.was_sent,
                                           answer.is_behind};
    auto [attempt, decision] =
        coordination::decide_after_send(request->attempt, result, now, get_jitter());
    if (request->operation == execute_operation::begin && answer.outcome == outcome::unknown) {
        // A transaction that may have been opened ends by its idle timeout and had no statement.
        decision = coordination::give_up({}, error_code::unavailable);
    }
    request->attempt = attempt;
    request->last = std::move(answer);
    apply(request, decision);
}

bool entry_service::try_take_retry() {
    const std::scoped_lock lock(mutex_);
    return budget_.try_take(std::chrono::steady_clock::now());
}

double entry_service::get_jitter() {
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return std::uniform_real_distribution<double>(0.0, 1.0)(generator);
}

void entry_service::apply(const shared_request& request, const retry_decision& decision) {
    if (decision.step == retry_step::finish) {
        finish(request, decision.outcome, decision.code);
        return;
    }
    if (decision.needs_budget && !try_take_retry()) {
        const error_code code = request->last.code == error_code::outcome_unknown
                                    ? error_code::unavailable
                                    : request->last.code;
        const retry_decision end = coordination::give_up(request->attempt, code);
        finish(request, end.outcome, end.code);
        return;
    }
    if (request->attempt.sends > 0) {
        parts_.metrics.record_retry(request->last.code);
    }
    schedule(request, decision.pause);
}

void entry_service::schedule(const shared_request& request, milliseconds pause) {
    // Answers arrive on threads of the home, which must not be used for calls to other homes.
    if (pause.count() == 0) {
        submit(request);
        return;
    }
    timers_.schedule(std::chrono::steady_clock::now() + pause,
                     [this, request] { submit(request); });
}

void entry_service::step_transaction(const shared_request& request) {
    const milliseconds deadline = std::max(milliseconds(1), get_time_left(*request));
    const execute_request message = make_message(*request, "", deadline);
    request->attempt = coordination::record_send(request->attempt);
    const auto done = [this, request](execute_answer answer) {
        on_transaction_answer(request, std::move(answer));
    };
    if (request->transaction.home_vm == parts_.settings.vm) {
        parts_.transactions.handle(message, done);
        return;
    }
    call_home(request, request->transaction.home_address, "/internal/v1/transaction", message,
              deadline, done);
}

void entry_service::on_transaction_answer(const shared_request& request, execute_answer answer) {
    if (answer.primary) {
        parts_.groups.report_primary(request->pool, *answer.primary);
    }
    const bool is_commit = request->operation == execute_operation::commit;
    const bool is_open = answer.outcome == outcome::unknown ||
                         answer.code == error_code::transaction_gone ||
                         answer.code == error_code::unavailable;
    if (is_commit && request->body.is_write && request->attempt.is_keyed &&
        answer.outcome != outcome::ok && is_open) {
        // The key tells at the current primary whether this commit, or an earlier one, took effect.
        request->operation = execute_operation::resolve_commit;
        request->attempt.may_have_run = true;
        request->last = std::move(answer);
        schedule(request, milliseconds(0));
        return;
    }
    outcome end = answer.outcome;
    error_code code = answer.code;
    if (request->operation == execute_operation::rollback && end == outcome::unknown) {
        // Nobody asked for a commit, so the transaction can only end in a rollback.
        end = outcome::ok;
        code = error_code::ok;
    }
    request->last = std::move(answer);
    finish(request, end, code);
}

void entry_service::finish(const shared_request& request, outcome end, error_code code) {
    const std::shared_ptr<const state::fleet_view> view = parts_.groups.get_view();
    const state::configuration& config = *view->config;
    const execute_answer& last = request->last;
    const bool is_write = request->body.is_write;
    caller_answer answer;
    answer.outcome = end;
    answer.code = code;
    answer.configuration_version = config.version;
    protocol::session_token token = request->token;
    bool has_token = false;
    if (end == outcome::ok) {
        answer.results = last.results;
        answer.target = last.target;
        answer.is_primary = last.is_primary;
        token = protocol::advance_token(token, last.point);
        token = protocol::resolve_uncertain(token, request->body.idempotency_key);
        // A rollback or a statement of a transaction sees no point of the log. A token for the
        // start of the log would replace the session's own token with one that demands nothing.
        has_token = token.point != state::log_point{} || token.is_uncertain;
    } else {
        answer.message = last.message.empty() ? std::string(to_string(code)) : last.message;
        // A statement of an open transaction has no effect before the commit.
        if (end == outcome::unknown && request->attempt.is_write &&
            request->operation != execute_operation::transaction_statements) {
            token = protocol::mark_uncertain(token, request->body.idempotency_key);
            has_token = true;
            transport::log_event(
                event_outcome_unknown,
                {{"pool", request->pool}, {"caller", request->caller}, {"message", last.message}});
        }
    }
    static_cast<void>(leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            if (has_token) {
                BOOST_LEAF_ASSIGN(answer.token,
                                  protocol::encode_session_token(token, config.token_keys));
            }
            if (end == outcome::ok && request->operation == execute_operation::begin) {
                BOOST_LEAF_ASSIGN(answer.transaction, protocol::encode_transaction_id(
                                                          request->transaction, config.token_keys));
            }
            return true;
        },
        [&](const caller_error& error) {
            // The request ended as said; only the session cannot go on without a key.
            answer.message = error.message;
            return false;
        },
        [] { return false; }));
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now() - request->arrival);
    const bool is_replica = end == outcome::ok && !is_write && !last.is_primary;
    parts_.metrics.record({is_write, end, code, latency, end == outcome::ok, is_replica});
    parts_.usage.record({request->pool, request->caller, !is_write, is_replica,
                         end == outcome::not_run ? std::string(to_string(code)) : std::string(),
                         end == outcome::unknown, latency});
    request->respond(std::move(answer));
    --in_flight_;
}

}  // namespace hornbeamhook::proxy
