#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>

#include "transport/log_event.h"

namespace hornbeamhook::gateway {

/**
 * Writes numbered events to standard output, one line each. Each event type is rate-limited; its
 * next line reports how many were suppressed. When standard output does not accept data, lines are
 * dropped and counted, so logging never blocks. Loop thread only.
 */
class bounded_log {
public:
    explicit bounded_log(const std::string& vm);

    void write(const transport::event_type& type,
               std::initializer_list<transport::event_field> fields);

    /** Writes buffered lines to standard output without blocking. Call regularly. */
    void flush();

private:
    struct token_bucket {
        double tokens = 0;
        std::int64_t refilled_at = 0;
        std::int64_t suppressed = 0;
    };

    bool take_token(token_bucket& bucket, std::int64_t now) const;

    std::string vm_;
    std::string buffer_;
    std::map<int, token_bucket> buckets_;  ///< By event number.
    std::int64_t dropped_ = 0;
};

}  // namespace hornbeamhook::gateway
