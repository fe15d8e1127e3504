#include "transport/http_channel.h"

#include <http_parser.h>

#include <algorithm>
#include <utility>

#include "transport/tcp_stream.h"

namespace hornbeamhook::transport {

namespace {

constexpr std::size_t max_idle_connections = 2;        ///< More only help during bursts of calls.
constexpr milliseconds_count max_idle_age_ms = 10000;  ///< Older ones may have gone silent.
constexpr std::size_t max_answer_bytes = 4U << 20;     ///< A full page of rows is 1 MB.

/** Whether the text stays one word of the request line, or one name of a header. */
bool is_word(std::string_view text) {
    return !text.empty() &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
}

/** Whether the text stays the value of one header. */
bool is_header_value(std::string_view text) {
    return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

/** Whether the other end reads the same fields. */
bool is_sendable(const http_exchange_request& request) {
    return is_word(request.method) && is_word(request.path) &&
           std::all_of(
               request.headers.begin(), request.headers.end(), [](const http_header& header) {
                   return is_word(header.name) && header.name.find(':') == std::string::npos &&
                          is_header_value(header.value);
               });
}

}  // namespace

class http_channel::connection : public std::enable_shared_from_this<connection> {
public:
    connection(event_loop& loop, http_channel& channel) : channel_(&channel), timer_(loop) {
        settings_.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
            auto* self = static_cast<connection*>(parser->data);
            // The parser may pass a name or a value in several parts.
            if (!std::exchange(self->is_in_header_name_, true)) {
                self->answer_.headers.emplace_back();
            }
            self->answer_.headers.back().name.append(at, length);
            return 0;
        };
        settings_.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
            auto* self = static_cast<connection*>(parser->data);
            self->is_in_header_name_ = false;
            if (self->answer_.headers.empty()) {
                return 1;
            }
            self->answer_.headers.back().value.append(at, length);
            return 0;
        };
        settings_.on_body = [](http_parser* parser, const char* at, std::size_t length) {
            auto* self = static_cast<connection*>(parser->data);
            self->answer_.body.append(at, length);
            return self->answer_.body.size() > max_answer_bytes ? 1 : 0;
        };
        settings_.on_message_complete = [](http_parser* parser) {
            auto* self = static_cast<connection*>(parser->data);
            self->is_complete_ = true;
            self->answer_.status = static_cast<int>(parser->status_code);
            return 0;
        };
    }

    void open(event_loop& loop, const endpoint& address) {
        stream_ = tcp_stream::connect(loop, address,
                                      make_weak_events(weak_from_this(), &connection::send_pending,
                                                       &connection::receive, &connection::end));
    }

    void begin(std::string bytes, milliseconds_count timeout_ms, callback done) {
        done_ = std::move(done);
        answer_ = {};
        is_complete_ = false;
        is_in_header_name_ = false;
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
        const std::weak_ptr<connection> weak = weak_from_this();
        timer_.start(timeout_ms, 0, [weak] {
            if (const auto self = weak.lock()) {
                if (self->channel_ != nullptr) {
                    self->channel_->drop_idle();
                }
                self->fail(transport_failure::timeout, "no answer in time");
            }
        });
        if (is_connected_) {
            stream_->write(std::move(bytes));
        } else {
            pending_ = std::move(bytes);
        }
    }

    /** Ends an exchange that was never begun, from the loop. */
    void refuse(callback done) {
        done_ = std::move(done);
        const std::weak_ptr<connection> weak = weak_from_this();
        timer_.start(0, 0, [weak] {
            if (const auto self = weak.lock()) {
                self->fail(transport_failure::invalid, "a field of the request cannot be sent");
            }
        });
    }

    bool is_usable() const {
        return stream_->is_open() && get_boot_time() - idle_since_ < max_idle_age_ms;
    }

    void drop() {
        channel_ = nullptr;
        done_ = nullptr;
        timer_.stop();
        reset_stream();
    }

private:
    void reset_stream() {
        if (stream_) {
            stream_->reset();
        }
    }

    void send_pending() {
        is_connected_ = true;
        stream_->write(std::exchange(pending_, {}));
    }

    void end(bool is_refused) {
        fail(is_refused ? transport_failure::refused : transport_failure::closed,
             "connection ended");
    }

    void receive(std::string_view bytes) {
        if (!done_) {
            fail(transport_failure::invalid, "bytes without a request");
            return;
        }
        const std::size_t parsed =
            http_parser_execute(&parser_, &settings_, bytes.data(), bytes.size());
        if (is_complete_) {
            finish(http_should_keep_alive(&parser_) != 0 && parsed == bytes.size());
        } else if (parsed != bytes.size()) {
            fail(transport_failure::invalid, "answer is not HTTP");
        }
    }

    void fail(transport_failure failure, std::string message) {
        answer_ = {};
        answer_.error = {failure, is_connected_, std::move(message)};
        reset_stream();
        finish(false);
    }

    void finish(bool is_reusable) {
        const std::shared_ptr<connection> self = shared_from_this();
        timer_.stop();
        idle_since_ = get_boot_time();
        const callback done = std::exchange(done_, nullptr);
        const http_exchange_answer answer = std::move(answer_);
        if (channel_ != nullptr) {
            channel_->release(self, is_reusable);
        }
        if (done) {
            done(answer);
        }
    }

    http_channel* channel_;
    loop_timer timer_;
    std::shared_ptr<tcp_stream> stream_;
    http_parser parser_{};
    http_parser_settings settings_{};
    callback done_;
    http_exchange_answer answer_;
    std::string pending_;
    milliseconds_count idle_since_ = 0;
    bool is_connected_ = false;
    bool is_complete_ = false;
    bool is_in_header_name_ = false;  ///< The header parsed last has no value yet.
};

/** A request whose next attempts follow unless one is answered. */
struct http_channel::repeated_exchange {
    http_exchange_request request;
    callback done;
    int attempts_left = 0;
    int outstanding = 0;
    loop_timer timer;
};

http_channel::http_channel(event_loop& loop, endpoint address)
    : loop_(loop), address_(std::move(address)) {}

http_channel::~http_channel() {
    for (const auto* list : {&idle_, &busy_}) {
        for (const std::shared_ptr<connection>& entry : *list) {
            entry->drop();
        }
    }
}

void http_channel::send(const http_exchange_request& request, callback done) {
    if (!is_sendable(request)) {
        busy_.push_back(std::make_shared<connection>(loop_, *this));
        busy_.back()->refuse(std::move(done));
        return;
    }
    std::string bytes = request.method + " " + request.path +
                        " HTTP/1.1\r\nHost: " + format_endpoint(address_) + "\r\n";
    for (const http_header& header : request.headers) {
        bytes += header.name + ": " + header.value + "\r\n";
    }
    if (!request.body.empty() || request.method != "GET") {
        bytes += "Content-Type: application/json\r\nContent-Length: " +
                 std::to_string(request.body.size()) + "\r\n";
    }
    bytes += "\r\n" + request.body;
    std::shared_ptr<connection> chosen;
    while (!request.is_connection_new && !idle_.empty() && !chosen) {
        chosen = idle_.back();
        idle_.pop_back();
        if (!chosen->is_usable()) {
            chosen->drop();
            chosen = nullptr;
        }
    }
    if (!chosen) {
        chosen = std::make_shared<connection>(loop_, *this);
        chosen->open(loop_, address_);
    }
    busy_.push_back(chosen);
    chosen->begin(std::move(bytes), request.timeout_ms, std::move(done));
}

void http_channel::send_repeatedly(const http_exchange_request& request,
                                   milliseconds_count interval_ms, int attempts, callback done) {
    const std::shared_ptr<repeated_exchange> exchange(
        new repeated_exchange{request, std::move(done), attempts, 0, loop_timer(loop_)});
    repeated_.push_back(exchange);
    exchange->timer.start(interval_ms, interval_ms, [this, weak = std::weak_ptr(exchange)] {
        if (const auto entry = weak.lock()) {
            entry->request.is_connection_new = true;
            send_attempt(entry);
        }
    });
    send_attempt(exchange);
}

void http_channel::send_attempt(const std::shared_ptr<repeated_exchange>& exchange) {
    if (--exchange->attempts_left == 0) {
        exchange->timer.stop();
    }
    ++exchange->outstanding;
    send(exchange->request, [this, exchange](const http_exchange_answer& answer) {
        --exchange->outstanding;
        const bool is_last = exchange->attempts_left == 0 && exchange->outstanding == 0;
        if (!exchange->done || (answer.status == 0 && !is_last)) {
            return;
        }
        exchange->timer.stop();
        exchange->attempts_left = 0;
        std::erase(repeated_, exchange);
        std::exchange(exchange->done, nullptr)(answer);
    });
}

void http_channel::drop_idle() {
    for (const std::shared_ptr<connection>& entry : std::exchange(idle_, {})) {
        entry->drop();
    }
}

void http_channel::release(const std::shared_ptr<connection>& used, bool is_reusable) {
    std::erase(busy_, used);
    std::erase(idle_, used);
    if (is_reusable && idle_.size() < max_idle_connections) {
        idle_.push_back(used);
    } else {
        used->drop();
    }
}

}  // namespace hornbeamhook::transport
