#include "load/session.h"

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>
#include <vector>

namespace hornbeamhook::load {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int first_backoff_ms = 10;
constexpr int max_backoff_ms = 200;
constexpr int max_amount = 9;

std::vector<double> get_weights(const workload& mix) {
    std::vector<double> weights;
    for (const workload_operation& operation : mix.operations) {
        weights.push_back(operation.weight);
    }
    return weights;
}

std::int64_t to_integer(const std::string& text) {
    return std::strtoll(text.c_str(), nullptr, 10);
}

nlohmann::json to_json(const state::read_policy& policy) {
    switch (policy.policy) {
        case state::read_policy::kind::strict:
            return {{"strict", true}};
        case state::read_policy::kind::max_age:
            return {{"max_age_ms", policy.max_age.count()}};
        case state::read_policy::kind::own_writes:
            break;
    }
    return {{"own_writes", true}};
}

/** The signed part of a token for a description, or all of it when it has another form. */
std::string get_token_payload(const std::string& token) {
    const std::size_t first = token.find('.');
    const std::size_t last = token.rfind('.');
    return first == last ? token : token.substr(first + 1, last - first - 1);
}

std::string get_statements_path(const std::string& pool) {
    return "/v1/pools/" + pool + "/statements";
}

}  // namespace

session::session(std::uint32_t number, const load_settings& settings, const load_tables& tables,
                 caller_client& client, proxy_directory& proxies, progress_counters& progress)
    : number_(number),
      settings_(settings),
      tables_(tables),
      client_(client),
      proxies_(proxies),
      progress_(progress),
      random_(settings.seed * 1'000'003 + number) {
    const std::vector<double> weights = get_weights(settings.mix);
    mix_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    own_proxy_ = number % settings.proxies.size();
}

void session::run_operation(time_point scheduled) {
    std::size_t index = 0;
    const workload_operation& operation = choose_operation(index);
    const std::string& pool = settings_.pools[random_() % settings_.pools.size()];
    const time_point give_up_at = steady_clock::now() + settings_.retry_timeout;
    operation_sample sample;
    if (operation.is_read()) {
        sample = run_read(operation, pool, give_up_at);
    } else if (operation.action == operation_action::transfer) {
        sample = run_transfer(operation, pool, give_up_at);
    } else {
        sample = run_write(operation, pool, give_up_at);
    }
    sample.operation = index;
    sample.scheduled = scheduled;
    sample.end = steady_clock::now();
    if (sample.outcome == write_outcome::acknowledged) {
        ++progress_.completed;
    }
    statistics_.samples.push_back(sample);
}

const workload_operation& session::choose_operation(std::size_t& index) {
    index = mix_(random_);
    return settings_.mix.operations[index];
}

std::string session::make_marker() {
    return settings_.run + "s" + std::to_string(number_) + "m" + std::to_string(next_marker_++);
}

std::size_t session::choose_proxy() {
    const bool is_roaming =
        std::uniform_real_distribution<>(0, 1)(random_) < settings_.mix.roam_share;
    const std::size_t wanted = is_roaming ? random_() % proxies_.get_size() : own_proxy_;
    return proxies_.find_usable(wanted, steady_clock::now());
}

void session::leave_proxy(std::size_t proxy, const api_answer& answer) {
    if (answer.code.starts_with("transport_") || answer.code == "draining" ||
        answer.code == "configuration_unconfirmed") {
        proxies_.avoid(proxy, steady_clock::now());
    }
}

session::attempt session::send(const std::string& pool, const std::string& path,
                               nlohmann::json body, const std::string& expected_echo,
                               bool is_in_transaction) {
    body["deadline_ms"] = settings_.deadline.count();
    const std::size_t index = choose_proxy();
    const proxy_endpoint& proxy = proxies_.get(index);
    attempt result;
    result.details = proxy.name + " token " + get_token_payload(body.value("token", ""));
    result.begin = steady_clock::now();
    result.answer = client_.post(proxy.address, path, body, settings_.deadline);
    result.end = steady_clock::now();
    const api_answer& answer = result.answer;
    // Requests within a transaction take no token, so their answers cannot build on the session's.
    if (!answer.token.empty() && (body.contains("token") || !tokens_.contains(pool))) {
        tokens_[pool] = answer.token;
    }
    result.details += " served by " + answer.target + " token " + get_token_payload(answer.token);
    if (answer.is_ok()) {
        history_.answers.push_back({proxy.name, pool, result.begin, result.end, expected_echo,
                                    expected_echo.empty() ? "" : answer.get_echo(), answer.target,
                                    is_in_transaction, answer.configuration_version});
    } else {
        count(answer);
        leave_proxy(index, answer);
    }
    return result;
}

void session::count(const api_answer& answer) {
    const bool is_refused = answer.outcome == state::outcome::not_run;
    (is_refused ? statistics_.refusals : statistics_.unknowns)[answer.code] += 1;
    statistics_.messages.emplace(answer.code, answer.message);
    (is_refused ? progress_.refused : progress_.unknown) += 1;
}

bool session::wait_before_retry(time_point give_up_at, int attempts) {
    const int limit = std::min(first_backoff_ms << std::min(attempts, 5), max_backoff_ms);
    const milliseconds wait(std::uniform_int_distribution<>(limit / 2, limit)(random_));
    if (steady_clock::now() + wait >= give_up_at) {
        return false;
    }
    std::this_thread::sleep_for(wait);
    return true;
}

write_record session::make_write(const workload_operation& operation, const std::string& pool) {
    write_record record;
    record.session = number_;
    record.pool = pool;
    record.kind = operation.name;
    record.marker = make_marker();
    record.is_keyed = operation.is_keyed;
    record.begin = steady_clock::now();
    record.outcome = write_outcome::not_run;
    if (operation.action == operation_action::adjust) {
        record.item = load_tables::get_item(static_cast<int>(random_() % settings_.mix.items));
    }
    return record;
}

bool session::attempt_write(const workload_operation& operation, write_record& record,
                            bool& may_repeat) {
    nlohmann::json body{{"kind", "write"}};
    body["statements"] = operation.action == operation_action::adjust
                             ? tables_.make_adjust(record.marker, record.item)
                             : tables_.make_append(record.marker);
    if (record.is_keyed) {
        body["idempotency_key"] = record.marker;
    }
    if (const auto token = tokens_.find(record.pool); token != tokens_.end()) {
        body["token"] = token->second;
    }
    const attempt done =
        send(record.pool, get_statements_path(record.pool), std::move(body), record.marker, false);
    record.end = done.end;
    record.attempts.push_back(done.answer.code + " via " + done.details);
    if (done.answer.is_ok()) {
        record.outcome = write_outcome::acknowledged;
        record.version =
            done.answer.results.empty() ? 0 : to_integer(done.answer.results.back().get_cell(0, 1));
        return true;
    }
    if (done.answer.outcome == state::outcome::unknown) {
        record.outcome = write_outcome::unknown;
        may_repeat = record.is_keyed;
        return false;
    }
    // After an unknown attempt only the same key may be repeated, whatever a later refusal says.
    may_repeat = settings_.are_refusals_repeated && done.answer.is_retry_allowed;
    return false;
}

operation_sample session::run_write(const workload_operation& operation, const std::string& pool,
                                    time_point give_up_at) {
    operation_sample sample;
    write_record record = make_write(operation, pool);
    for (int attempts = 0;; ++attempts) {
        bool may_repeat = false;
        const bool is_done = attempt_write(operation, record, may_repeat);
        if (is_done || !may_repeat || !wait_before_retry(give_up_at, attempts)) {
            break;
        }
        if (record.outcome == write_outcome::not_run) {
            // A request told not_run must leave no trace, so the repetition is a new request.
            history_.writes.push_back(std::move(record));
            record = make_write(operation, pool);
        }
    }
    sample.outcome = record.outcome;
    if (record.outcome == write_outcome::acknowledged) {
        last_entries_[pool] = record.marker;
    }
    history_.writes.push_back(std::move(record));
    return sample;
}

operation_sample session::run_read(const workload_operation& operation, const std::string& pool,
                                   time_point give_up_at) {
    operation_sample sample;
    sample.outcome = write_outcome::not_run;
    std::string key;
    if (operation.action == operation_action::read_stock) {
        key = load_tables::get_item(static_cast<int>(random_() % settings_.mix.items));
    } else if (operation.action == operation_action::read_entry) {
        key = last_entries_[pool];
    }
    for (int attempts = 0;; ++attempts) {
        const std::string echo = make_marker();
        nlohmann::json body{{"kind", "read"}, {"read_policy", to_json(operation.policy)}};
        body["statements"] =
            operation.action == operation_action::read_stock   ? tables_.make_read_stock(echo, key)
            : operation.action == operation_action::read_entry ? tables_.make_read_entry(echo, key)
                                                               : tables_.make_read_sum(echo);
        if (const auto token = tokens_.find(pool); token != tokens_.end()) {
            body["token"] = token->second;
        }
        const attempt done = send(pool, get_statements_path(pool), std::move(body), echo, false);
        if (done.answer.is_ok()) {
            record_read(operation, pool, key, done);
            sample.outcome = write_outcome::acknowledged;
            sample.is_by_replica = done.answer.is_by_replica;
            return sample;
        }
        const bool may_repeat = settings_.are_refusals_repeated && done.answer.is_retry_allowed;
        if (!may_repeat || !wait_before_retry(give_up_at, attempts)) {
            return sample;
        }
    }
}

void session::record_read(const workload_operation& operation, const std::string& pool,
                          const std::string& key, const attempt& done) {
    read_record record;
    record.session = number_;
    record.pool = pool;
    record.kind = operation.name;
    record.policy = operation.policy;
    record.key = key;
    record.begin = done.begin;
    record.end = done.end;
    record.is_by_replica = done.answer.is_by_replica;
    record.details = done.details;
    if (done.answer.results.empty()) {
        return;
    }
    const api_result& result = done.answer.results.back();
    record.value = to_integer(result.get_cell(0, 1));
    if (operation.action == operation_action::read_stock) {
        record.marker = result.get_cell(0, 2);
    } else {
        record.subject = operation.action == operation_action::read_entry
                             ? read_subject::entry_count
                             : read_subject::balance_sum;
    }
    history_.reads.push_back(std::move(record));
}

operation_sample session::run_transfer(const workload_operation&, const std::string& pool,
                                       time_point give_up_at) {
    operation_sample sample;
    sample.outcome = write_outcome::not_run;
    for (int attempts = 0;; ++attempts) {
        transaction_record record;
        record.session = number_;
        record.pool = pool;
        record.marker = make_marker();
        record.outcome = write_outcome::not_run;
        nlohmann::json body{{"kind", "write"}};
        if (const auto token = tokens_.find(pool); token != tokens_.end()) {
            body["token"] = token->second;
        }
        const attempt begun =
            send(pool, "/v1/pools/" + pool + "/transactions", std::move(body), "", true);
        record.begin = begun.begin;
        record.end = begun.end;
        bool is_complete = false;
        if (begun.answer.is_ok()) {
            is_complete = run_legs(begun.answer.transaction, record);
            if (is_complete) {
                end_transaction(begun.answer.transaction, record, give_up_at);
            } else {
                send(pool, "/v1/transactions/" + begun.answer.transaction + "/rollback",
                     nlohmann::json::object(), "", true);
            }
            history_.transactions.push_back(record);
        }
        sample.outcome = record.outcome;
        // A rollback on purpose is complete too; its outcome says that nothing ran.
        if (is_complete && record.outcome != write_outcome::unknown) {
            sample.outcome = write_outcome::acknowledged;
            return sample;
        }
        if (record.outcome == write_outcome::unknown || !settings_.are_refusals_repeated ||
            !wait_before_retry(give_up_at, attempts)) {
            return sample;
        }
    }
}

bool session::run_legs(const std::string& id, transaction_record& record) {
    const std::string path = "/v1/transactions/" + id + "/statements";
    const int balances = settings_.mix.balances;
    const int first = static_cast<int>(random_() % balances);
    const int second = (first + 1 + static_cast<int>(random_() % (balances - 1))) % balances;
    const int amount = 1 + static_cast<int>(random_() % max_amount);
    // All transactions lock balances in the same order, so that they never wait for each other.
    for (const int balance : {std::min(first, second), std::max(first, second)}) {
        const int delta = balance == first ? -amount : amount;
        nlohmann::json body;
        body["statements"] =
            tables_.make_leg(record.marker, load_tables::get_balance(balance), delta);
        if (!send(record.pool, path, std::move(body), record.marker, true).answer.is_ok()) {
            return false;
        }
    }
    const std::string echo = make_marker();
    nlohmann::json body;
    body["statements"] = tables_.make_read_back(echo, record.marker);
    const attempt done = send(record.pool, path, std::move(body), echo, true);
    if (!done.answer.is_ok() || done.answer.results.empty()) {
        return false;
    }
    const api_result& result = done.answer.results.back();
    record.has_foreign_rows = result.get_cell(0, 1) != "2" || result.get_cell(0, 2) != "2";
    return true;
}

void session::end_transaction(const std::string& id, transaction_record& record,
                              time_point give_up_at) {
    const std::string path = "/v1/transactions/" + id;
    if (std::uniform_real_distribution<>(0, 1)(random_) < settings_.mix.roll_back_share) {
        send(record.pool, path + "/rollback", nlohmann::json::object(), "", true);
        return;
    }
    for (int attempts = 0;; ++attempts) {
        const attempt done =
            send(record.pool, path + "/commit", {{"idempotency_key", record.marker}}, "", true);
        record.end = done.end;
        if (done.answer.is_ok()) {
            record.outcome = write_outcome::acknowledged;
            return;
        }
        if (done.answer.outcome == state::outcome::unknown) {
            record.outcome = write_outcome::unknown;
        }
        if (!done.answer.is_retry_allowed || !wait_before_retry(give_up_at, attempts)) {
            return;
        }
    }
}

}  // namespace hornbeamhook::load
