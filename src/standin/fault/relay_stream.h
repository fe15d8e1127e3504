#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>

namespace hornbeamhook::standin::fault {

using time_point = std::chrono::steady_clock::time_point;

/** What a stream delivers at one moment. */
struct relay_chunk {
    enum class kind { data, end, reset };

    kind type = kind::data;
    time_point deliver_at;
    std::string data;
    bool is_held = false;  ///< Waits until the link is restored.
};

/** Bytes in flight in one direction of one connection. Delivery keeps the order of arrival. */
struct relay_stream {
    std::deque<relay_chunk> queue;
    std::size_t queued_bytes = 0;
    std::size_t written = 0;  ///< Of the first chunk.
    time_point last_delivery{};
    bool has_source_ended = false;
    bool has_sink_ended = false;
    bool is_blocked = false;  ///< The sink takes no more bytes now.
    bool is_lost = false;     ///< Everything in this direction is discarded.
};

}  // namespace hornbeamhook::standin::fault
