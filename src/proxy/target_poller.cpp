#include "proxy/target_poller.h"

#include <utility>

#include "protocol/target_calls.h"
#include "state/state_error.h"

namespace hornbeamhook::proxy {

namespace leaf = boost::leaf;

namespace {

using coordination::poll_failure;
using state::time_point;
using transport::target_connection;
using transport::target_error;
using transport::target_failure_kind;

/// Waiting commands of one target; more than one claim at a time never helps.
constexpr std::size_t max_commands = 16;

time_point get_now() {
    return std::chrono::steady_clock::now();
}

poll_failure classify(const target_error& error) {
    switch (error.kind) {
        case target_failure_kind::refused:
        case target_failure_kind::closed:
            return poll_failure::refused;
        case target_failure_kind::unreachable:
        case target_failure_kind::timeout:
            return poll_failure::timed_out;
        case target_failure_kind::connection_limit:
        case target_failure_kind::sql_error:
        case target_failure_kind::invalid:
            break;
    }
    return poll_failure::rejected;
}

}  // namespace

target_poller::target_poller(poller_options options, std::shared_ptr<std::atomic<int>> waiters,
                             event_sink on_event, result_sink on_result, control_traffic& traffic)
    : options_(std::move(options)),
      waiters_(std::move(waiters)),
      on_event_(std::move(on_event)),
      on_result_(std::move(on_result)),
      traffic_(traffic) {
    schedule_.heartbeat_interval = options_.heartbeat_interval;
    thread_ = std::thread([this] { run(); });
}

target_poller::~target_poller() {
    stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void target_poller::stop() {
    {
        const std::scoped_lock lock(mutex_);
        is_stopping_ = true;
    }
    changed_.notify_all();
}

void target_poller::request() {
    {
        const std::scoped_lock lock(mutex_);
        const coordination::poll_schedule_step step =
            step_poll_schedule(schedule_, coordination::poll_requested{}, get_now());
        schedule_ = step.state;
        must_begin_ = must_begin_ || !step.actions.empty();
    }
    changed_.notify_one();
}

void target_poller::set_heartbeat(std::chrono::milliseconds interval) {
    {
        const std::scoped_lock lock(mutex_);
        schedule_ =
            step_poll_schedule(schedule_, coordination::heartbeat_changed{interval}, get_now())
                .state;
    }
    changed_.notify_one();
}

void target_poller::submit(term_command command) {
    {
        const std::scoped_lock lock(mutex_);
        if (commands_.size() >= max_commands) {
            commands_.pop_front();
        }
        commands_.push_back(std::move(command));
    }
    changed_.notify_one();
}

void target_poller::run() {
    std::unique_lock lock(mutex_);
    while (!is_stopping_) {
        if (!commands_.empty()) {
            const term_command command = std::move(commands_.front());
            commands_.pop_front();
            lock.unlock();
            execute(command);
            lock.lock();
            continue;
        }
        const bool has_waiters = waiters_->load(std::memory_order_relaxed) > 0;
        if (!must_begin_) {
            const coordination::poll_schedule_step step = step_poll_schedule(
                schedule_, coordination::schedule_checked{has_waiters}, get_now());
            schedule_ = step.state;
            must_begin_ = !step.actions.empty();
        }
        if (!must_begin_) {
            changed_.wait_until(lock, get_next_check(schedule_, has_waiters));
            continue;
        }
        must_begin_ = false;
        lock.unlock();
        poll();
        lock.lock();
    }
}

void target_poller::poll() {
    bool is_retry_allowed = connection_ != nullptr;
    coordination::group_event event = poll_once(is_retry_allowed);
    if (is_retry_allowed) {
        // The kept connection had been closed, which says nothing about the target yet.
        is_retry_allowed = false;
        event = poll_once(is_retry_allowed);
    }
    const bool is_answered = std::holds_alternative<coordination::poll_answered>(event);
    on_event_(std::move(event));
    const std::scoped_lock lock(mutex_);
    const coordination::poll_schedule_step step =
        step_poll_schedule(schedule_, coordination::poll_finished{is_answered}, get_now());
    schedule_ = step.state;
    must_begin_ = must_begin_ || !step.actions.empty();
}

bool target_poller::connect(time_point deadline, poll_failure& failure) {
    if (connection_ && !connection_->is_broken()) {
        return true;
    }
    connection_.reset();
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_ASSIGN(connection_, target_connection::open(options_.address, deadline));
            return true;
        },
        [&](const target_error& error) {
            failure = classify(error);
            return false;
        },
        [&] {
            failure = poll_failure::rejected;
            return false;
        });
}

coordination::group_event target_poller::poll_once(bool& is_retry_allowed) {
    const bool may_retry = std::exchange(is_retry_allowed, false);
    const time_point deadline = get_now() + options_.probe_timeout;
    poll_failure failure = poll_failure::timed_out;
    time_point began = get_now();
    if (!connect(deadline, failure)) {
        return coordination::poll_failed{options_.target, began, get_now(), failure};
    }
    // Only from here on does the answer reflect what the target holds.
    began = get_now();
    const auto fail = [&](poll_failure kind) -> coordination::group_event {
        connection_.reset();
        return coordination::poll_failed{options_.target, began, get_now(), kind};
    };
    return leaf::try_handle_all(
        [&]() -> leaf::result<coordination::group_event> {
            BOOST_LEAF_AUTO(status, protocol::read_status(*connection_, deadline));
            const time_point ended = get_now();
            traffic_.polls.add(to_json(status).dump().size(), poll_overhead);
            return coordination::poll_answered{options_.target, began, ended, std::move(status)};
        },
        [&](const target_error& error) {
            is_retry_allowed = may_retry && error.kind == target_failure_kind::closed;
            traffic_.polls.add(0, poll_overhead);
            return fail(classify(error));
        },
        [&] { return fail(poll_failure::rejected); });
}

void target_poller::execute(const term_command& command) {
    const time_point deadline = get_now() + options_.probe_timeout;
    term_result result{options_.target, command, term_result::kind::failed, {}, {}, {}};
    poll_failure failure = poll_failure::timed_out;
    result.began = get_now();
    if (connect(deadline, failure)) {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                result.began = get_now();
                BOOST_LEAF_ASSIGN(
                    result.status,
                    command.is_promote
                        ? protocol::promote(*connection_, command.term, command.claimant, deadline)
                        : protocol::fence(*connection_, command.term, command.claimant, deadline));
                result.outcome = term_result::kind::accepted;
                return {};
            },
            [&](const target_error& error) {
                if (error.sqlstate == protocol::sqlstate_term_refused) {
                    result.outcome = term_result::kind::refused;
                } else {
                    connection_.reset();
                }
            },
            [&] { connection_.reset(); });
    }
    traffic_.polls.add(command.claimant.size(), poll_overhead);
    result.ended = get_now();
    on_result_(std::move(result));
}

}  // namespace hornbeamhook::proxy
