#include "gateway/target_link.h"

#include <utility>

namespace hornbeamhook::gateway {

namespace {

constexpr std::size_t max_line_bytes = 1U << 20;    ///< Limit of the protocol for one message.
constexpr std::size_t max_answer_bytes = 8U << 20;  ///< Answers are buffered until complete.

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
      lines_(max_line_bytes) {}

std::shared_ptr<target_link> target_link::open(transport::event_loop& loop,
                                               const session_protocol& protocol,
                                               const target_entry& target, link_events events,
                                               const std::optional<link_home>& home) {
    std::shared_ptr<target_link> link(new target_link(protocol, target));
    link->home_ = home ? home->vm : std::string();
    link->events_ = std::move(events);
    link->opened_at_ = transport::get_boot_time();
    link->stream_ = transport::tcp_stream::connect(
        loop, home ? home->address : target.address,
        transport::make_weak_events(std::weak_ptr<target_link>(link), &target_link::start_session,
                                    &target_link::receive, &target_link::end_stream));
    return link;
}

void target_link::start_session() {
    stream_->write(protocol_.format_start(group_, target_));
}

void target_link::end_stream(bool is_refused) {
    end({.is_refused = is_refused});
}

void target_link::send(std::string bytes, const std::vector<setup_step>& setup,
                       answer_callback done) {
    const std::int64_t now = transport::get_boot_time();
    for (const setup_step& step : setup) {
        outstanding_.push_back({step, {}, now});
    }
    outstanding_.push_back({std::nullopt, std::move(done), now});
    stream_->write(std::move(bytes));
}

std::int64_t target_link::get_oldest_sent_at() const {
    if (!is_open_) {
        return is_ended_ ? 0 : opened_at_;
    }
    return outstanding_.empty() ? 0 : outstanding_.front().sent_at;
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
    state_ = ready.state;
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
    if (outstanding_.empty()) {
        end({.failure = target_failure{failure_code::malformed, {}, "unexpected answer"}});
        return;
    }
    const outstanding_statement finished = std::move(outstanding_.front());
    outstanding_.pop_front();
    target_answer answer = std::exchange(answer_, {});
    answer_bytes_ = 0;
    answer.ready = ready;
    answer.sent_at = finished.sent_at;
    if (finished.setup) {
        if (answer.failure) {
            end({.failure = answer.failure, .setup = finished.setup});
        }
        return;
    }
    if (!answer.completion && !answer.failure) {
        answer.failure = target_failure{failure_code::failed, {}, "answer without a result"};
    }
    if (events_.answered) {
        events_.answered(ready, finished.sent_at);
    }
    finished.done(answer);
}

void target_link::close(const std::string& reason) {
    end({.is_local = true, .reason = reason});
}

void target_link::abandon() {
    events_ = {};
    outstanding_.clear();
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
    std::deque<outstanding_statement> lost;
    lost.swap(outstanding_);
    // A failed setup statement also fails its main statement, which has not run or whose result
    // must not be used.
    for (const outstanding_statement& entry : lost) {
        if (!entry.setup) {
            target_answer answer;
            answer.sent_at = entry.sent_at;
            answer.is_lost = true;
            entry.done(answer);
        }
    }
    if (const auto ended = std::exchange(events_.ended, {})) {
        ended(cause);
    }
}

}  // namespace hornbeamhook::gateway
