#include "gateway/target_control.h"

#include <algorithm>
#include <utility>

#include "gateway/gateway_events.h"

namespace hornbeamhook::gateway {

namespace {

/// A target that accepts no connection within this time does not answer. Longer than two probes.
constexpr std::int64_t connect_timeout_ms = 600;
/// A control statement is repeated for this long while the target refuses to run it; a report of a
/// target that accepts connections may wait as long for a free slot.
constexpr std::int64_t answer_timeout_ms = 2000;
/// Between attempts on an open connection to a target that has no free slot.
constexpr std::int64_t busy_retry_ms = 40;
/// Between connections opened to a target that has too many.
constexpr std::int64_t reconnect_interval_ms = 100;
/// A connection that opens later than this may be held up; an idle one is used as well.
constexpr std::int64_t slow_connection_ms = 150;
/// Without an answer on the last connection, another one shows whether the target is still alive.
constexpr std::int64_t probe_interval_ms = 250;

}  // namespace

/** One statement until it was answered or has timed out. */
struct target_control::exchange {
    target_entry target;
    std::string bytes;
    std::vector<std::function<void(const report_answer&)>> done;
    bool is_report = false;
    std::int64_t started_at = 0;
    std::int64_t attempted_at = 0;  ///< When its newest connection was opened.
    std::int64_t accepted_at = 0;   ///< When the target last accepted a connection or refused.
    std::int64_t retry_at = 0;      ///< Next attempt on a connection of its own; 0 if none is due.
    std::int64_t use_links_at = 0;  ///< Idle connections of the VM are used from then on.
    std::optional<target_refusal> refusal;  ///< The newest one.
    std::vector<std::shared_ptr<target_link>> own_links;
    int outstanding = 0;  ///< Connections on which it was sent without an answer yet.
    bool is_finished = false;

    bool is_waiting() const { return !is_finished && outstanding == 0; }
};

target_control::target_control(transport::event_loop& loop, const session_protocol& protocol,
                               bounded_log& log, control_callbacks callbacks)
    : loop_(loop), protocol_(protocol), log_(log), callbacks_(std::move(callbacks)) {}

target_control::~target_control() {
    // The loop closes handles after this; their callbacks must not reach this object.
    for (const exchange_ptr& entry : exchanges_) {
        entry->is_finished = true;
        for (const std::shared_ptr<target_link>& link : entry->own_links) {
            link->abandon();
        }
    }
}

void target_control::request_report(const target_entry& target,
                                    std::function<void(const report_answer&)> done) {
    // The statement of an exchange that waits is sent later than now, so its answer serves both.
    const auto waiting =
        std::find_if(exchanges_.begin(), exchanges_.end(), [&](const exchange_ptr& entry) {
            return entry->is_report && entry->target.id == target.id && entry->is_waiting() &&
                   entry->refusal.has_value();
        });
    if (waiting != exchanges_.end()) {
        (*waiting)->done.push_back(std::move(done));
        return;
    }
    const exchange_ptr started = start(target, protocol_.format_report_request());
    started->is_report = true;
    started->done.push_back(std::move(done));
    connect(started);
}

void target_control::send(const target_entry& target, const std::string& bytes) {
    connect(start(target, bytes));
}

target_control::exchange_ptr target_control::start(const target_entry& target, std::string bytes) {
    auto started = std::make_shared<exchange>();
    started->target = target;
    started->bytes = std::move(bytes);
    started->started_at = transport::get_boot_time();
    started->use_links_at = started->started_at + slow_connection_ms;
    exchanges_.push_back(started);
    return started;
}

void target_control::attempt(const exchange_ptr& started) {
    started->retry_at = 0;
    std::erase_if(started->own_links, [](const auto& link) { return link->is_ended(); });
    const auto idle = std::find_if(started->own_links.begin(), started->own_links.end(),
                                   [](const auto& link) { return link->is_idle(); });
    if (idle != started->own_links.end()) {
        send_on(started, *idle, true);
        return;
    }
    const std::int64_t next_at = started->attempted_at + reconnect_interval_ms;
    if (transport::get_boot_time() < next_at) {
        started->retry_at = next_at;
        return;
    }
    connect(started);
}

void target_control::connect(const exchange_ptr& started) {
    started->attempted_at = transport::get_boot_time();
    const std::weak_ptr<exchange> weak = started;
    const auto opening = std::make_shared<std::weak_ptr<target_link>>();
    const std::shared_ptr<target_link> link =
        target_link::open(loop_, protocol_, started->target,
                          {.opened =
                               [this, weak, opening] {
                                   const exchange_ptr opened = weak.lock();
                                   const std::shared_ptr<target_link> own = opening->lock();
                                   if (opened && !opened->is_finished && own) {
                                       send_on(opened, own, true);
                                   }
                               },
                           .ended =
                               [this, weak](const target_link::link_end& end) {
                                   const exchange_ptr ended = weak.lock();
                                   if (ended && !ended->is_finished && !end.is_local) {
                                       handle_link_end(ended, end);
                                   }
                               },
                           .answered =
                               [this, weak](const target_ready& ready, std::int64_t sent_at) {
                                   const exchange_ptr answered = weak.lock();
                                   if (answered && !answered->is_finished) {
                                       answered->accepted_at = transport::get_boot_time();
                                       callbacks_.answered(answered->target, ready, sent_at);
                                   }
                               }});
    *opening = link;
    started->own_links.push_back(link);
}

void target_control::handle_link_end(const exchange_ptr& ended, const target_link::link_end& end) {
    if (end.is_limited()) {
        callbacks_.limited(ended->target);
        refuse(ended, {end.failure->raw_code}, reconnect_interval_ms);
        ended->use_links_at = transport::get_boot_time();
    } else if (ended->outstanding == 0) {
        finish(ended, target_silence{});
    }
}

void target_control::send_on(const exchange_ptr& started, const std::shared_ptr<target_link>& link,
                             bool is_own_link) {
    ++started->outstanding;
    link->send(started->bytes, [this, weak = std::weak_ptr<exchange>(started),
                                is_own_link](const target_answer& answer) {
        const exchange_ptr sent = weak.lock();
        if (sent && !sent->is_finished) {
            handle_answer(sent, answer, is_own_link);
        }
    });
}

void target_control::handle_answer(const exchange_ptr& started, const target_answer& answer,
                                   bool is_own_link) {
    --started->outstanding;
    if (answer.is_lost && (!is_own_link || started->outstanding > 0)) {
        // The VM closed a connection that it shares, or another one may still be answered.
        started->retry_at = transport::get_boot_time();
        return;
    }
    if (answer.failure && answer.failure->code == failure_code::busy) {
        refuse(started, {answer.failure->raw_code}, busy_retry_ms);
        return;
    }
    const auto report = answer.rows.empty() ? std::nullopt : protocol_.parse_report(answer.rows[0]);
    if (report) {
        finish(started, *report);
    } else {
        finish(started, target_silence{});
    }
}

void target_control::refuse(const exchange_ptr& started, const target_refusal& refusal,
                            std::int64_t retry_ms) {
    started->refusal = refusal;
    started->accepted_at = transport::get_boot_time();
    started->retry_at = started->accepted_at + retry_ms;
    started->use_links_at = started->retry_at;
}

void target_control::finish(const exchange_ptr& started, const report_answer& answer) {
    started->is_finished = true;
    if (!started->is_report && !std::holds_alternative<target_report>(answer)) {
        const std::int64_t waited_ms = transport::get_boot_time() - started->started_at;
        log_.write(event_control_failed,
                   {{"target", started->target.id},
                    {"refused", started->refusal ? started->refusal->code : ""},
                    {"waited_ms", std::to_string(waited_ms)}});
    }
    for (const std::shared_ptr<target_link>& link : std::exchange(started->own_links, {})) {
        link->close("the control statement has ended");
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
        if (const auto link = callbacks_.find_idle_link(entry->target.group, entry->target.id)) {
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
        const std::int64_t alive_at = std::max(entry->started_at, entry->accepted_at);
        if (now - alive_at >= connect_timeout_ms) {
            finish(entry, target_silence{});
        } else if (now - entry->started_at >= answer_timeout_ms) {
            finish(entry, entry->refusal.value_or(target_refusal{"no free slot in time"}));
        } else if (entry->retry_at != 0 && now >= entry->retry_at && entry->is_waiting()) {
            attempt(entry);
        } else if (entry->outstanding > 0 && now - entry->attempted_at >= probe_interval_ms) {
            connect(entry);
        }
    }
    std::erase_if(exchanges_, [](const exchange_ptr& entry) { return entry->is_finished; });
}

}  // namespace hornbeamhook::gateway
