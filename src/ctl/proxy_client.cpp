#include "ctl/proxy_client.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <utility>

#include "ctl/json_text.h"
#include "transport/transport_error.h"

namespace hornbeamhook::ctl {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {
constexpr std::size_t max_threads = 16;
constexpr std::chrono::milliseconds status_timeout{2000};
}  // namespace

proxy_client::proxy_client(ctl_settings settings) : settings_(std::move(settings)) {}

std::vector<proxy_answer> proxy_client::get_status(const std::vector<protocol::vm_entry>& vms) {
    std::vector<proxy_answer> answers(vms.size());
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t i = next++; i < vms.size(); i = next++) {
            transport::http_call request;
            request.target = "/internal/v1/status";
            request.timeout = std::min(status_timeout, settings_.proxy_timeout);
            answers[i] = call(vms[i], std::move(request));
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(max_threads, vms.size()); ++i) {
        threads.emplace_back(work);
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    return answers;
}

proxy_answer proxy_client::post(const protocol::vm_entry& vm, const std::string& path,
                                const json& body) {
    transport::http_call request;
    request.method = "POST";
    request.target = path;
    request.body = to_text(body);
    request.timeout = settings_.proxy_timeout;
    return call(vm, std::move(request));
}

proxy_answer proxy_client::call(const protocol::vm_entry& vm, transport::http_call request) {
    request.address = settings_.get_dial_address(vm.address);
    request.fleet_secret = settings_.fleet_secret;
    proxy_answer answer;
    answer.vm = vm;
    return leaf::try_handle_all(
        [&]() -> leaf::result<proxy_answer> {
            BOOST_LEAF_AUTO(response, http_.call(request));
            answer.was_sent = true;
            answer.status = response.status;
            answer.body = json::parse(response.body, nullptr, false);
            if (answer.body.is_discarded() || !answer.body.is_object()) {
                answer.failure = proxy_failure::invalid;
                answer.body = json::object();
                answer.message = "the answer is not a JSON object";
            } else if (response.status != 200) {
                answer.failure = proxy_failure::invalid;
                answer.message =
                    "status " + std::to_string(response.status) + ": " + to_text(answer.body);
            }
            return answer;
        },
        [&](const transport::transport_error& error) {
            answer.failure = error.failure == transport::transport_failure::refused
                                 ? proxy_failure::refused
                                 : proxy_failure::silent;
            answer.was_sent = error.was_sent;
            answer.message = error.message;
            return answer;
        },
        [&] {
            answer.failure = proxy_failure::silent;
            answer.message = "unexpected failure";
            return answer;
        });
}

}  // namespace hornbeamhook::ctl
