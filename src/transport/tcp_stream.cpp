#include "transport/tcp_stream.h"

#include <array>
#include <stdexcept>
#include <utility>

namespace hornbeamhook::transport {

namespace {

constexpr std::size_t read_buffer_bytes = 65536;  ///< One read takes what a link delivers at once.
constexpr int listen_backlog = 1024;              ///< Covers a fleet of callers that reconnects.

struct write_request {
    uv_write_t request{};
    std::string bytes;
};

uv_stream_t* as_stream(uv_tcp_t& handle) {
    return reinterpret_cast<uv_stream_t*>(&handle);
}

}  // namespace

tcp_stream::tcp_stream(event_loop& loop) {
    uv_tcp_init(loop.get_handle(), &handle_);
    handle_.data = this;
}

std::shared_ptr<tcp_stream> tcp_stream::connect(event_loop& loop, const endpoint& address,
                                                stream_events events) {
    std::shared_ptr<tcp_stream> stream(new tcp_stream(loop));
    stream->events_ = std::move(events);
    stream->self_ = stream;
    sockaddr_in target{};
    uv_ip4_addr(address.host.c_str(), address.port, &target);
    auto request = std::make_unique<uv_connect_t>();
    const int status =
        uv_tcp_connect(request.get(), &stream->handle_, reinterpret_cast<const sockaddr*>(&target),
                       [](uv_connect_t* done, int result) {
                           const std::unique_ptr<uv_connect_t> owner(done);
                           if (result == UV_ECANCELED) {
                               return;
                           }
                           const std::shared_ptr<tcp_stream> self =
                               static_cast<tcp_stream*>(done->handle->data)->shared_from_this();
                           if (result != 0) {
                               self->finish(result == UV_ECONNREFUSED || result == UV_ECONNRESET);
                               return;
                           }
                           self->begin_reading();
                           if (self->events_.connected) {
                               self->events_.connected();
                           }
                       });
    if (status == 0) {
        // libuv owns the request until the callback.
        static_cast<void>(request.release());
    } else {
        uv_tcp_t* handle = &stream->handle_;
        stream->is_closed_ = true;
        stream->is_released_ = true;
        // The owner does not hold the stream yet, so the end is reported from the close callback.
        uv_close(reinterpret_cast<uv_handle_t*>(handle), [](uv_handle_t* closed) {
            const std::shared_ptr<tcp_stream> self =
                std::exchange(static_cast<tcp_stream*>(closed->data)->self_, nullptr);
            if (self->events_.ended) {
                self->events_.ended(false);
            }
            self->events_ = {};
        });
    }
    return stream;
}

void tcp_stream::start(stream_events events) {
    events_ = std::move(events);
    begin_reading();
}

void tcp_stream::begin_reading() {
    uv_tcp_nodelay(&handle_, 1);
    is_connected_ = true;
    read();
}

void tcp_stream::set_reading(bool is_reading) {
    if (is_closed_ || !is_connected_ || is_reading == is_reading_) {
        return;
    }
    if (is_reading) {
        read();
    } else {
        uv_read_stop(as_stream(handle_));
        is_reading_ = false;
    }
}

void tcp_stream::read() {
    is_reading_ = true;
    uv_read_start(
        as_stream(handle_),
        [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
            // All streams share one buffer: each read is consumed before the next one.
            static std::array<char, read_buffer_bytes> bytes;
            *buffer = uv_buf_init(bytes.data(), bytes.size());
        },
        [](uv_stream_t* stream, ssize_t count, const uv_buf_t* buffer) {
            if (count == 0) {
                return;
            }
            const std::shared_ptr<tcp_stream> self =
                static_cast<tcp_stream*>(stream->data)->shared_from_this();
            if (count < 0) {
                self->finish(false);
            } else if (self->events_.received) {
                self->events_.received(
                    std::string_view(buffer->base, static_cast<std::size_t>(count)));
            }
        });
}

void tcp_stream::write(std::string bytes) {
    if (is_closed_) {
        return;
    }
    std::size_t sent = 0;
    if (uv_stream_get_write_queue_size(as_stream(handle_)) == 0) {
        const uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned int>(bytes.size()));
        const int result = uv_try_write(as_stream(handle_), &buffer, 1);
        sent = result > 0 ? static_cast<std::size_t>(result) : 0;
    }
    if (sent == bytes.size()) {
        return;
    }
    auto request = std::make_unique<write_request>();
    request->bytes = sent == 0 ? std::move(bytes) : bytes.substr(sent);
    request->request.data = request.get();
    const uv_buf_t buffer =
        uv_buf_init(request->bytes.data(), static_cast<unsigned int>(request->bytes.size()));
    // A failed write also ends the reads, which report the end of the stream.
    const int status =
        uv_write(&request->request, as_stream(handle_), &buffer, 1, [](uv_write_t* done, int) {
            --static_cast<tcp_stream*>(done->handle->data)->queued_writes_;
            delete static_cast<write_request*>(done->data);
        });
    if (status == 0) {
        ++queued_writes_;
        static_cast<void>(request.release());
    }
}

void tcp_stream::close() {
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    uv_read_stop(as_stream(handle_));
    if (uv_stream_get_write_queue_size(as_stream(handle_)) == 0) {
        release();
        return;
    }
    auto request = std::make_unique<uv_shutdown_t>();
    const int status = uv_shutdown(request.get(), as_stream(handle_), [](uv_shutdown_t* done, int) {
        const std::unique_ptr<uv_shutdown_t> owner(done);
        static_cast<tcp_stream*>(done->handle->data)->release();
    });
    if (status == 0) {
        static_cast<void>(request.release());
    } else {
        release();
    }
}

void tcp_stream::reset() {
    if (is_released_) {
        return;
    }
    // libuv refuses to reset a stream that is shutting down.
    if (std::exchange(is_closed_, true) || uv_tcp_close_reset(&handle_, &tcp_stream::forget) != 0) {
        release();
    } else {
        is_released_ = true;
    }
}

std::size_t tcp_stream::get_queued_bytes() const {
    return uv_stream_get_write_queue_size(reinterpret_cast<const uv_stream_t*>(&handle_));
}

std::size_t tcp_stream::get_queue_memory() const {
    constexpr std::size_t allocation_bytes = 64;  // Of the request and of its text.
    return get_queued_bytes() + queued_writes_ * (sizeof(write_request) + allocation_bytes);
}

void tcp_stream::finish(bool is_refused) {
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    const stream_events events = std::exchange(events_, {});
    release();
    if (events.ended) {
        events.ended(is_refused);
    }
}

void tcp_stream::release() {
    if (std::exchange(is_released_, true)) {
        return;
    }
    uv_close(reinterpret_cast<uv_handle_t*>(&handle_), &tcp_stream::forget);
}

void tcp_stream::forget(uv_handle_t* handle) {
    const std::shared_ptr<tcp_stream> self =
        std::exchange(static_cast<tcp_stream*>(handle->data)->self_, nullptr);
    // Not earlier: close() may be called from within one of these functions.
    self->events_ = {};
}

tcp_listener::tcp_listener(event_loop& loop, const endpoint& address,
                           std::function<void(std::shared_ptr<tcp_stream>)> accepted)
    : state_(new state) {
    state_->loop = &loop;
    state_->accepted = std::move(accepted);
    uv_tcp_init(loop.get_handle(), &state_->handle);
    state_->handle.data = state_;
    sockaddr_in local{};
    uv_ip4_addr(address.host.c_str(), address.port, &local);
    uv_tcp_bind(&state_->handle, reinterpret_cast<const sockaddr*>(&local), 0);
    const int status = uv_listen(as_stream(state_->handle), listen_backlog, &tcp_listener::accept);
    if (status != 0) {
        throw std::runtime_error("cannot listen on " + format_endpoint(address) + ": " +
                                 uv_strerror(status));
    }
}

tcp_listener::~tcp_listener() {
    uv_close(reinterpret_cast<uv_handle_t*>(&state_->handle),
             [](uv_handle_t* handle) { delete static_cast<state*>(handle->data); });
}

void tcp_listener::accept(uv_stream_t* server, int status) {
    if (status != 0) {
        return;
    }
    state* listener = static_cast<state*>(server->data);
    const std::shared_ptr<tcp_stream> stream(new tcp_stream(*listener->loop));
    stream->self_ = stream;
    if (uv_accept(server, as_stream(stream->handle_)) != 0) {
        stream->close();
        return;
    }
    listener->accepted(stream);
}

}  // namespace hornbeamhook::transport
