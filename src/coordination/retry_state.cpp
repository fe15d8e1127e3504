#include "coordination/retry_state.h"

#include <algorithm>

namespace hornbeamhook::coordination {

namespace {

using protocol::error_code;
using state::outcome;
using std::chrono::milliseconds;

// Short, because looking at the local view again is cheap and a newly adopted primary is used soon.
constexpr milliseconds route_pause{10};
// A home that refuses by its own view causes no work at a target, but the rate of retries is still
// bounded.
constexpr int refusal_pause_min_ms = 20;
constexpr int refusal_pause_max_ms = 100;
constexpr int retry_pause_ms = 10;
// A shorter time is not divided: half of it would be too short for one exchange between regions.
constexpr milliseconds min_divided_time{100};

bool is_refusal(error_code code) {
    return code == error_code::no_primary || code == error_code::not_home ||
           code == error_code::draining;
}

milliseconds get_refusal_pause(int refusals, error_code code, double jitter) {
    if (code != error_code::no_primary && refusals <= 1) {
        return milliseconds(0);  // The answer refreshes the view; another home is tried.
    }
    const int bound = std::min(refusal_pause_max_ms, refusal_pause_min_ms * std::max(1, refusals));
    return milliseconds(refusal_pause_min_ms +
                        static_cast<int>(jitter * (bound - refusal_pause_min_ms + 1)));
}

retry_decision finish(outcome end, error_code code) {
    return {retry_step::finish, end, code, milliseconds(0), false};
}

retry_decision send_after(milliseconds pause, bool needs_budget) {
    return {retry_step::send, outcome::not_run, error_code::ok, pause, needs_budget};
}

/**
 * Whether the error is final, such as an invalid statement, so that no home can answer otherwise.
 */
bool is_final(error_code code) {
    return !protocol::is_retry_allowed(code);
}

retry_decision decide_after_not_run(const retry_state& retry, const send_result& result,
                                    double jitter) {
    const bool is_keyed_write = retry.is_write && retry.is_keyed;
    if (retry.is_write && !is_keyed_write && retry.reached_target) {
        // Without a key a write whose bytes were sent is not sent again, even if the target reports
        // that it did not run.
        return finish(outcome::not_run, result.code);
    }
    if (is_refusal(result.code)) {
        return send_after(get_refusal_pause(retry.refusals, result.code, jitter), false);
    }
    if (!retry.is_write && result.is_behind) {
        return send_after(milliseconds(0), false);
    }
    if (retry.is_write && result.code == error_code::overloaded) {
        // A write has no other target; sending it again would add to the overload.
        return give_up(retry, error_code::overloaded);
    }
    return send_after(milliseconds(static_cast<int>(jitter * retry_pause_ms)), true);
}

}  // namespace

retry_state record_send(retry_state retry) {
    ++retry.sends;
    return retry;
}

milliseconds get_send_timeout(const retry_state& retry, milliseconds left) {
    if (left <= min_divided_time || (retry.is_write && !retry.is_keyed)) {
        return left;
    }
    // At a loaded target writes wait longer than reads, and a home refuses a write whose time is
    // too short for the wait. Only a third is therefore reserved, to ask another home for the
    // outcome.
    return retry.is_write ? left * 2 / 3 : left / 2;
}

retry_decision give_up(const retry_state& retry, error_code code) {
    if (retry.may_have_run) {
        return finish(outcome::unknown, error_code::outcome_unknown);
    }
    return finish(outcome::not_run, code);
}

std::pair<retry_state, retry_decision> decide_after_send(retry_state retry,
                                                         const send_result& result,
                                                         state::time_point now, double jitter) {
    retry.reached_target = retry.reached_target || result.was_sent;
    if (result.outcome == outcome::ok) {
        return {retry, finish(outcome::ok, error_code::ok)};
    }
    if (result.outcome == outcome::unknown) {
        retry.reached_target = true;
        // A read has no effect and can be repeated; the outcome of a write is unknown from now on.
        retry.may_have_run = retry.is_write;
        if (retry.is_write && !retry.is_keyed) {
            return {retry, finish(outcome::unknown, error_code::outcome_unknown)};
        }
        if (now >= retry.deadline) {
            return {retry, give_up(retry, error_code::deadline)};
        }
        return {retry, send_after(milliseconds(static_cast<int>(jitter * retry_pause_ms)), true)};
    }
    if (result.code == error_code::key_reused || result.code == error_code::transaction_gone) {
        // The key is used by another request, or was used to prevent this commit, and the group has
        // acknowledged that; no earlier send can pass the unique constraint any more.
        return {retry, finish(outcome::not_run, result.code)};
    }
    if (is_final(result.code)) {
        // An earlier send with this key may still be in flight and succeed.
        return {retry, give_up(retry, result.code)};
    }
    retry.refusals += is_refusal(result.code) ? 1 : 0;
    retry.waits_for = result.code;
    if (now >= retry.deadline) {
        return {retry, give_up(retry, result.code)};
    }
    retry_decision decision = decide_after_not_run(retry, result, jitter);
    if (decision.step == retry_step::send && now + decision.pause >= retry.deadline) {
        decision = give_up(retry, result.code);
    }
    return {retry, decision};
}

retry_state record_no_route(retry_state retry) {
    retry.waits_for = retry.is_write ? error_code::no_primary : error_code::unavailable;
    return retry;
}

retry_decision decide_without_route(const retry_state& retry, state::time_point now) {
    if (now + route_pause >= retry.deadline) {
        return give_up(retry, record_no_route(retry).waits_for);
    }
    return send_after(route_pause, false);
}

retry_decision expire(const retry_state& retry) {
    return give_up(retry, retry.waits_for);
}

}  // namespace hornbeamhook::coordination
