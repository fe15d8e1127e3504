#include "gateway/gateway.h"

#include <gtest/gtest.h>

#include <csignal>

#include "platform/store_codec.h"
#include "platform/wire_codec.h"
#include "support/free_port.h"

namespace hornbeamhook::gateway {
namespace {

transport::endpoint get_free_endpoint() {
    return *transport::parse_endpoint(tests::get_free_address());
}

// Guards against a process that waits for a store without an answer until it is killed.
TEST(gateway, exits_before_the_shutdown_limit_without_the_store) {
    constexpr std::int64_t shutdown_limit_ms = 1200;
    transport::event_loop loop;
    gateway_settings settings;
    settings.vm = "vm1";
    settings.caller_address = get_free_endpoint();
    settings.readiness_address = get_free_endpoint();
    settings.control_address = get_free_endpoint();
    settings.peer_address = get_free_endpoint();
    settings.store_address = get_free_endpoint();
    settings.promotion_address = get_free_endpoint();
    settings.shutdown_limit_ms = shutdown_limit_ms;
    const transport::http_listener silent_store(
        loop, settings.store_address,
        [](const transport::http_call&, const transport::http_listener::responder&) {});
    const platform::wire_codec protocol;
    const platform::store_codec calls;
    gateway process(loop, settings, protocol, calls, [] { return std::nullopt; });
    process.start();
    const std::int64_t started_at = transport::get_boot_time();
    ASSERT_EQ(std::raise(SIGTERM), 0);
    loop.run();
    EXPECT_LT(transport::get_boot_time() - started_at, shutdown_limit_ms);
}

}  // namespace
}  // namespace hornbeamhook::gateway
