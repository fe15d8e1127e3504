#include "transport/tcp_stream.h"

#include <gtest/gtest.h>

#include <memory>

#include "support/free_port.h"
#include "support/test_caller.h"

namespace hornbeamhook::transport {
namespace {

// Guards against bytes that a closed stream holds for an end that never reads, and against a handle
// that is closed twice.
TEST(tcp_stream, reset_after_close_discards_the_queue) {
    event_loop loop;
    const endpoint address = *parse_endpoint(tests::get_free_address());
    std::shared_ptr<tcp_stream> accepted;
    const tcp_listener listener(loop, address,
                                [&](std::shared_ptr<tcp_stream> stream) { accepted = stream; });
    bool is_connected = false;
    const auto reader = tcp_stream::connect(
        loop, address, {.connected = [&] { is_connected = true; }, .received = {}, .ended = {}});
    tests::run_until(loop, [&] { return is_connected && accepted != nullptr; });
    reader->set_reading(false);
    accepted->write(std::string(std::size_t{32} << 20, 'x'));
    EXPECT_GT(accepted->get_queue_memory(), 0U);
    accepted->close();
    EXPECT_FALSE(accepted->is_open());
    accepted->reset();
    accepted->reset();
    tests::run_until(loop, [&] { return accepted->get_queued_bytes() == 0; });
    EXPECT_EQ(accepted->get_queue_memory(), 0U);
}

}  // namespace
}  // namespace hornbeamhook::transport
