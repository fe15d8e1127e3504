#include "proxy/target_lane.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace hornbeamhook::proxy {
namespace {

using coordination::request_kind;
using std::chrono::milliseconds;

const state::time_point start{std::chrono::hours(1)};
const state::time_point late = start + std::chrono::hours(1);

class target_lane_test : public testing::Test {
protected:
    void offer(request_kind kind, state::time_point deadline = late, std::string caller = "a",
               state::time_point now = start) {
        lane.offer(
            {0, std::move(caller), kind, deadline},
            [this](const lane_place& place) { places.push_back(place); },
            [this](lane_refusal reason) { refusals.push_back(reason); }, now);
        run(now);
    }

    void run(state::time_point now) {
        for (const std::function<void()>& each : lane.take(now)) {
            each();
        }
    }

    int count(request_kind kind) const {
        return static_cast<int>(std::count_if(places.begin(), places.end(),
                                              [&](const auto& each) { return each.kind == kind; }));
    }

    target_lane lane{100, 3, 8};
    std::vector<lane_place> places;
    std::vector<lane_refusal> refusals;
};

// Guards against writes that wait for a lock of the target in places that reads could use.
TEST_F(target_lane_test, writes_at_their_limit_leave_the_places_of_reads) {
    for (int i = 0; i < 10; ++i) {
        offer(request_kind::write);
    }
    EXPECT_EQ(count(request_kind::write), 2);
    for (int i = 0; i < 3; ++i) {
        offer(request_kind::read);
    }
    EXPECT_EQ(count(request_kind::read), 3);
    EXPECT_EQ(lane.get_queued(request_kind::write), 8U);
}

// Guards against writes that wait behind lost exchanges while another home could run them.
TEST_F(target_lane_test, unreachable_target_refuses_waiting_writes_and_transactions) {
    for (int i = 0; i < 10; ++i) {
        offer(request_kind::write);
        offer(request_kind::transaction);
        offer(request_kind::read);
    }
    const std::size_t reads = lane.get_queued(request_kind::read);
    const std::size_t refused =
        lane.get_queued(request_kind::write) + lane.get_queued(request_kind::transaction);
    ASSERT_GT(refused, 0U);
    lane.refuse_unreachable();
    EXPECT_EQ(refusals, std::vector<lane_refusal>(refused, lane_refusal::unreachable));
    EXPECT_EQ(lane.get_queued(request_kind::write), 0U);
    EXPECT_EQ(lane.get_queued(request_kind::transaction), 0U);
    EXPECT_EQ(lane.get_queued(request_kind::read), reads);
}

// Guards against reads that wait inside the target on connections that writes need.
TEST_F(target_lane_test, reads_beyond_the_slots_leave_the_connections_of_writes) {
    lane.update(100, 5);
    state::time_point now = start;
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(1);
        offer(request_kind::read, late, "a", now);
        offer(request_kind::read, late, "a", now);
        lane.finish(places.back(), true, now);
    }
    EXPECT_EQ(lane.get_limit(request_kind::read), 3);
    const int before = count(request_kind::write);
    offer(request_kind::write, late, "a", now);
    offer(request_kind::write, late, "a", now);
    EXPECT_EQ(count(request_kind::write), before + 2);
}

// Guards against open transactions that hold every connection.
TEST_F(target_lane_test, transactions_leave_half_of_the_connections) {
    lane.update(100, 4);
    for (int i = 0; i < 5; ++i) {
        offer(request_kind::transaction);
    }
    EXPECT_EQ(count(request_kind::transaction), 2);
    offer(request_kind::write);
    EXPECT_EQ(count(request_kind::write), 1);
    lane.finish(places.front(), true, start + milliseconds(5));
    run(start + milliseconds(5));
    EXPECT_EQ(count(request_kind::transaction), 3);
}

// Guards against a kind that takes every connection while others wait.
TEST_F(target_lane_test, kinds_take_turns_when_connections_are_short) {
    lane.update(100, 1);
    for (int i = 0; i < 4; ++i) {
        offer(request_kind::read);
        offer(request_kind::write);
    }
    for (std::size_t i = 0; i < 7; ++i) {
        ASSERT_EQ(places.size(), i + 1);
        lane.finish(places.back(), true, start + milliseconds(i));
        run(start + milliseconds(i));
    }
    for (std::size_t i = 0; i < places.size(); ++i) {
        EXPECT_EQ(places[i].kind, i % 2 == 0 ? request_kind::read : request_kind::write) << i;
    }
}

// Guards against long writes that make the estimate of reads too high, so that reads are refused.
TEST_F(target_lane_test, long_writes_do_not_refuse_reads) {
    offer(request_kind::write);
    lane.finish(places.back(), true, start + milliseconds(900));
    const state::time_point now = start + milliseconds(900);
    for (int i = 0; i < 3; ++i) {
        offer(request_kind::read, now + milliseconds(100), "a", now);
    }
    EXPECT_EQ(count(request_kind::read), 3);
    EXPECT_TRUE(refusals.empty());
    offer(request_kind::write, late, "a", now);
    offer(request_kind::write, now + milliseconds(100), "a", now);
    EXPECT_EQ(refusals, std::vector<lane_refusal>{lane_refusal::too_late});
}

// Guards against a request that waits until its deadline although it lost its chance before.
TEST_F(target_lane_test, a_displaced_request_is_refused_at_once) {
    lane.update(100, 1);
    offer(request_kind::read);
    lane.finish(places.back(), true, start + milliseconds(10));
    const state::time_point now = start + milliseconds(10);
    offer(request_kind::read, late, "busy", now);
    for (int i = 0; i < 4; ++i) {
        offer(request_kind::read, now + milliseconds(50), "busy", now);
    }
    EXPECT_TRUE(refusals.empty());
    offer(request_kind::read, now + milliseconds(50), "quiet", now);
    EXPECT_EQ(refusals, std::vector<lane_refusal>{lane_refusal::too_late});
    EXPECT_EQ(lane.get_queued(request_kind::read), 4U);
}

// Guards against requests that are kept although the target stopped answering.
TEST_F(target_lane_test, expire_refuses_what_can_no_longer_finish) {
    offer(request_kind::write);
    offer(request_kind::write);
    offer(request_kind::write, start + milliseconds(50));
    lane.expire(start + milliseconds(50));
    EXPECT_EQ(refusals, std::vector<lane_refusal>{lane_refusal::expired});
}

}  // namespace
}  // namespace hornbeamhook::proxy
