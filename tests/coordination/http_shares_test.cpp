#include "coordination/http_shares.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <set>
#include <string>

namespace hornbeamhook::coordination {
namespace {

constexpr std::size_t kib = 1024;
constexpr http_share_limits limits{1000 * kib, 3};

using closings = std::vector<http_closing>;

// Guards against an ordinary caller that pays for a crowd.
TEST(http_shares, holder_of_the_most_pays) {
    http_shares shares(limits, limits);
    for (const holder_number number : {1, 2, 3}) {
        EXPECT_EQ(shares.add(number, 0), closings{});
    }
    EXPECT_EQ(shares.update(1, {.bytes = 100 * kib}), closings{});
    EXPECT_EQ(shares.update(2, {.bytes = 600 * kib}), closings{});
    EXPECT_EQ(shares.update(3, {.bytes = 500 * kib}), (closings{{2, http_limit::memory}}));
}

// Guards against memory that grows while the connections that were chosen are still being closed.
TEST(http_shares, what_is_being_closed_counts_until_it_is_gone) {
    http_shares shares(limits, limits);
    for (const holder_number number : {1, 2, 3}) {
        shares.add(number, 0);
    }
    shares.update(1, {.bytes = 900 * kib});
    EXPECT_EQ(shares.update(2, {.bytes = 400 * kib}),
              (closings{{1, http_limit::memory}, {2, http_limit::memory}}));
    EXPECT_EQ(shares.update(3, {.bytes = 10 * kib}), closings{}) << "small ones are served";
    EXPECT_EQ(shares.get_used(http_origin::caller), 1310 * kib);
    EXPECT_EQ(shares.update(1, {.bytes = 5 * kib}), closings{}) << "it is being closed";
    shares.remove(1);
    shares.remove(2);
    shares.remove(2);
    EXPECT_EQ(shares.get_used(http_origin::caller), 10 * kib);
    EXPECT_EQ(shares.update(3, {.bytes = 900 * kib}), closings{});
}

// Guards against callers that use up what is kept for other VMs, or the other way round.
TEST(http_shares, other_vms_have_a_share_of_their_own) {
    http_shares shares(limits, limits);
    for (const holder_number number : {1, 2, 3}) {
        shares.add(number, 0);
    }
    shares.update(1, {.bytes = 800 * kib});
    shares.set_peer(1);
    EXPECT_EQ(shares.get_used(http_origin::peer), 800 * kib);
    EXPECT_EQ(shares.get_used(http_origin::caller), 0U);
    EXPECT_EQ(shares.update(2, {.bytes = 900 * kib}), closings{});
    EXPECT_EQ(shares.add(4, 9), closings{}) << "its place among the callers is free";
    EXPECT_EQ(shares.add(5, 9), (closings{{2, http_limit::connections}}));
    EXPECT_EQ(shares.update(1, {.bytes = 1001 * kib}), (closings{{1, http_limit::memory}}));
    shares.remove(1);
    EXPECT_EQ(shares.get_used(http_origin::peer), 0U);
}

// Guards against a new connection that ends a request under way.
TEST(http_shares, incomplete_then_idle_connections_make_room) {
    http_shares shares(limits, limits);
    for (const holder_number number : {1, 2, 3}) {
        shares.add(number, 0);
    }
    shares.update(1, {.outstanding = 1, .active_at = 1});
    shares.update(2, {.active_at = 2});
    shares.update(3, {.active_at = 3, .begun_at = 3});
    EXPECT_EQ(shares.add(4, 4), (closings{{3, http_limit::connections}}));
    EXPECT_EQ(shares.add(5, 5), (closings{{2, http_limit::connections}}));
    shares.update(4, {.outstanding = 1, .active_at = 6});
    shares.update(5, {.outstanding = 1, .active_at = 6});
    EXPECT_EQ(shares.add(6, 7), (closings{{6, http_limit::connections}})) << "all are busy";
}

// Guards against clients that stop half-way, do not read, or stay after a refusal; and against a
// time limit for connections that only rest.
TEST(http_shares, overdue_connections_are_closed_once) {
    http_shares shares({1000 * kib, 9}, limits);
    for (const holder_number number : {1, 2, 3, 4}) {
        shares.add(number, 0);
    }
    shares.update(1, {.begun_at = 0});
    shares.update(2, {.unread_since = 0});
    shares.update(3, {.refused_at = 0});
    EXPECT_EQ(shares.take_overdue(4'999), closings{});
    EXPECT_EQ(shares.take_overdue(5'000), (closings{{3, http_limit::refused}}));
    EXPECT_EQ(shares.take_overdue(29'999), closings{});
    EXPECT_EQ(shares.take_overdue(30'000), (closings{{2, http_limit::answer_time}}));
    EXPECT_EQ(shares.take_overdue(59'999), closings{});
    EXPECT_EQ(shares.take_overdue(1'000'000), (closings{{1, http_limit::request_time}}));
}

// Guards against counts that drift, over any order of events.
TEST(http_shares, random_events_keep_the_sums) {
    const char* given = std::getenv("HORNBEAMHOOK_SEED");
    const unsigned seed = given == nullptr ? std::random_device{}() : std::stoul(given);
    SCOPED_TRACE("HORNBEAMHOOK_SEED=" + std::to_string(seed));
    std::mt19937 random(seed);
    http_shares shares({1000 * kib, 20}, {500 * kib, 10});
    std::map<holder_number, std::size_t> held;
    std::set<holder_number> closing;
    holder_number last = 0;
    const auto note = [&](const closings& chosen) {
        for (const http_closing& entry : chosen) {
            EXPECT_TRUE(closing.insert(entry.number).second) << "closed twice";
        }
    };
    for (int step = 0; step < 5000; ++step) {
        const holder_number number = last == 0 ? 1 : 1 + random() % last;
        switch (random() % 4) {
            case 0:
                held[++last] = 0;
                note(shares.add(last, step));
                break;
            case 1: {
                const std::size_t bytes = random() % (200 * kib);
                if (held.contains(number) && !closing.contains(number)) {
                    held[number] = bytes;
                }
                note(shares.update(number, {.bytes = bytes, .outstanding = random() % 2}));
                break;
            }
            case 2:
                shares.set_peer(number);
                break;
            default:
                shares.remove(number);
                held.erase(number);
                break;
        }
        std::size_t sum = 0;
        for (const auto& [holder, bytes] : held) {
            sum += bytes;
        }
        ASSERT_EQ(shares.get_used(http_origin::caller) + shares.get_used(http_origin::peer), sum);
    }
    for (holder_number number = 1; number <= last; ++number) {
        shares.remove(number);
    }
    EXPECT_EQ(shares.get_used(http_origin::caller) + shares.get_used(http_origin::peer), 0U);
}

}  // namespace
}  // namespace hornbeamhook::coordination
