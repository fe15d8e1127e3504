#include "gateway/target_control.h"

#include <algorithm>
#include <utility>

#include "gateway/gateway_events.h"

namespace hornbeamhook::gateway {

namespace {

/// A report needs a free slot and two round trips.
constexpr std::int64_t report_timeout_ms = 500;
/// A control statement is repeated for this long while the target refuses to run it.
constexpr std::int64_t command_timeout_ms = 2000;
/// Between attempts on an open connection to a target that has no free slot.
constexpr std::int64_t busy_retry_ms = 40;
/// Between connections opened to a target that has too many.
constexpr std::int64_t reconnect_interval_ms = 100;
/// A connection that opens later than this may be held up; an idle one is used as well.
constexpr std::int64_t slow_connection_ms = 150;

}  // namespace

/** One statement until it was answered or has timed out. */
struct target_control::exchange {
    target_entry target;
    std::string bytes;
    std::vector<std::function<void(const report_answer&)>> done;
    bool is_report = false;
    std::int64_t started_at = 0;
    std::int64_t timeout_ms = 0;
    std::int64_t attempted_at = 0;  ///< Of the newest connection opened for it.
    std::int64_t retry_at = 0;      ///< Next attempt on its own connection; 0 if none is due.
    std::int64_t use_links_at = 0;  ///< Idle connections of the VM are used from then on.
    std::string refused_code;       ///< Of the newest refusal; empty before the first.
    std::shared_ptr<target_link> own_link;
    int outstanding = 0;  ///< Connections on which it was sent without an answer yet.
    bool is_finished = false;

    bool is_waiting() const { return !is_finished && outstanding == 0; }
};

target_control::target_control(transport::event_loop& loop, const session_protocol& protocol,
                               bounded_log& log, link_source find_idle_link)
    : loop_(loop), protocol_(protocol), log_(log), find_idle_link_(std::move(find_idle_link)) {}

target_control::~target_control() {
    // The loop closes handles after this; their callbacks must not reach this object.
    for (const exchange_ptr& entry : exchanges_) {
        entry->is_finished = true;
        if (entry->own_link) {
            entry->own_link->abandon();
        }
    }
}

void target_control::request_report(const target_entry& target,
                                    std::function<void(const report_answer&)> done) {
    // The statement of an exchange that waits is sent later than now, so its answer serves both.
    const auto waiting =
        std::find_if(exchanges_.begin(), exchanges_.end(), [&](const exchange_ptr& entry) {
            return entry->is_report && entry->target.id == target.id && entry->is_waiting() &&
                   !entry->refused_code.empty();
        });
    if (waiting != exchanges_.end()) {
        (*waiting)->done.push_back(std::move(done));
        return;
    }
    const exchange_ptr started =
        start(target, protocol_.format_report_request(), report_timeout_ms);
    started->is_report = true;
    started->done.push_back(std::move(done));
    connect(started);
}

void target_control::send(const target_entry& target, const std::string& bytes) {
    connect(start(target, bytes, command_timeout_ms));
}

target_control::exchange_ptr target_control::start(const target_entry& target, std::string bytes,
                                                   std::int64_t timeout_ms) {
    auto started = std::make_shared<exchange>();
    started->target = target;
    started->bytes = std::move(bytes);
    started->started_at = transport::get_boot_time();
    started->timeout_ms = timeout_ms;
    exchanges_.push_back(started);
    return started;
}

void target_control::connect(const exchange_ptr& started) {
    started->retry_at = 0;
    if (started->own_link && !started->own_link->is_ended()) {
        if (started->own_link->is_open()) {
            send_on(started, started->own_link, true);
        }
        return;
    }
    const std::int64_t now = transport::get_boot_time();
    if (started->attempted_at != 0 && now - started->attempted_at < reconnect_interval_ms) {
        started->retry_at = started->attempted_at + reconnect_interval_ms;
        return;
    }
    started->attempted_at = now;
    if (started->use_links_at == 0) {
        started->use_links_at = now + slow_connection_ms;
    }
    const std::weak_ptr<exchange> weak = started;
    started->own_link = target_link::open(
        loop_, protocol_, started->target,
        {.opened =
             [this, weak] {
                 const exchange_ptr opened = weak.lock();
                 if (opened && !opened->is_finished) {
                     send_on(opened, opened->own_link, true);
                 }
             },
         .ended =
             [this, weak](const target_link::link_end& end) {
                 const exchange_ptr ended = weak.lock();
                 if (!ended || ended->is_finished) {
                     return;
                 }
                 if (end.failure && end.failure->code == failure_code::too_many_connections) {
                     refuse(ended, end.failure->raw_code, reconnect_interval_ms);
                     ended->use_links_at = transport::get_boot_time();
                 } else if (ended->outstanding == 0) {
                     finish(ended, target_silence{});
                 }
             },
         .answered = {}});
}

void target_control::send_on(const exchange_ptr& started, const std::shared_ptr<target_link>& link,
                             bool is_own_link) {
    ++started->outstanding;
    link->send(
        started->bytes, 0,
        [this, weak = std::weak_ptr<exchange>(started), is_own_link](const target_answer& answer) {
            const exchange_ptr sent = weak.lock();
            if (sent && !sent->is_finished) {
                handle_answer(sent, answer, is_own_link);
            }
        });
}

void target_control::handle_answer(const exchange_ptr& started, const target_answer& answer,
                                   bool is_own_link) {
    --started->outstanding;
    if (answer.is_lost && !is_own_link) {
        // The VM closed the connection, for example to the primary that is replaced.
        started->retry_at = transport::get_boot_time();
        return;
    }
    if (answer.failure && answer.failure->code == failure_code::busy) {
        refuse(started, answer.failure->raw_code, busy_retry_ms);
        return;
    }
    const auto report = answer.rows.empty() ? std::nullopt : protocol_.parse_report(answer.rows[0]);
    if (report) {
        finish(started, *report);
    } else {
        finish(started, target_silence{});
    }
}

void target_control::refuse(const exchange_ptr& started, const std::string& code,
                            std::int64_t retry_ms) {
    started->refused_code = code;
    started->retry_at = transport::get_boot_time() + retry_ms;
    started->use_links_at = started->retry_at;
}

void target_control::finish(const exchange_ptr& started, const report_answer& answer) {
    started->is_finished = true;
    if (!started->is_report && !std::holds_alternative<target_report>(answer)) {
        const std::int64_t waited_ms = transport::get_boot_time() - started->started_at;
        log_.write(event_control_failed, {{"target", started->target.id},
                                          {"refused", started->refused_code},
                                          {"waited_ms", std::to_string(waited_ms)}});
    }
    if (const auto link = std::exchange(started->own_link, nullptr)) {
        link->close();
    }
    for (const auto& done : std::exchange(started->done, {})) {
        done(answer);
    }
}

void target_control::use_idle_links() {
    if (exchanges_.empty()) {
        return;
    }
    const std::int64_t now = transport::get_boot_time();
    const std::vector<exchange_ptr> exchanges = exchanges_;
    for (const exchange_ptr& entry : exchanges) {
        if (!entry->is_waiting() || now < entry->use_links_at) {
            continue;
        }
        if (const auto link = find_idle_link_(entry->target.group, entry->target.id)) {
            send_on(entry, link, false);
        }
    }
}

void target_control::update(std::int64_t now) {
    use_idle_links();
    // Iterate over a copy, because the callback of one report may request the next.
    const std::vector<exchange_ptr> exchanges = exchanges_;
    for (const exchange_ptr& entry : exchanges) {
        if (entry->is_finished) {
            continue;
        }
        if (now - entry->started_at >= entry->timeout_ms) {
            if (entry->refused_code.empty()) {
                finish(entry, target_silence{});
            } else {
                finish(entry, target_refusal{entry->refused_code});
            }
        } else if (entry->retry_at != 0 && now >= entry->retry_at && entry->is_waiting()) {
            connect(entry);
        }
    }
    std::erase_if(exchanges_, [](const exchange_ptr& entry) { return entry->is_finished; });
}

}  // namespace hornbeamhook::gateway
