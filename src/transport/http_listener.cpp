#include "transport/http_listener.h"

#include <http_parser.h>

#include <utility>

namespace hornbeamhook::transport {

namespace {

constexpr std::size_t max_request_bytes = 2U << 20;  ///< A forwarded store call has at most 1 MB.

}  // namespace

class http_listener::connection : public std::enable_shared_from_this<connection> {
public:
    connection(std::shared_ptr<tcp_stream> stream, std::shared_ptr<handler> handle)
        : stream_(std::move(stream)), handle_(std::move(handle)) {
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
        settings_.on_url = [](http_parser* parser, const char* at, std::size_t length) {
            static_cast<connection*>(parser->data)->call_.path.append(at, length);
            return 0;
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
                        .ended = [self](bool) { self->is_ended_ = true; }});
    }

private:
    void receive(std::string_view bytes) {
        const std::shared_ptr<connection> self = shared_from_this();
        if (http_parser_execute(&parser_, &settings_, bytes.data(), bytes.size()) != bytes.size()) {
            is_ended_ = true;
            stream_->close();
        }
    }

    void complete() {
        call_.method = http_method_str(static_cast<http_method>(parser_.method));
        const http_call call = std::exchange(call_, {});
        const std::shared_ptr<connection> self = shared_from_this();
        if (!*handle_) {
            return;
        }
        (*handle_)(call, [self](const http_reply& reply) { self->respond(reply); });
    }

    void respond(const http_reply& reply) {
        if (is_ended_) {
            return;
        }
        std::string headers;
        for (const http_header& header : reply.headers) {
            headers += header.name + ": " + header.value + "\r\n";
        }
        stream_->write("HTTP/1.1 " + std::to_string(reply.status) +
                       " -\r\nContent-Type: " + reply.content_type + "\r\nContent-Length: " +
                       std::to_string(reply.body.size()) + "\r\n" + headers + "\r\n" + reply.body);
    }

    std::shared_ptr<tcp_stream> stream_;
    std::shared_ptr<handler> handle_;
    http_parser parser_{};
    http_parser_settings settings_{};
    http_call call_;
    bool is_ended_ = false;
};

http_listener::http_listener(event_loop& loop, const endpoint& address, handler handle)
    : handle_(std::make_shared<handler>(std::move(handle))),
      listener_(loop, address, [handle = handle_](const std::shared_ptr<tcp_stream>& stream) {
          std::make_shared<connection>(stream, handle)->start();
      }) {}

http_listener::~http_listener() {
    // Connections may outlive the listener until the loop has closed them.
    *handle_ = nullptr;
}

}  // namespace hornbeamhook::transport
