#include "transport/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace hornbeamhook::transport {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t max_idle_per_address = 64;
// The keep-alive timeout of our servers is 300 s; staying below avoids using a dying connection.
constexpr long max_idle_seconds = 60;

/** State of the body while libcurl reads it. */
struct upload {
    const std::string* body = nullptr;
    std::size_t offset = 0;
    bool is_started = false;
};

/**
 * Hands out the body once. libcurl silently repeats a request on a fresh connection when a reused
 * one closes without an answer; aborting the second read keeps a request from being sent twice.
 */
std::size_t read_body(char* buffer, std::size_t size, std::size_t count, void* user) {
    auto* state = static_cast<upload*>(user);
    const std::size_t room = size * count;
    const std::size_t left = state->body->size() - state->offset;
    if (state->is_started && left == 0 && !state->body->empty()) {
        return CURL_READFUNC_ABORT;
    }
    state->is_started = true;
    const std::size_t length = std::min(room, left);
    std::memcpy(buffer, state->body->data() + state->offset, length);
    state->offset += length;
    return length;
}

std::size_t write_body(char* data, std::size_t size, std::size_t count, void* user) {
    static_cast<std::string*>(user)->append(data, size * count);
    return size * count;
}

transport_error describe(CURL* handle, CURLcode code, const upload& body) {
    long request_size = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_size);
    transport_error error;
    // When a reused connection breaks, libcurl tries a new one; the failure to open that one says
    // nothing about the bytes that left on the first.
    error.was_sent = request_size > 0 || body.is_started;
    error.message = curl_easy_strerror(code);
    if (code == CURLE_COULDNT_CONNECT) {
        error.failure = error.was_sent ? transport_failure::closed : transport_failure::refused;
    } else if (code == CURLE_OPERATION_TIMEDOUT) {
        error.failure =
            error.was_sent ? transport_failure::timeout : transport_failure::unreachable;
    } else if (code == CURLE_WEIRD_SERVER_REPLY || code == CURLE_BAD_CONTENT_ENCODING) {
        error.failure = transport_failure::invalid;
    }
    return error;
}

void set_common_options(CURL* handle, const http_call& request, const std::string& url,
                        curl_slist* headers, std::string& answer) {
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, max_idle_seconds);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, std::max<long>(1, request.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     std::max<long>(1, request.connect_timeout.count()));
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, write_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer);
}

void set_method(CURL* handle, const http_call& request, upload& body) {
    if (request.method == "GET") {
        curl_easy_setopt(handle, CURLOPT_HTTPGET, 1L);
        return;
    }
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle, CURLOPT_READFUNCTION, read_body);
    curl_easy_setopt(handle, CURLOPT_READDATA, &body);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
}

}  // namespace

struct http_client::implementation {
    using clock = std::chrono::steady_clock;

    struct idle_handle {
        CURL* handle = nullptr;
        clock::time_point since;
    };

    std::mutex mutex;
    std::map<std::string, std::vector<idle_handle>> idle;  ///< By address, the newest last.

    CURL* take(const std::string& address) {
        {
            const std::scoped_lock lock(mutex);
            std::vector<idle_handle>& handles = idle[address];
            if (!handles.empty()) {
                CURL* handle = handles.back().handle;
                handles.pop_back();
                return handle;
            }
        }
        return curl_easy_init();
    }

    void give_back(const std::string& address, CURL* handle, bool is_usable) {
        if (is_usable) {
            curl_easy_reset(handle);
            const std::scoped_lock lock(mutex);
            std::vector<idle_handle>& handles = idle[address];
            if (handles.size() < max_idle_per_address) {
                handles.push_back({handle, clock::now()});
                return;
            }
        }
        curl_easy_cleanup(handle);
    }

    void discard_idle_since_before(const std::string& address, clock::time_point time) {
        std::vector<idle_handle> discarded;
        {
            const std::scoped_lock lock(mutex);
            std::vector<idle_handle>& handles = idle[address];
            const auto kept =
                std::find_if(handles.begin(), handles.end(),
                             [time](const idle_handle& each) { return each.since >= time; });
            discarded.assign(handles.begin(), kept);
            handles.erase(handles.begin(), kept);
        }
        for (const idle_handle& each : discarded) {
            curl_easy_cleanup(each.handle);
        }
    }
};

http_client::http_client() : implementation_(std::make_unique<implementation>()) {
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_ALL);
    static_cast<void>(initialised);
}

http_client::~http_client() {
    for (auto& [address, handles] : implementation_->idle) {
        for (const implementation::idle_handle& each : handles) {
            curl_easy_cleanup(each.handle);
        }
    }
}

leaf::result<http_response> http_client::call(const http_call& request) {
    const implementation::clock::time_point started_at = implementation::clock::now();
    CURL* handle = implementation_->take(request.address);
    if (handle == nullptr) {
        return leaf::new_error(
            transport_error{transport_failure::unreachable, false, "no client handle"});
    }
    curl_slist* headers = nullptr;
    headers = curl_slist_append(headers, "Content-Type: application/json");
    headers = curl_slist_append(headers, "Expect:");
    // Pistache closes a connection after each answer unless the request asks to keep it.
    headers = curl_slist_append(headers, "Connection: keep-alive");
    if (!request.authorization.empty()) {
        headers = curl_slist_append(headers, ("Authorization: " + request.authorization).c_str());
    }
    if (!request.fleet_secret.empty()) {
        headers =
            curl_slist_append(headers, ("X-Hornbeamhook-Fleet: " + request.fleet_secret).c_str());
    }
    const std::string url = "http://" + request.address + request.target;
    http_response response;
    upload body{&request.body};
    set_common_options(handle, request, url, headers, response.body);
    set_method(handle, request, body);
    const CURLcode code = curl_easy_perform(handle);
    if (code != CURLE_OK) {
        const transport_error error = describe(handle, code, body);
        curl_slist_free_all(headers);
        implementation_->give_back(request.address, handle, false);
        if (code == CURLE_OPERATION_TIMEDOUT) {
            implementation_->discard_idle_since_before(request.address, started_at);
        }
        return leaf::new_error(error);
    }
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    curl_slist_free_all(headers);
    implementation_->give_back(request.address, handle, true);
    return response;
}

}  // namespace hornbeamhook::transport
