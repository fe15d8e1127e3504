#include "gateway/target_link.h"

#include <utility>

namespace hornbeamhook::gateway {

namespace {

constexpr std::size_t max_answer_bytes = 8U << 20;  ///< Answers are buffered until complete.

/** What a caller is told when its statement was not sent because a step failed. */
target_failure make_setup_failure(const target_failure& cause) {
    if (cause.code == failure_code::malformed || cause.code == failure_code::too_big) {
        return cause;  // It would fail again elsewhere.
    }
    return {failure_code::busy,
            {},
            "the connection was not set up: " + cause.raw_code + " " + cause.text};
}

std::uint64_t take_link_number() {
    static std::uint64_t last_number = 0;
    return ++last_number;
}

}  // namespace

target_link::target_link(const session_protocol& protocol, const target_entry& target)
    : protocol_(protocol),
      number_(take_link_number()),
      group_(target.group),
      target_(target.id),
      lines_(max_message_bytes) {}

std::shared_ptr<target_link> target_link::open(transport::event_loop& loop,
                                               const session_protocol& protocol,
                                               const target_entry& target, link_events events,
                                               const std::optional<link_home>& home,
                                               std::string organisation) {
    std::shared_ptr<target_link> link(new target_link(protocol, target));
    link->home_ = home ? home->vm : std::string();
    link->organisation_ = std::move(organisation);
    link->events_ = std::move(events);
    link->opened_at_ = transport::get_boot_time();
    link->stream_ = transport::tcp_stream::connect(
        loop, home ? home->address : target.address,
        transport::make_weak_events(std::weak_ptr<target_link>(link), &target_link::start_session,
                                    &target_link::receive, &target_link::end_stream));
    return link;
}

void target_link::start_session() {
    std::string line = protocol_.format_start(group_, organisation_, target_);
    if (line.empty()) {
        end({.failure = target_failure{failure_code::malformed, {}, "its name cannot be sent"}});
        return;
    }
    stream_->write(std::move(line));
}

void target_link::end_stream(bool is_refused) {
    end({.is_refused = is_refused});
}

void target_link::send(link_request request, answer_callback done) {
    active_ = active_request{std::move(request), std::move(done), false, std::nullopt};
    send_next();
}

void target_link::send(std::string statement, answer_callback done) {
    link_request request;
    request.statement = std::move(statement);
    send(std::move(request), std::move(done));
}

void target_link::send_next() {
    std::string bytes = std::exchange(active_->request.limits, {});
    if (active_->request.statement.empty() || !append_setup(bytes)) {
        awaited_.clear();  // Nothing of this part was sent.
        finish_unsent({failure_code::malformed, {}, "a field of the statement cannot be sent"});
        return;
    }
    if (is_relayed() || awaited_.empty()) {
        append_begin(bytes);
    }
    const bool is_statement_due = is_relayed() || awaited_.empty();
    if (is_statement_due && !append_statement(bytes)) {
        return;
    }
    stream_->write(std::move(bytes));
}

bool target_link::append_setup(std::string& bytes) {
    for (const coordination::setup_step& step : std::exchange(active_->request.setup, {})) {
        const std::string line = format_step(protocol_, step);
        if (line.empty()) {
            return false;
        }
        bytes += line;
        awaited_.push_back({answer_role::setup, step, transport::get_boot_time()});
    }
    return true;
}

void target_link::append_begin(std::string& bytes) {
    const std::string begin = std::exchange(active_->request.begin, {});
    if (begin.empty()) {
        return;
    }
    bytes += begin;
    awaited_.push_back({answer_role::begin, std::nullopt, transport::get_boot_time()});
}

bool target_link::append_statement(std::string& bytes) {
    if (active_->request.may_send && !active_->request.may_send()) {
        awaited_.clear();  // Of a request to a home, of which nothing was sent yet.
        finish_unsent({failure_code::busy, {}, "the statement is no longer wanted"});
        return false;
    }
    bytes += std::exchange(active_->request.statement, {});
    active_->is_statement_sent = true;
    awaited_.push_back({answer_role::statement, std::nullopt, transport::get_boot_time()});
    return true;
}

std::int64_t target_link::get_oldest_sent_at() const {
    if (!is_open_) {
        return is_ended_ ? 0 : opened_at_;
    }
    return awaited_.empty() ? 0 : awaited_.front().sent_at;
}

void target_link::receive(std::string_view bytes) {
    lines_.append(bytes);
    while (!is_ended_) {
        const std::optional<std::string_view> line = lines_.take_line();
        if (!line) {
            break;
        }
        handle(protocol_.parse_target_line(*line));
    }
    if (lines_.is_overlong()) {
        end({.failure =
                 target_failure{failure_code::malformed, {}, "line exceeds the length limit"}});
    }
    if (events_.flow != nullptr && !is_ended_) {
        lines_.release_returned();
        events_.flow->update(number_, stream_, answer_bytes_ + lines_.get_capacity());
    }
}

void target_link::handle(const target_message& message) {
    if (const auto* row = std::get_if<target_row>(&message)) {
        answer_bytes_ += row->payload.size();
        if (answer_bytes_ > max_answer_bytes) {
            end({.failure =
                     target_failure{failure_code::too_big, {}, "answer exceeds the size limit"}});
            return;
        }
        answer_.rows.push_back(row->payload);
    } else if (const auto* completion = std::get_if<target_completion>(&message)) {
        answer_.completion = *completion;
    } else if (const auto* failure = std::get_if<target_failure>(&message)) {
        if (!is_open_) {
            end({.failure = *failure});
            return;
        }
        answer_.failure = *failure;
    } else if (const auto* ready = std::get_if<target_ready>(&message)) {
        complete(*ready);
    } else {
        end({.failure = target_failure{failure_code::malformed, {}, "unknown message"}});
    }
}

void target_link::complete(const target_ready& ready) {
    const std::shared_ptr<target_link> self = shared_from_this();
    const bool is_state_changed = ready.state != std::exchange(state_, ready.state);
    idle_since_ = transport::get_boot_time();
    if (!is_open_) {
        is_open_ = true;
        if (events_.answered) {
            events_.answered(ready, opened_at_);
        }
        if (events_.opened) {
            events_.opened();
        }
        return;
    }
    if (awaited_.empty()) {
        end({.failure = target_failure{failure_code::malformed, {}, "unexpected answer"}});
        return;
    }
    const awaited_answer finished = std::move(awaited_.front());
    awaited_.pop_front();
    target_answer answer = std::exchange(answer_, {});
    answer_bytes_ = 0;
    answer.ready = ready;
    answer.sent_at = finished.sent_at;
    if (!answer.completion && !answer.failure) {
        answer.failure = target_failure{failure_code::failed, {}, "answer without a result"};
    }
    switch (finished.role) {
        case answer_role::setup:
            finish_step(*finished.step, answer, is_state_changed);
            return;
        case answer_role::begin:
            finish_begin(answer);
            return;
        case answer_role::statement:
            break;
    }
    const active_request done = std::move(*active_);
    active_.reset();
    if (events_.answered) {
        events_.answered(ready, finished.sent_at);
    }
    done.done(answer);
}

void target_link::finish_step(const coordination::setup_step& step, const target_answer& answer,
                              bool is_state_changed) {
    if (!answer.failure) {
        session_state_.acknowledge(step);
    } else {
        session_state_.invalidate();
        if (!active_->setup_failure) {
            active_->setup_failure = answer.failure;
        }
        if (events_.setup_failed) {
            events_.setup_failed(number_, step, *answer.failure);
        }
    }
    if (answer.failure && is_relayed()) {
        // The home has run nothing after this step, unless it is of the release before and refuses
        // a value as one too many.
        active_->is_statement_sent = answer.failure->code == failure_code::too_big;
        end({.is_local = true, .reason = "the home refused a set-up"});
        return;
    }
    if (answer.failure && std::holds_alternative<coordination::reset_step>(step)) {
        end({.is_local = true, .reason = "the target did not reset the connection"});
        return;
    }
    if (!answer.failure && is_state_changed) {
        // The statement would run in a transaction that nobody ends, or outside of its own.
        end({.is_local = true, .reason = "a set-up has changed the transaction state"});
        return;
    }
    if (is_relayed() || !awaited_.empty()) {
        return;
    }
    if (active_->setup_failure) {
        finish_unsent(make_setup_failure(*active_->setup_failure));
    } else {
        send_next();
    }
}

void target_link::finish_begin(const target_answer& answer) {
    if (is_relayed()) {
        if (answer.failure) {
            active_->is_statement_sent = false;  // The home has run nothing after the BEGIN.
            active_->setup_failure = answer.failure;
            end({.is_local = true, .reason = "the home refused a transaction"});
        }
        return;
    }
    if (answer.failure) {
        const active_request done = std::move(*active_);
        active_.reset();
        done.done(answer);
    } else if (answer.ready.state != transaction_state::open) {
        end({.is_local = true, .reason = "BEGIN has opened no transaction"});
    } else {
        send_next();
    }
}

void target_link::finish_unsent(const target_failure& failure) {
    const active_request done = std::move(*active_);
    active_.reset();
    target_answer answer;
    answer.sent_at = transport::get_boot_time();
    answer.ready.state = state_;
    answer.failure = failure;
    answer.was_sent = false;
    done.done(answer);
}

void target_link::close(const std::string& reason) {
    end({.is_local = true, .reason = reason});
}

void target_link::abandon() {
    events_ = {};
    active_.reset();
    awaited_.clear();
    end({.is_local = true});
}

void target_link::end(link_end cause) {
    if (is_ended_) {
        return;
    }
    cause.link = number_;
    const std::shared_ptr<target_link> self = shared_from_this();
    is_ended_ = true;
    is_open_ = false;
    if (stream_) {
        // A reset discards statements that a network partition still holds in the send queue, so
        // that they do not run later.
        stream_->reset();
    }
    if (events_.flow != nullptr) {
        events_.flow->remove(number_);
    }
    const std::int64_t sent_at = awaited_.empty() ? 0 : awaited_.back().sent_at;
    awaited_.clear();
    if (active_ && !active_->is_statement_sent) {
        finish_unsent(make_setup_failure(active_->setup_failure.value_or(
            target_failure{failure_code::other, {}, "the connection ended"})));
    } else if (active_) {
        const active_request lost = std::move(*active_);
        active_.reset();
        target_answer answer;
        answer.sent_at = sent_at;
        answer.is_lost = true;
        lost.done(answer);
    }
    if (const auto ended = std::exchange(events_.ended, {})) {
        ended(cause);
    }
}

}  // namespace hornbeamhook::gateway
