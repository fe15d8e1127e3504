#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

#include "coordination/holder_budget.h"
#include "transport/tcp_stream.h"

namespace hornbeamhook::gateway {

/**
 * Bounds the incomplete answers of targets that this VM buffers. Beyond the limit only the
 * connection with the largest one is read, so that one answer after the other completes. The others
 * wait until then, at most until the time limits of their statements. Loop thread only.
 */
class answer_flow {
public:
    answer_flow();

    void set_limit(std::size_t bytes) { budget_.set_limit(bytes); }

    /** Sets how much of an answer has arrived on a connection. */
    void update(std::uint64_t link, const std::shared_ptr<transport::tcp_stream>& stream,
                std::size_t bytes);
    /** Call when a connection has ended. */
    void remove(std::uint64_t link);

private:
    void apply();

    coordination::holder_budget budget_;
    std::map<std::uint64_t, std::weak_ptr<transport::tcp_stream>> streams_;
    bool is_limited_ = false;
};

}  // namespace hornbeamhook::gateway
