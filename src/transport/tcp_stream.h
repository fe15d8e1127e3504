#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "transport/endpoint.h"
#include "transport/event_loop.h"

namespace hornbeamhook::transport {

/** What the owner of a stream is told. Either function may close the stream. */
struct stream_events {
    std::function<void()> connected;  ///< Only for streams made by connect().
    std::function<void(std::string_view)> received;
    /// The stream ended without close(); called once, with "refused" set when the other end
    /// answered the connection attempt with a reset.
    std::function<void(bool is_refused)> ended;
};

/**
 * Events that call the owner's functions as long as it lives. A function may drop the last other
 * reference to the owner; `connected` may be null. Thread safe.
 */
template <typename owner>
stream_events make_weak_events(const std::weak_ptr<owner>& weak, void (owner::*connected)(),
                               void (owner::*received)(std::string_view),
                               void (owner::*ended)(bool is_refused)) {
    const auto call = [weak](auto function, auto... arguments) {
        if (const auto self = weak.lock()) {
            ((*self).*function)(arguments...);
        }
    };
    stream_events events{
        .connected = {},
        .received = [call, received](std::string_view bytes) { call(received, bytes); },
        .ended = [call, ended](bool is_refused) { call(ended, is_refused); }};
    if (connected != nullptr) {
        events.connected = [call, connected] { call(connected); };
    }
    return events;
}

/** A non-blocking TCP connection. Loop thread only. */
class tcp_stream : public std::enable_shared_from_this<tcp_stream> {
public:
    /** Begins to connect; `events` tells how it ends. */
    static std::shared_ptr<tcp_stream> connect(event_loop& loop, const endpoint& address,
                                               stream_events events);

    /** Sets the events of an accepted stream and begins to read. */
    void start(stream_events events);

    /** Stops or continues to read; the end of the stream is noticed only while reading. Ignored
     * after the end and before the stream is connected. */
    void set_reading(bool is_reading);

    /** Queues bytes; ignored after the end. */
    void write(std::string bytes);

    /** Closes after the queued bytes are handed to the system. No further events. */
    void close();

    /** Closes with a reset, so that bytes still on the way are discarded, also after close(). No
     * further events. */
    void reset();

    bool is_open() const { return !is_closed_; }

    /** Bytes queued because the other end does not read. */
    std::size_t get_queued_bytes() const;

    /** Memory of the queued bytes, in bytes. Many small messages need more than their texts. */
    std::size_t get_queue_memory() const;

private:
    friend class tcp_listener;

    explicit tcp_stream(event_loop& loop);
    void begin_reading();
    void read();
    void finish(bool is_refused);
    void release();
    static void forget(uv_handle_t* handle);

    uv_tcp_t handle_{};
    stream_events events_;
    std::shared_ptr<tcp_stream> self_;  ///< Keeps the handle until libuv has closed it.
    std::size_t queued_writes_ = 0;
    bool is_connected_ = false;
    bool is_reading_ = false;
    bool is_closed_ = false;
    bool is_released_ = false;  ///< libuv closes the handle.
};

/** Accepts connections. Loop thread only. */
class tcp_listener {
public:
    /** Throws std::runtime_error when the address cannot be bound. */
    tcp_listener(event_loop& loop, const endpoint& address,
                 std::function<void(std::shared_ptr<tcp_stream>)> accepted);
    ~tcp_listener();
    tcp_listener(const tcp_listener&) = delete;
    tcp_listener& operator=(const tcp_listener&) = delete;

private:
    struct state {
        uv_tcp_t handle{};
        event_loop* loop = nullptr;
        std::function<void(std::shared_ptr<tcp_stream>)> accepted;
    };

    static void accept(uv_stream_t* server, int status);

    state* state_;  ///< Owned by the loop until the handle is closed.
};

}  // namespace hornbeamhook::transport
