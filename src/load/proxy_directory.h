#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "load/load_settings.h"

namespace hornbeamhook::load {

/**
 * The proxies as the platform's balancer shows them to all sessions: one that failed or is
 * draining gets no requests for a while. Thread safe.
 */
class proxy_directory {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /** `proxies` must outlive this. */
    explicit proxy_directory(const std::vector<proxy_endpoint>& proxies);

    std::size_t get_size() const { return proxies_.size(); }
    const proxy_endpoint& get(std::size_t index) const { return proxies_[index]; }

    /** The wanted proxy, or the next one that is in use; the wanted one when none is. */
    std::size_t find_usable(std::size_t wanted, time_point now) const;

    /** Takes a proxy out of use until it is ready again. */
    void set_ready(std::size_t index, bool is_ready);

    /** Takes a proxy out of use for a while. */
    void avoid(std::size_t index, time_point now);

private:
    const std::vector<proxy_endpoint>& proxies_;
    std::vector<std::atomic<bool>> is_unready_;
    std::vector<std::atomic<std::int64_t>> avoided_until_;  ///< Nanoseconds of the clock.
};

}  // namespace hornbeamhook::load
