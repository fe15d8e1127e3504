#include "transport/http_server.h"

#include <pistache/endpoint.h>
#include <pistache/peer.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <utility>

namespace hornbeamhook::transport {

namespace {

constexpr const char* fleet_header = "X-Hornbeamhook-Fleet";
constexpr const char* connection_data = "connection";
/// Pistache parses an incomplete head again with each piece, so a long one costs much time.
constexpr std::size_t max_head_bytes = 16384;
/// Of the largest size in one share at least; what is received counts four times.
constexpr std::size_t requests_in_share = 5;

std::string decode_percent(const std::string& text) {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            result += text[i] == '+' ? ' ' : text[i];
        }
    }
    return result;
}

std::string get_header(const Pistache::Http::Request& request, const std::string& name) {
    const auto raw = request.headers().tryGetRaw(name);
    return raw ? raw->value() : std::string();
}

http_request convert_head(const Pistache::Http::Request& request) {
    http_request result;
    result.method = Pistache::Http::methodString(request.method());
    result.path = request.resource();
    for (auto it = request.query().parameters_begin(); it != request.query().parameters_end();
         ++it) {
        result.query.emplace(it->first, decode_percent(it->second));
    }
    if (const auto authorization =
            request.headers().tryGet<Pistache::Http::Header::Authorization>()) {
        result.authorization = authorization->value();
    }
    result.fleet_secret = get_header(request, fleet_header);
    return result;
}

/** Sends an answer that counts for its connection until the client has taken it. */
void send_counted(Pistache::Http::ResponseWriter& writer,
                  const std::shared_ptr<http_connection>& connection,
                  const http_response& response) {
    const std::size_t bytes = response.body.size();
    connection->begin_answer(bytes);
    const auto done = [connection, bytes] {
        connection->end_answer(bytes);
        connection->finish_refused();
    };
    writer
        .send(static_cast<Pistache::Http::Code>(response.status), response.body,
              Pistache::Http::Mime::MediaType::fromString(response.content_type))
        .then([done](ssize_t) { done(); }, [done](const std::exception_ptr&) { done(); });
}

/** Owns the writer until the one answer is sent. */
class pending_response {
public:
    pending_response(Pistache::Http::ResponseWriter writer,
                     std::shared_ptr<const std::atomic<bool>> is_closing,
                     std::shared_ptr<http_connection> connection, std::size_t body_bytes)
        : writer_(std::move(writer)),
          is_closing_(std::move(is_closing)),
          connection_(std::move(connection)),
          body_bytes_(body_bytes) {
        connection_->begin_request(body_bytes_);
    }
    ~pending_response() {
        if (!is_sent_) {
            connection_->end_request(body_bytes_);
        }
    }
    pending_response(const pending_response&) = delete;
    pending_response& operator=(const pending_response&) = delete;

    void send(const http_response& response) {
        const std::scoped_lock lock(mutex_);
        if (is_sent_) {
            return;
        }
        is_sent_ = true;
        if (*is_closing_) {
            // Pistache already added the client's wish, and does not replace it on add().
            writer_.headers().remove<Pistache::Http::Header::Connection>();
            writer_.headers().add<Pistache::Http::Header::Connection>(
                Pistache::Http::ConnectionControl::Close);
        }
        connection_->end_request(body_bytes_);
        send_counted(writer_, connection_, response);
    }

private:
    std::mutex mutex_;
    bool is_sent_ = false;
    Pistache::Http::ResponseWriter writer_;
    std::shared_ptr<const std::atomic<bool>> is_closing_;
    std::shared_ptr<http_connection> connection_;
    std::size_t body_bytes_;
};

/** What the handlers of all threads share. */
struct handler_parts {
    http_server::handler handle;
    std::function<bool(const http_request& head)> is_from_peer;
    std::shared_ptr<const std::atomic<bool>> is_closing;
    std::shared_ptr<http_limits> limits;
};

class request_handler : public Pistache::Http::Handler {
public:
    HTTP_PROTOTYPE(request_handler)

    explicit request_handler(std::shared_ptr<const handler_parts> parts)
        : parts_(std::move(parts)) {}

    void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
        peer->putData(ParserData,
                      std::make_shared<Pistache::Http::RequestParser>(getMaxRequestSize()));
        peer->putData(connection_data, parts_->limits->add(peer->fd()));
    }

    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
        get_connection(peer)->release_descriptor();
    }

    /** Replaces Pistache's own, which goes on to parse what follows a request that it refused. */
    void onInput(const char* buffer, std::size_t length,
                 const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
        const std::shared_ptr<http_connection> connection = get_connection(peer);
        const auto parser = getParser(peer);
        if (!connection->receive(length, getMaxRequestSize())) {
            reset(*parser);
            return;
        }
        try {
            receive(*parser, buffer, length, peer, connection);
        } catch (const Pistache::Http::HttpError& error) {
            refuse(*parser, peer, connection, error.code(), error.reason());
        } catch (const std::exception& error) {
            refuse(*parser, peer, connection, internal_error, error.what());
        }
    }

    void onRequest(const Pistache::Http::Request& /*request*/,
                   Pistache::Http::ResponseWriter /*response*/) override {}

private:
    static constexpr int payload_too_large = 413;
    static constexpr int head_too_large = 431;
    static constexpr int internal_error = 500;

    static std::shared_ptr<http_connection> get_connection(
        const std::shared_ptr<Pistache::Tcp::Peer>& peer) {
        return std::static_pointer_cast<http_connection>(peer->getData(connection_data));
    }

    /** Drops the request with its memory; the parser's reset() alone keeps that of the body. */
    static void reset(Pistache::Http::RequestParser& parser) {
        static_cast<void>(Pistache::Http::Request(std::move(parser.request)));
        parser.reset();
    }

    void receive(Pistache::Http::RequestParser& parser, const char* buffer, std::size_t length,
                 const std::shared_ptr<Pistache::Tcp::Peer>& peer,
                 const std::shared_ptr<http_connection>& connection) {
        using Pistache::Http::Private::BodyStep;
        using Pistache::Http::Private::State;
        const bool had_head = parser.step()->id() == BodyStep::Id;
        if (!parser.feed(buffer, length)) {
            throw Pistache::Http::HttpError(payload_too_large, "the request is too large");
        }
        const bool is_complete = parser.parse() == State::Done;
        const bool has_head = is_complete || parser.step()->id() == BodyStep::Id;
        if (!has_head && connection->get_received() > max_head_bytes) {
            throw Pistache::Http::HttpError(head_too_large, "the head of the request is too large");
        }
        if (has_head && !had_head) {
            accept_head(parser.request, *connection);
        }
        if (is_complete) {
            complete(parser, peer, connection);
        }
    }

    void accept_head(const Pistache::Http::Request& request, http_connection& connection) {
        const auto length = request.headers().tryGet<Pistache::Http::Header::ContentLength>();
        if (length && length->value() > getMaxRequestSize()) {
            throw Pistache::Http::HttpError(payload_too_large, "the request is too large");
        }
        if (parts_->is_from_peer && parts_->is_from_peer(convert_head(request))) {
            connection.set_peer();
        }
    }

    void complete(Pistache::Http::RequestParser& parser,
                  const std::shared_ptr<Pistache::Tcp::Peer>& peer,
                  const std::shared_ptr<http_connection>& connection) {
        using Pistache::Http::ConnectionControl;
        using connection_header = Pistache::Http::Header::Connection;
        Pistache::Http::ResponseWriter writer(parser.request.version(), transport(), this, peer);
        const auto wish = parser.request.headers().tryGet<connection_header>();
        writer.headers().add<connection_header>(wish ? wish->control() : ConnectionControl::Close);
        peer->setIdle(false);
        http_request request = convert_head(parser.request);
        request.body = parser.request.body();
        reset(parser);
        connection->forget_request();
        const auto pending = std::make_shared<pending_response>(
            std::move(writer), parts_->is_closing, connection, request.body.size());
        parts_->handle(std::move(request),
                       [pending](const http_response& answer) { pending->send(answer); });
    }

    void refuse(Pistache::Http::RequestParser& parser,
                const std::shared_ptr<Pistache::Tcp::Peer>& peer,
                const std::shared_ptr<http_connection>& connection, int status,
                const std::string& reason) {
        Pistache::Http::ResponseWriter writer(parser.request.version(), transport(), this, peer);
        writer.headers().add<Pistache::Http::Header::Connection>(
            Pistache::Http::ConnectionControl::Close);
        reset(parser);
        connection->forget_request();
        connection->refuse();
        send_counted(writer, connection, {status, reason + "\n", "text/plain"});
    }

    std::shared_ptr<const handler_parts> parts_;
};

}  // namespace

struct http_server::implementation {
    http_server_options options;
    handler handle;
    /// Shared with open answers, which may outlive the server.
    std::shared_ptr<std::atomic<bool>> is_closing = std::make_shared<std::atomic<bool>>(false);
    std::shared_ptr<http_limits> limits;
    std::unique_ptr<Pistache::Http::Endpoint> endpoint;
};

http_server::http_server(http_server_options options, handler handle)
    : implementation_(std::make_unique<implementation>()) {
    if (options.address.find(':') == std::string::npos) {
        throw std::runtime_error("listen address " + options.address + " is not ip:port");
    }
    implementation_->options = std::move(options);
    implementation_->handle = std::move(handle);
    const http_server_options& kept = implementation_->options;
    const std::size_t least = kept.max_request_bytes * requests_in_share;
    implementation_->limits = std::make_shared<http_limits>(
        coordination::http_share_limits{std::max(kept.limits.caller_bytes, least),
                                        kept.limits.caller_connections},
        coordination::http_share_limits{std::max(kept.limits.peer_bytes, least),
                                        kept.limits.peer_connections},
        kept.limited);
}

http_server::~http_server() {
    stop();
}

void http_server::start() {
    const http_server_options& options = implementation_->options;
    auto endpoint = std::make_unique<Pistache::Http::Endpoint>(Pistache::Address(options.address));
    auto settings = Pistache::Http::Endpoint::options()
                        .threads(options.threads)
                        .maxRequestSize(options.max_request_bytes)
                        .maxResponseSize(std::size_t{64} << 20U)
                        .keepaliveTimeout(options.keepalive_timeout)
                        .backlog(1024)
                        .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay |
                               Pistache::Tcp::Options::CloseOnExec);
    endpoint->init(settings);
    endpoint->setHandler(
        Pistache::Http::make_handler<request_handler>(std::make_shared<const handler_parts>(
            handler_parts{implementation_->handle, options.is_from_peer,
                          implementation_->is_closing, implementation_->limits})));
    endpoint->serveThreaded();
    implementation_->limits->start();
    implementation_->endpoint = std::move(endpoint);
}

void http_server::close_connections_after_answers() {
    *implementation_->is_closing = true;
}

void http_server::stop() {
    if (implementation_ && implementation_->endpoint) {
        implementation_->endpoint->shutdown();
        implementation_->endpoint.reset();
        implementation_->limits->stop();
    }
}

}  // namespace hornbeamhook::transport
