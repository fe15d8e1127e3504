#include "gateway/peer_message.h"

#include <gtest/gtest.h>

#include <random>

#include "support/seed.h"

namespace hornbeamhook::gateway {
namespace {

std::vector<peer_message> make_samples() {
    return {peer_ping{"vm1", 17, 3, ~0ULL},
            peer_pong{"vm2", 18, 3, 40, true, true, false, {{"g", 12}}, {{"g", {2, 77}, 150}}},
            departure_notice{"vm2", 18, {{"g", 12}, {"h", 9}}},
            revoke_request{"g", 12, true},
            revoke_answer{"vm1", "g", 12, true},
            reachability_request{"g", "t1"},
            reachability_answer{"vm2", "g", "t1", 1200, true},
            record_notice{"g", 15},
            hub_request{"vm1", 17, 4, true},
            hub_answer{"vm2",
                       18,
                       4,
                       true,
                       false,
                       {1, 2, ~0ULL},
                       250,
                       {{"a", 20, {"vm3", "vm4"}, {"vm5"}}},
                       {{"g", {2, 77}, 150}}}};
}

TEST(peer_message, round_trips) {
    for (const peer_message& message : make_samples()) {
        EXPECT_EQ(parse_peer_message(format_peer_message(message)), message);
    }
}

// Guards against a stray or corrupted datagram that terminates the process.
TEST(peer_message, rejects_corrupted_datagrams) {
    std::mt19937_64 random(tests::get_seed());
    for (int i = 0; i < 20000; ++i) {
        for (const peer_message& message : make_samples()) {
            std::string bytes = format_peer_message(message);
            bytes[random() % bytes.size()] = static_cast<char>(random());
            if (random() % 2 == 0) {
                bytes.resize(random() % bytes.size());
            }
            parse_peer_message(bytes);
        }
    }
    EXPECT_FALSE(parse_peer_message("").has_value());
    EXPECT_FALSE(parse_peer_message("hello").has_value());
}

// Guards against a datagram of nested arrays that exhausts the stack of the parser.
TEST(peer_message, rejects_deeply_nested_datagrams) {
    constexpr char array_of_one = '\x91';
    EXPECT_FALSE(parse_peer_message(std::string(65000, array_of_one)).has_value());
}

}  // namespace
}  // namespace hornbeamhook::gateway
