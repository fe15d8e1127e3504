#include "proxy/peer_client.h"

#include <utility>

#include "state/json_reader.h"
#include "transport/transport_error.h"

namespace hornbeamhook::proxy {

namespace leaf = boost::leaf;

namespace {

using state::member;
using std::chrono::milliseconds;
using transport::http_call;
using transport::http_response;

/// A fetch from a peer that takes longer is a failure.
constexpr milliseconds fetch_timeout{1000};
/// A helper tries the member for less than this.
constexpr milliseconds ask_probe_timeout{700};
/// Members of the largest fleet have about 100 bytes each and may cross regions.
constexpr milliseconds member_list_timeout{3000};
/// A poller that does not answer in this time is asked again.
constexpr milliseconds observation_timeout{300};

constexpr const char* planned_change_path = "/internal/v1/planned_change";

}  // namespace

peer_client::peer_client(const protocol::proxy_settings& settings, control_traffic& traffic)
    : settings_(settings), traffic_(traffic) {}

http_call peer_client::make_call(const member& peer, const char* path, milliseconds timeout) const {
    http_call request;
    request.method = "POST";
    request.address = settings_.get_dial_address(peer.address);
    request.target = path;
    request.fleet_secret = settings_.fleet_secret;
    request.timeout = timeout;
    request.connect_timeout = timeout;
    return request;
}

leaf::result<nlohmann::json> peer_client::call(const http_call& request, traffic_counter& counter) {
    leaf::result<http_response> response = http_.call(request);
    counter.add(request.body.size() + (response ? response->body.size() : 0), http_overhead);
    if (!response) {
        return response.error();
    }
    return state::parse_json(response->body, request.target);
}

leaf::result<coordination::membership_message> peer_client::exchange(
    const member& peer, const coordination::membership_message& message, milliseconds timeout) {
    http_call request = make_call(peer, "/internal/v1/exchange", timeout);
    request.body = protocol::to_json(message).dump();
    BOOST_LEAF_AUTO(array, call(request, traffic_.exchange_sent));
    return protocol::parse_exchange_message(array);
}

leaf::result<bool> peer_client::ask_probe(const member& helper, const member& member) {
    http_call request = make_call(helper, "/internal/v1/probe", ask_probe_timeout);
    request.body = state::to_compact_json(member).dump();
    BOOST_LEAF_AUTO(object, call(request, traffic_.exchange_sent));
    BOOST_LEAF_AUTO(answer, protocol::parse_probe_answer(object));
    return answer.is_reached;
}

leaf::result<std::vector<member>> peer_client::fetch_members(const member& peer) {
    http_call request = make_call(peer, "/internal/v1/members", member_list_timeout);
    request.method = "GET";
    BOOST_LEAF_AUTO(array, call(request, traffic_.exchange_sent));
    return protocol::parse_member_list(array);
}

leaf::result<protocol::configuration_answer> peer_client::fetch_configuration(const member& peer,
                                                                              std::uint64_t after) {
    http_call request = make_call(peer, "/internal/v1/configuration", fetch_timeout);
    request.method = "GET";
    request.target += "?after=" + std::to_string(after);
    BOOST_LEAF_AUTO(object, call(request, traffic_.configuration));
    return protocol::parse_configuration_answer(object);
}

leaf::result<protocol::observation_message> peer_client::ask_observation(
    const member& peer, const protocol::observation_message& question) {
    http_call request = make_call(peer, "/internal/v1/observations", observation_timeout);
    request.body = to_json(question).dump();
    BOOST_LEAF_AUTO(object, call(request, traffic_.observations));
    return protocol::parse_observation_message(object);
}

leaf::result<void> peer_client::send_pause(const member& peer, const std::string& pool,
                                           bool is_paused) {
    http_call request = make_call(peer, planned_change_path, observation_timeout);
    request.body = to_json(protocol::planned_change_message{pool, "", false, is_paused}).dump();
    BOOST_LEAF_CHECK(http_.call(request));
    return {};
}

leaf::result<void> peer_client::send_vm_notice(const member& peer,
                                               const protocol::vm_notice_message& notice) {
    http_call request = make_call(peer, "/internal/v1/vm_entry", fetch_timeout);
    request.body = to_json(notice).dump();
    BOOST_LEAF_CHECK(call(request, traffic_.store));
    return {};
}

leaf::result<http_response> peer_client::forward_change(
    const member& peer, const protocol::planned_change_message& message, milliseconds timeout) {
    http_call request = make_call(peer, planned_change_path, timeout);
    request.body = to_json(message).dump();
    return http_.call(request);
}

}  // namespace hornbeamhook::proxy
