#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "load/event_record.h"
#include "load/progress_counters.h"
#include "transport/http_message.h"

namespace hornbeamhook::load {

/** Events that scripts report over HTTP while the load runs. Thread safe. */
class event_log {
public:
    /** Phases a script can wait for. */
    enum class phase { preparing, running, checking, finished };

    /** `progress` must outlive this. */
    explicit event_log(const progress_counters& progress) : progress_(progress) {}

    /**
     * Answers `POST /control/events` (`{"kind","pool","target","version","label","at_ns",
     * "effective_ns"}`, times of the monotonic clock) and `GET /control/state`.
     */
    transport::http_response handle(const transport::http_request& request);

    void set_phase(phase value);
    void set_kill_primary_due();
    std::vector<event_record> get_events() const;

private:
    transport::http_response add(const std::string& body);

    const progress_counters& progress_;
    mutable std::mutex mutex_;
    phase phase_ = phase::preparing;
    bool is_kill_primary_due_ = false;
    std::vector<event_record> events_;
};

}  // namespace hornbeamhook::load
