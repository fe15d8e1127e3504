#include "proxy/acknowledgement_relay.h"

#include <algorithm>
#include <thread>
#include <vector>

#include "protocol/execute_message.h"

namespace hornbeamhook::proxy {

namespace leaf = boost::leaf;

namespace {

using coordination::acknowledgement;
using std::chrono::milliseconds;

constexpr milliseconds connect_timeout{300};
constexpr milliseconds answer_slack{50};
// One poller may itself cease to poll; the next one is asked after this time at the latest.
constexpr milliseconds question_time{1000};
constexpr milliseconds pause{20};

std::vector<state::member> get_pollers(const state::fleet_view& view, const std::string& pool) {
    std::vector<state::member> pollers;
    for (const auto& [name, homes] : view.homes) {
        if (name.starts_with(pool + "/")) {
            std::copy_if(homes.begin(), homes.end(), std::back_inserter(pollers),
                         [&](const state::member& home) { return home.vm != view.self.vm; });
        }
    }
    std::sort(pollers.begin(), pollers.end());
    pollers.erase(std::unique(pollers.begin(), pollers.end()), pollers.end());
    return pollers;
}

}  // namespace

acknowledgement_relay::acknowledgement_relay(const protocol::proxy_settings& settings,
                                             std::uint64_t incarnation, group_source& groups)
    : settings_(settings), incarnation_(incarnation), groups_(groups) {}

acknowledgement acknowledgement_relay::ask_member(const state::member& member,
                                                  const std::string& pool, state::log_point point,
                                                  state::time_point deadline) {
    protocol::execute_request message;
    message.exchange_id = settings_.vm + "/" + std::to_string(incarnation_) + "/ack/" +
                          std::to_string(next_exchange_++);
    message.operation = protocol::execute_operation::await_acknowledgement;
    message.pool = pool;
    message.required = point;
    message.deadline = std::min(question_time, std::chrono::duration_cast<milliseconds>(
                                                   deadline - std::chrono::steady_clock::now()));
    if (message.deadline <= milliseconds(0)) {
        return acknowledgement::pending;
    }
    const transport::http_call call{.method = "POST",
                                    .address = settings_.get_dial_address(member.address),
                                    .target = "/internal/v1/execute",
                                    .body = to_text(message),
                                    .fleet_secret = settings_.fleet_secret,
                                    .timeout = message.deadline + answer_slack,
                                    .connect_timeout = connect_timeout};
    return leaf::try_handle_all(
        [&]() -> leaf::result<acknowledgement> {
            BOOST_LEAF_AUTO(response, client_.call(call));
            BOOST_LEAF_AUTO(answer, protocol::parse_execute_answer(response.body));
            if (answer.exchange_id != message.exchange_id) {
                return acknowledgement::pending;
            }
            if (answer.outcome == state::outcome::ok) {
                return acknowledgement::acknowledged;
            }
            return answer.outcome == state::outcome::unknown ? acknowledgement::superseded
                                                             : acknowledgement::pending;
        },
        [] { return acknowledgement::pending; });
}

acknowledgement acknowledgement_relay::ask(const std::string& pool, state::log_point point,
                                           state::time_point deadline) {
    while (std::chrono::steady_clock::now() < deadline) {
        for (const state::member& member : get_pollers(*groups_.get_view(), pool)) {
            const acknowledgement answer = ask_member(member, pool, point, deadline);
            if (answer != acknowledgement::pending) {
                return answer;
            }
        }
        std::this_thread::sleep_for(pause);
    }
    return acknowledgement::pending;
}

}  // namespace hornbeamhook::proxy
