#pragma once

#include <map>
#include <memory>

#include "transport/http_channel.h"

namespace hornbeamhook::transport {

/** One channel for each address, made when it is first used. Loop thread only. */
class http_channel_pool {
public:
    explicit http_channel_pool(event_loop& loop) : loop_(loop) {}

    /** The channel stays valid as long as the pool. */
    http_channel& get(const endpoint& address) {
        std::unique_ptr<http_channel>& channel = channels_[address];
        if (!channel) {
            channel = std::make_unique<http_channel>(loop_, address);
        }
        return *channel;
    }

private:
    event_loop& loop_;
    std::map<endpoint, std::unique_ptr<http_channel>> channels_;
};

}  // namespace hornbeamhook::transport
