#include "gateway/peer_messenger.h"

#include <utility>

namespace hornbeamhook::gateway {

peer_messenger::peer_messenger(transport::event_loop& loop, const transport::endpoint& address,
                               gateway_counters& counters, receiver received)
    : socket_(loop, address,
              [received = std::move(received)](const transport::endpoint& from,
                                               std::string_view bytes) {
                  // Ignore stray datagrams and those of other versions.
                  if (const std::optional<peer_message> message = parse_peer_message(bytes)) {
                      received(from, *message);
                  }
              }),
      counters_(counters) {}

void peer_messenger::send(const transport::endpoint& to, const peer_message& message) {
    counters_.peer_messages.Increment();
    socket_.send(to, format_peer_message(message));
}

}  // namespace hornbeamhook::gateway
