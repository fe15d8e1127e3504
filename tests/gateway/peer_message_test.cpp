#include "gateway/peer_message.h"

#include <gtest/gtest.h>

#include <random>

#include "support/hostile_text.h"
#include "support/seed.h"

namespace hornbeamhook::gateway {
namespace {

std::vector<peer_message> make_samples() {
    return {peer_ping{"vm1", 17, 3, ~0ULL},
            peer_pong{"vm2", 18, 3, 40, true, true, false, {{"g", 12}}, {{"g", {2, 77}, 150}}},
            departure_notice{"vm2", 18, {{"g", 12}, {"h", 9}}},
            coordination::limit_request{"vm1", ~0ULL, 3, 9, {~0ULL, 88}, 73, {{"o", 4}, {"p", 0}}},
            coordination::limit_answer{~0ULL, 3, 9, {~0ULL, 88}, {{"o", 3, 20}, {"p", 0, 0}}},
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

/** A message of each type with drawn texts and numbers. */
std::vector<peer_message> draw_messages(tests::hostile_text& text) {
    const auto number = [&text] { return static_cast<std::int64_t>(text.draw_number()); };
    const auto flag = [&text] { return text.draw_number() % 2 == 0; };
    const auto draw_promises = [&] {
        return std::vector<record_promise>{{text.draw(), number()}, {text.draw(), number()}};
    };
    const auto draw_positions = [&] {
        return std::vector<known_position>{
            {text.draw(), {text.draw_number(), text.draw_number()}, number()}};
    };
    return {peer_ping{text.draw(), number(), number(), text.draw_number()},
            peer_pong{text.draw(), number(), number(), number(), flag(), flag(), flag(),
                      draw_promises(), draw_positions()},
            departure_notice{text.draw(), number(), draw_promises()},
            coordination::limit_request{text.draw(),
                                        text.draw_number(),
                                        number(),
                                        number(),
                                        {text.draw_number(), number()},
                                        number(),
                                        {{text.draw(), number()}, {text.draw(), number()}}},
            coordination::limit_answer{text.draw_number(),
                                       number(),
                                       number(),
                                       {text.draw_number(), number()},
                                       {{text.draw(), number(), number()}}},
            revoke_request{text.draw(), number(), flag()},
            revoke_answer{text.draw(), text.draw(), number(), flag()},
            reachability_request{text.draw(), text.draw()},
            reachability_answer{text.draw(), text.draw(), text.draw(), number(), flag()},
            record_notice{text.draw(), number()},
            hub_request{text.draw(), number(), number(), flag()},
            hub_answer{text.draw(),
                       number(),
                       number(),
                       flag(),
                       flag(),
                       {text.draw_number(), text.draw_number(), text.draw_number()},
                       number(),
                       {{text.draw(), number(), {text.draw(), text.draw()}, {text.draw()}}},
                       draw_positions()}};
}

// Guards against a name that is read back as another name or as another field.
TEST(peer_message, messages_with_any_text_round_trip) {
    tests::hostile_text text(tests::get_seed());
    constexpr int rounds = 2000;
    for (int i = 0; i < rounds && !testing::Test::HasFailure(); ++i) {
        for (const peer_message& message : draw_messages(text)) {
            EXPECT_EQ(parse_peer_message(format_peer_message(message)), message);
        }
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

// Guards against a request whose answer would not fit in a datagram.
TEST(peer_message, rejects_requests_for_too_many_organisations) {
    coordination::limit_request request{"vm1", 1, 0, 1, {}, 0, {}};
    request.demands.resize(coordination::max_limit_demands, {"o", 1});
    EXPECT_TRUE(parse_peer_message(format_peer_message(request)));
    request.demands.push_back({"o", 1});
    EXPECT_FALSE(parse_peer_message(format_peer_message(request)));
}

// Guards against a datagram of nested arrays that exhausts the stack of the parser.
TEST(peer_message, rejects_deeply_nested_datagrams) {
    constexpr char array_of_one = '\x91';
    EXPECT_FALSE(parse_peer_message(std::string(65000, array_of_one)).has_value());
}

}  // namespace
}  // namespace hornbeamhook::gateway
