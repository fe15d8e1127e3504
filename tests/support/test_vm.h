#pragma once

#include <memory>
#include <string>

#include "gateway/session_engine.h"
#include "support/free_port.h"
#include "transport/tcp_stream.h"

namespace hornbeamhook::tests {

/** A VM of a fleet in the regions r (place "near") and s (place "far"), with its listeners. */
struct test_vm {
    test_vm(transport::event_loop& loop, const gateway::session_protocol& protocol,
            const std::string& name, const std::string& place)
        : log(name),
          engine(loop, protocol, log, counters, name, place, {{"near", "r"}, {"far", "s"}}),
          member{name, 1, *transport::parse_endpoint(get_free_address()), {}, place},
          caller_address(*transport::parse_endpoint(get_free_address())),
          callers(loop, caller_address,
                  [this](const auto& stream) {
                      engine.accept(stream, gateway::session_origin::caller);
                  }),
          peers(std::make_unique<transport::tcp_listener>(
              loop, member.peer_address, [this](const auto& stream) {
                  engine.accept(stream, gateway::session_origin::peer);
              })) {}

    gateway::bounded_log log;
    gateway::gateway_counters counters;
    gateway::session_engine engine;
    gateway::fleet_member member;
    transport::endpoint caller_address;
    transport::tcp_listener callers;
    std::unique_ptr<transport::tcp_listener> peers;
};

}  // namespace hornbeamhook::tests
