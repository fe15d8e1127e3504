#include "transport/http_listener.h"

#include <http_parser.h>

#include <map>
#include <utility>

#include "coordination/holder_budget.h"

namespace hornbeamhook::transport {

namespace {

constexpr std::size_t max_request_bytes = 2U << 20;  ///< A forwarded store call has at most 1 MB.
constexpr std::size_t max_path_bytes = 8192;         ///< Far above a table and a version.
constexpr std::size_t connection_overhead_bytes = 1024;
constexpr std::size_t default_max_bytes = std::size_t{32} << 20;
constexpr std::size_t default_max_connections = 1024;

}  // namespace

struct http_listener::shared_state {
    handler handle;
    coordination::holder_budget budget{default_max_bytes};
    std::size_t max_connections = default_max_connections;
    coordination::holder_number last_number = 0;
    std::map<coordination::holder_number, std::weak_ptr<connection>> connections;

    void update(coordination::holder_number number, std::size_t bytes);
    /** Closes connections for a new one if there are too many. */
    void make_room();
};

class http_listener::connection : public std::enable_shared_from_this<connection> {
public:
    connection(std::shared_ptr<tcp_stream> stream, std::shared_ptr<shared_state> state,
               coordination::holder_number number)
        : stream_(std::move(stream)), state_(std::move(state)), number_(number) {
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
        settings_.on_url = [](http_parser* parser, const char* at, std::size_t length) {
            auto* self = static_cast<connection*>(parser->data);
            self->call_.path.append(at, length);
            return self->call_.path.size() > max_path_bytes ? 1 : 0;
        };
        settings_.on_body = [](http_parser* parser, const char* at, std::size_t length) {
            auto* self = static_cast<connection*>(parser->data);
            self->call_.body.append(at, length);
            return self->call_.body.size() > max_request_bytes ? 1 : 0;
        };
        settings_.on_message_complete = [](http_parser* parser) {
            static_cast<connection*>(parser->data)->complete();
            return 0;
        };
    }

    void start() {
        // The stream's events own the connection until the stream ends.
        const std::shared_ptr<connection> self = shared_from_this();
        stream_->start({.connected = {},
                        .received = [self](std::string_view bytes) { self->receive(bytes); },
                        .ended = [self](bool) { self->forget(); }});
        count();
    }

    /** Closes the connection at once; nothing more is sent. */
    void abort() {
        stream_->reset();
        forget();
    }

    /** Whether no request is being answered. */
    bool is_resting() const { return outstanding_ == 0; }
    milliseconds_count get_active_at() const { return active_at_; }

private:
    void receive(std::string_view bytes) {
        const std::shared_ptr<connection> self = shared_from_this();
        active_at_ = get_boot_time();
        const std::size_t parsed =
            http_parser_execute(&parser_, &settings_, bytes.data(), bytes.size());
        if (is_ended_) {
            return;
        }
        if (parsed != bytes.size()) {
            if (stream_->get_queued_bytes() > 0) {
                abort();  // Such a client may never take what is queued.
            } else {
                stream_->close();
                forget();
            }
            return;
        }
        count();
    }

    void count() {
        if (!is_ended_) {
            state_->update(number_, connection_overhead_bytes + call_.path.capacity() +
                                        call_.body.capacity() + stream_->get_queue_memory());
        }
    }

    void forget() {
        is_ended_ = true;
        state_->budget.remove(number_);
        state_->connections.erase(number_);
    }

    void complete() {
        call_.method = http_method_str(static_cast<http_method>(parser_.method));
        const http_call call = std::exchange(call_, {});
        const std::shared_ptr<connection> self = shared_from_this();
        if (!state_->handle || is_ended_) {
            return;
        }
        ++outstanding_;
        state_->handle(call, [self](const http_reply& reply) { self->respond(reply); });
    }

    void respond(const http_reply& reply) {
        if (is_ended_) {
            return;
        }
        --outstanding_;
        std::string headers;
        for (const http_header& header : reply.headers) {
            headers += header.name + ": " + header.value + "\r\n";
        }
        stream_->write("HTTP/1.1 " + std::to_string(reply.status) +
                       " -\r\nContent-Type: " + reply.content_type + "\r\nContent-Length: " +
                       std::to_string(reply.body.size()) + "\r\n" + headers + "\r\n" + reply.body);
        count();
    }

    std::shared_ptr<tcp_stream> stream_;
    std::shared_ptr<shared_state> state_;
    coordination::holder_number number_;
    milliseconds_count active_at_ = get_boot_time();
    int outstanding_ = 0;  ///< Requests without an answer.
    http_parser parser_{};
    http_parser_settings settings_{};
    http_call call_;
    bool is_ended_ = false;
};

void http_listener::shared_state::update(coordination::holder_number number, std::size_t bytes) {
    budget.update(number, bytes);
    while (const auto payer = budget.find_payer()) {
        const auto found = connections.find(*payer);
        const auto entry = found == connections.end() ? nullptr : found->second.lock();
        budget.remove(*payer);
        if (entry) {
            entry->abort();
        }
    }
}

void http_listener::shared_state::make_room() {
    if (connections.size() < max_connections) {
        return;
    }
    std::shared_ptr<connection> chosen;
    for (const auto& [number, weak] : connections) {
        const auto entry = weak.lock();
        const bool is_better =
            entry && (!chosen || (entry->is_resting() && !chosen->is_resting()) ||
                      (entry->is_resting() == chosen->is_resting() &&
                       entry->get_active_at() < chosen->get_active_at()));
        if (is_better) {
            chosen = entry;
        }
    }
    if (chosen) {
        chosen->abort();
    }
}

http_listener::http_listener(event_loop& loop, const endpoint& address, handler handle)
    : state_(std::make_shared<shared_state>()),
      listener_(loop, address, [state = state_](const std::shared_ptr<tcp_stream>& stream) {
          state->make_room();
          const coordination::holder_number number = ++state->last_number;
          const auto entry = std::make_shared<connection>(stream, state, number);
          state->connections.emplace(number, entry);
          entry->start();
      }) {
    state_->handle = std::move(handle);
}

http_listener::~http_listener() {
    // Connections may outlive the listener until the loop has closed them.
    state_->handle = nullptr;
}

void http_listener::set_limits(std::size_t max_bytes, std::size_t max_connections) {
    state_->budget.set_limit(max_bytes);
    state_->max_connections = max_connections;
}

}  // namespace hornbeamhook::transport
