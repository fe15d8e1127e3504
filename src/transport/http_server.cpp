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

/** What the answers of one server share. Outlives the server while answers are open. */
struct server_activity {
    std::atomic<bool> is_closing = false;
    std::atomic<int> open_requests = 0;
    std::atomic<std::chrono::steady_clock::time_point> last_request{
        std::chrono::steady_clock::time_point{}};
};

/** Owns the writer until the one answer is sent. */
class pending_response {
public:
    pending_response(Pistache::Http::ResponseWriter writer,
                     std::shared_ptr<server_activity> activity)
        : writer_(std::move(writer)), activity_(std::move(activity)) {
        activity_->last_request = std::chrono::steady_clock::now();
        ++activity_->open_requests;
    }

    // A handler that drops its responder must not keep the server busy for ever.
    ~pending_response() {
        if (!is_sent_) {
            --activity_->open_requests;
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
        if (activity_->is_closing) {
            // Pistache already added the client's wish, and does not replace it on add().
            writer_.headers().remove<Pistache::Http::Header::Connection>();
            writer_.headers().add<Pistache::Http::Header::Connection>(
                Pistache::Http::ConnectionControl::Close);
        }
        writer_.send(static_cast<Pistache::Http::Code>(response.status), response.body,
                     Pistache::Http::Mime::MediaType::fromString(response.content_type));
        --activity_->open_requests;
    }

private:
    std::mutex mutex_;
    bool is_sent_ = false;
    Pistache::Http::ResponseWriter writer_;
    std::shared_ptr<server_activity> activity_;
};

class request_handler : public Pistache::Http::Handler {
public:
    HTTP_PROTOTYPE(request_handler)

    request_handler(http_server::handler handle, std::shared_ptr<server_activity> activity)
        : handle_(std::move(handle)), activity_(std::move(activity)) {}

    void onRequest(const Pistache::Http::Request& request,
                   Pistache::Http::ResponseWriter response) override {
        auto pending = std::make_shared<pending_response>(std::move(response), activity_);
        handle_(convert(request),
                [pending](const http_response& answer) { pending->send(answer); });
    }

private:
    http_server::handler handle_;
    std::shared_ptr<server_activity> activity_;
};

}  // namespace

struct http_server::implementation {
    http_server_options options;
    handler handle;
    std::shared_ptr<server_activity> activity = std::make_shared<server_activity>();
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
    endpoint->setHandler(Pistache::Http::make_handler<request_handler>(implementation_->handle,
                                                                       implementation_->activity));
    endpoint->serveThreaded();
    implementation_->endpoint = std::move(endpoint);
}

void http_server::close_connections_after_answers() {
    implementation_->activity->is_closing = true;
}

bool http_server::is_quiet(std::chrono::milliseconds quiet_time) const {
    const server_activity& activity = *implementation_->activity;
    return activity.open_requests == 0 &&
           std::chrono::steady_clock::now() - activity.last_request.load() >= quiet_time;
}

void http_server::stop() {
    if (implementation_ && implementation_->endpoint) {
        implementation_->endpoint->shutdown();
        implementation_->endpoint.reset();
    }
}

}  // namespace hornbeamhook::transport
