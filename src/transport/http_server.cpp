#include "transport/http_server.h"

#include <pistache/endpoint.h>

#include <atomic>
#include <cstdlib>
#include <mutex>
#include <stdexcept>
#include <utility>

namespace hornbeamhook::transport {

namespace {

constexpr const char* fleet_header = "X-Hornbeamhook-Fleet";

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

http_request convert(const Pistache::Http::Request& request) {
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
    result.body = request.body();
    return result;
}

/** Owns the writer until the one answer is sent. */
class pending_response {
public:
    pending_response(Pistache::Http::ResponseWriter writer,
                     std::shared_ptr<const std::atomic<bool>> is_closing)
        : writer_(std::move(writer)), is_closing_(std::move(is_closing)) {}

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
        writer_.send(static_cast<Pistache::Http::Code>(response.status), response.body,
                     Pistache::Http::Mime::MediaType::fromString(response.content_type));
    }

private:
    std::mutex mutex_;
    bool is_sent_ = false;
    Pistache::Http::ResponseWriter writer_;
    std::shared_ptr<const std::atomic<bool>> is_closing_;
};

class request_handler : public Pistache::Http::Handler {
public:
    HTTP_PROTOTYPE(request_handler)

    request_handler(http_server::handler handle,
                    std::shared_ptr<const std::atomic<bool>> is_closing)
        : handle_(std::move(handle)), is_closing_(std::move(is_closing)) {}

    void onRequest(const Pistache::Http::Request& request,
                   Pistache::Http::ResponseWriter response) override {
        auto pending = std::make_shared<pending_response>(std::move(response), is_closing_);
        handle_(convert(request),
                [pending](const http_response& answer) { pending->send(answer); });
    }

private:
    http_server::handler handle_;
    std::shared_ptr<const std::atomic<bool>> is_closing_;
};

}  // namespace

struct http_server::implementation {
    http_server_options options;
    handler handle;
    /// Shared with open answers, which may outlive the server.
    std::shared_ptr<std::atomic<bool>> is_closing = std::make_shared<std::atomic<bool>>(false);
    std::unique_ptr<Pistache::Http::Endpoint> endpoint;
};

http_server::http_server(http_server_options options, handler handle)
    : implementation_(std::make_unique<implementation>()) {
    if (options.address.find(':') == std::string::npos) {
        throw std::runtime_error("listen address " + options.address + " is not ip:port");
    }
    implementation_->options = std::move(options);
    implementation_->handle = std::move(handle);
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
    endpoint->setHandler(Pistache::Http::make_handler<request_handler>(
        implementation_->handle, implementation_->is_closing));
    endpoint->serveThreaded();
    implementation_->endpoint = std::move(endpoint);
}

void http_server::close_connections_after_answers() {
    *implementation_->is_closing = true;
}

void http_server::stop() {
    if (implementation_ && implementation_->endpoint) {
        implementation_->endpoint->shutdown();
        implementation_->endpoint.reset();
    }
}

}  // namespace hornbeamhook::transport
