#include "gateway/answer_flow.h"

#include "coordination/vm_limits.h"

namespace hornbeamhook::gateway {

answer_flow::answer_flow() : budget_(coordination::make_vm_limits(0, 0).answer_bytes) {}

void answer_flow::update(std::uint64_t link, const std::shared_ptr<transport::tcp_stream>& stream,
                         std::size_t bytes) {
    streams_[link] = stream;
    budget_.update(link, bytes);
    apply();
}

void answer_flow::remove(std::uint64_t link) {
    streams_.erase(link);
    budget_.remove(link);
    apply();
}

void answer_flow::apply() {
    const auto largest = budget_.find_payer();
    if (!largest && !is_limited_) {
        return;
    }
    is_limited_ = largest.has_value();
    for (const auto& [link, weak] : streams_) {
        if (const auto stream = weak.lock()) {
            stream->set_reading(!largest || link == *largest);
        }
    }
}

}  // namespace hornbeamhook::gateway
