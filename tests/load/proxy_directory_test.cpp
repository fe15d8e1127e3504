#include "load/proxy_directory.h"

#include <gtest/gtest.h>

namespace hornbeamhook::load {
namespace {

// Guards against callers that keep sending to a draining proxy, or never come back to it.
TEST(proxy_directory, avoids_a_proxy_for_a_while) {
    const std::vector<proxy_endpoint> proxies{{"a", "x", "1"}, {"b", "x", "2"}};
    proxy_directory directory(proxies);
    const proxy_directory::time_point now{std::chrono::hours(1)};
    EXPECT_EQ(directory.find_usable(1, now), 1U);
    directory.avoid(1, now);
    EXPECT_EQ(directory.find_usable(1, now), 0U);
    directory.avoid(0, now);
    EXPECT_EQ(directory.find_usable(1, now), 1U);
    EXPECT_EQ(directory.find_usable(0, now + std::chrono::seconds(2)), 0U);
}

// Guards against callers that are sent to a proxy whose readiness turned false.
TEST(proxy_directory, follows_readiness) {
    const std::vector<proxy_endpoint> proxies{{"a", "x", "1"}, {"b", "x", "2"}};
    proxy_directory directory(proxies);
    const proxy_directory::time_point now{std::chrono::hours(1)};
    directory.set_ready(1, false);
    EXPECT_EQ(directory.find_usable(1, now), 0U);
    directory.set_ready(1, true);
    EXPECT_EQ(directory.find_usable(1, now), 1U);
}

}  // namespace
}  // namespace hornbeamhook::load
