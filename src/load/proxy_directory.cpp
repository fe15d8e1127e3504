#include "load/proxy_directory.h"

namespace hornbeamhook::load {

namespace {

// About the time in which a balancer's health check brings a recovered proxy back.
constexpr std::chrono::milliseconds avoid_time{1000};

std::int64_t to_nanoseconds(proxy_directory::time_point at) {
    return std::chrono::nanoseconds(at.time_since_epoch()).count();
}

}  // namespace

proxy_directory::proxy_directory(const std::vector<proxy_endpoint>& proxies)
    : proxies_(proxies), is_unready_(proxies.size()), avoided_until_(proxies.size()) {}

std::size_t proxy_directory::find_usable(std::size_t wanted, time_point now) const {
    for (std::size_t i = 0; i < proxies_.size(); ++i) {
        const std::size_t index = (wanted + i) % proxies_.size();
        if (!is_unready_[index] && avoided_until_[index] <= to_nanoseconds(now)) {
            return index;
        }
    }
    return wanted;
}

void proxy_directory::set_ready(std::size_t index, bool is_ready) {
    is_unready_[index] = !is_ready;
}

void proxy_directory::avoid(std::size_t index, time_point now) {
    avoided_until_[index] = to_nanoseconds(now + avoid_time);
}

}  // namespace hornbeamhook::load
