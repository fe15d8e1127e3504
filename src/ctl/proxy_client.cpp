#include "ctl/proxy_client.h"

#include <algorithm>
#include <atomic>
#include <set>
#include <thread>
#include <utility>

#include "ctl/json_text.h"
#include "state/member.h"
#include "transport/transport_error.h"

namespace hornbeamhook::ctl {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {
constexpr const char* status_path = "/internal/v1/status";
constexpr const char* sessions_path = "/internal/v1/sessions";
constexpr std::size_t max_threads = 16;
constexpr std::chrono::milliseconds status_timeout{2000};
// Members named by members are all that a second round can add in a connected fleet.
constexpr int max_member_rounds = 2;

/** The live members that a proxy names in its status. */
std::vector<protocol::vm_entry> get_live_members(const json& status) {
    std::vector<protocol::vm_entry> result;
    const auto members = status.find("live_members");
    if (members == status.end() || !members->is_array()) {
        return result;
    }
    for (const json& item : *members) {
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(member, state::parse_member(item));
                result.push_back({member.vm, member.address, member.place, member.data_center,
                                  member.state == state::member_state::leaving});
                return {};
            },
            [] {});
    }
    return result;
}
}  // namespace

proxy_client::proxy_client(ctl_settings settings) : settings_(std::move(settings)) {}

std::vector<proxy_answer> proxy_client::get_status(const std::vector<protocol::vm_entry>& vms) {
    std::vector<proxy_answer> answers = get_from(vms, status_path);
    std::set<std::string> asked;
    for (const protocol::vm_entry& vm : vms) {
        asked.insert(vm.address);
    }
    for (int round = 0; round < max_member_rounds; ++round) {
        std::vector<protocol::vm_entry> unlisted;
        for (const proxy_answer& answer : answers) {
            for (protocol::vm_entry& vm : get_live_members(answer.body)) {
                if (asked.insert(vm.address).second) {
                    unlisted.push_back(std::move(vm));
                }
            }
        }
        if (unlisted.empty()) {
            break;
        }
        for (proxy_answer& answer : get_from(unlisted, status_path)) {
            answers.push_back(std::move(answer));
        }
    }
    std::stable_sort(
        answers.begin(), answers.end(),
        [](const proxy_answer& a, const proxy_answer& b) { return a.vm.vm < b.vm.vm; });
    return answers;
}

std::vector<proxy_answer> proxy_client::get_sessions(const std::vector<protocol::vm_entry>& vms) {
    std::vector<proxy_answer> answers = get_status(vms);
    std::vector<protocol::vm_entry> reachable;
    std::vector<std::size_t> places;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        if (answers[i].failure == proxy_failure::none) {
            reachable.push_back(answers[i].vm);
            places.push_back(i);
        }
    }
    std::vector<proxy_answer> sessions = get_from(reachable, sessions_path);
    for (std::size_t i = 0; i < places.size(); ++i) {
        answers[places[i]] = std::move(sessions[i]);
    }
    return answers;
}

std::vector<proxy_answer> proxy_client::get_from(const std::vector<protocol::vm_entry>& vms,
                                                 const std::string& path) {
    std::vector<proxy_answer> answers(vms.size());
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t i = next++; i < vms.size(); i = next++) {
            transport::http_call request;
            request.target = path;
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
