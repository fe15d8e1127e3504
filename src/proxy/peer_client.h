#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "coordination/membership.h"
#include "protocol/peer_messages.h"
#include "protocol/proxy_settings.h"
#include "protocol/vm_notice_message.h"
#include "proxy/control_traffic.h"
#include "state/member.h"
#include "transport/http_client.h"
#include "transport/http_message.h"

namespace hornbeamhook::proxy {

/**
 * Calls to the control side of other proxies. Every call blocks until it is answered or its timeout
 * passed, counts its traffic, and is thread safe. Calls fail with transport_error when no answer
 * came and with state_error when the answer is malformed.
 */
class peer_client {
public:
    /** Both references must outlive this. */
    peer_client(const protocol::proxy_settings& settings, control_traffic& traffic);

    /** Probes a peer and returns its answer. */
    boost::leaf::result<coordination::membership_message> exchange(
        const state::member& peer, const coordination::membership_message& message,
        std::chrono::milliseconds timeout);

    /** Lets `helper` probe `member`; whether the member answered it. */
    boost::leaf::result<bool> ask_probe(const state::member& helper, const state::member& member);

    /** Fetches all members that the peer knows and does not believe dead. */
    boost::leaf::result<std::vector<state::member>> fetch_members(const state::member& peer);

    /** Asks for the configuration changes after version `after`. */
    boost::leaf::result<protocol::configuration_answer> fetch_configuration(
        const state::member& peer, std::uint64_t after);

    /** Tells the peer an observation of a primary and returns the peer's own. */
    boost::leaf::result<protocol::observation_message> ask_observation(
        const state::member& peer, const protocol::observation_message& question);

    /** Asks the peer to hold or resume the writes of a pool. */
    boost::leaf::result<void> send_pause(const state::member& peer, const std::string& pool,
                                         bool is_paused);

    /** Tells the peer what the VM list shows of it. */
    boost::leaf::result<void> send_vm_notice(const state::member& peer,
                                             const protocol::vm_notice_message& notice);

    /** Hands a planned change to a poller of the group and returns its whole answer. */
    boost::leaf::result<transport::http_response> forward_change(
        const state::member& peer, const protocol::planned_change_message& message,
        std::chrono::milliseconds timeout);

private:
    transport::http_call make_call(const state::member& peer, const char* path,
                                   std::chrono::milliseconds timeout) const;
    boost::leaf::result<nlohmann::json> call(const transport::http_call& request,
                                             traffic_counter& counter);

    const protocol::proxy_settings& settings_;
    control_traffic& traffic_;
    transport::http_client http_;
};

}  // namespace hornbeamhook::proxy
