#include "coordination/admission_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "support/random_seed.h"

namespace hornbeamhook::coordination {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

const state::time_point start{std::chrono::hours(1)};
const state::time_point late = start + std::chrono::hours(1);
constexpr service_rate rate{microseconds(1000), microseconds(2000), 1, 0};
constexpr request_kind read = request_kind::read;
constexpr request_kind write = request_kind::write;

std::vector<std::uint64_t> take_all(admission_queue& queue, request_kind kind,
                                    state::time_point now) {
    std::vector<std::uint64_t> ids;
    std::vector<admission_entry> expired;
    while (const std::optional<admission_entry> entry = queue.dequeue(kind, rate, now, expired)) {
        ids.push_back(entry->id);
    }
    return ids;
}

// Guards against one busy caller that makes all others wait.
TEST(admission_queue, serves_callers_round_robin) {
    admission_queue queue(100);
    std::uint64_t id = 1;
    for (int i = 0; i < 4; ++i) {
        queue.enqueue({id++, "busy", read, late}, rate, start);
    }
    queue.enqueue({id++, "quiet", read, late}, rate, start);
    queue.enqueue({id++, "other", read, late}, rate, start);
    EXPECT_EQ(take_all(queue, read, start), (std::vector<std::uint64_t>{1, 5, 6, 2, 3, 4}));
}

// Guards against writes that wait behind many reads, and the other way round.
TEST(admission_queue, kinds_have_separate_queues) {
    admission_queue queue(100);
    for (std::uint64_t id = 1; id <= 30; ++id) {
        queue.enqueue({id, "a", read, late}, rate, start);
    }
    const state::time_point soon = start + milliseconds(2);
    EXPECT_EQ(queue.evaluate({40, "a", read, soon}, rate, start), admission_decision::too_late);
    EXPECT_EQ(queue.enqueue({41, "a", write, soon}, rate, start).decision,
              admission_decision::queued);
    EXPECT_EQ(queue.enqueue({42, "a", request_kind::transaction, soon}, rate, start).decision,
              admission_decision::queued);
    EXPECT_EQ(take_all(queue, write, start), (std::vector<std::uint64_t>{41}));
}

// Guards against unbounded queues; each kind has its own bound.
TEST(admission_queue, refuses_beyond_its_length) {
    admission_queue queue(2);
    EXPECT_EQ(queue.enqueue({1, "a", read, late}, rate, start).decision,
              admission_decision::queued);
    EXPECT_EQ(queue.enqueue({2, "b", read, late}, rate, start).decision,
              admission_decision::queued);
    EXPECT_EQ(queue.enqueue({3, "c", read, late}, rate, start).decision, admission_decision::full);
    EXPECT_EQ(queue.enqueue({4, "c", write, late}, rate, start).decision,
              admission_decision::queued);
}

// Guards against accepting a request that can only time out.
TEST(admission_queue, refuses_at_once_a_request_that_would_miss_its_deadline) {
    admission_queue queue(100);
    for (std::uint64_t id = 0; id < 10; ++id) {
        queue.enqueue({id, "a", read, late}, rate, start);
    }
    // Ten requests take one millisecond each, and the new one needs two.
    EXPECT_EQ(queue.evaluate({50, "a", read, start + microseconds(11'999)}, rate, start),
              admission_decision::too_late);
    EXPECT_EQ(queue.evaluate({51, "a", read, start + milliseconds(12)}, rate, start),
              admission_decision::queued);
    // Two of the ten start at once; nine requests end, two at a time, before the eleventh starts.
    const service_rate parallel{microseconds(1000), microseconds(2000), 2, 0};
    EXPECT_EQ(queue.evaluate({52, "a", read, start + microseconds(6999)}, parallel, start),
              admission_decision::too_late);
    EXPECT_EQ(queue.evaluate({53, "a", read, start + microseconds(7000)}, parallel, start),
              admission_decision::queued);
}

// Guards against an estimate that ignores the requests in flight.
TEST(admission_queue, counts_the_requests_in_flight) {
    const admission_queue queue(100);
    const service_rate busy{microseconds(1000), microseconds(2000), 2, 2};
    EXPECT_EQ(queue.evaluate({1, "a", read, start + microseconds(2999)}, busy, start),
              admission_decision::too_late);
    EXPECT_EQ(queue.evaluate({2, "a", read, start + microseconds(3000)}, busy, start),
              admission_decision::queued);
}

// Guards against a caller that is refused because another one has filled the queue.
TEST(admission_queue, a_caller_with_few_requests_displaces_one_with_many) {
    admission_queue queue(100);
    const state::time_point deadline = start + milliseconds(5);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        EXPECT_EQ(queue.enqueue({id, "busy", read, deadline}, rate, start).decision,
                  admission_decision::queued);
    }
    const admission_result result = queue.enqueue({9, "quiet", read, deadline}, rate, start);
    EXPECT_EQ(result.decision, admission_decision::queued);
    ASSERT_EQ(result.displaced.size(), 1U);
    EXPECT_EQ(result.displaced[0].id, 4U);
    EXPECT_EQ(queue.get_size(read), 4U);
    EXPECT_EQ(take_all(queue, read, start), (std::vector<std::uint64_t>{1, 9, 2, 3}));
}

// Guards against a caller that fills a queue up to its length and blocks all others.
TEST(admission_queue, a_full_queue_displaces_the_last_request_of_the_caller_with_the_most) {
    admission_queue queue(3);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        queue.enqueue({id, "busy", read, late}, rate, start);
    }
    EXPECT_EQ(queue.enqueue({4, "busy", read, late}, rate, start).decision,
              admission_decision::full);
    const admission_result result = queue.enqueue({9, "quiet", read, late}, rate, start);
    EXPECT_EQ(result.decision, admission_decision::queued);
    ASSERT_EQ(result.displaced.size(), 1U);
    EXPECT_EQ(result.displaced[0].id, 3U);
    EXPECT_EQ(queue.enqueue({10, "quiet", read, late}, rate, start).decision,
              admission_decision::full);
    EXPECT_EQ(queue.get_size(read), 3U);
}

// Guards against callers with equal shares that displace each other without end.
TEST(admission_queue, equal_callers_do_not_displace_each_other) {
    admission_queue queue(100);
    const state::time_point deadline = start + milliseconds(4);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        queue.enqueue({id, "c" + std::to_string(id), read, deadline}, rate, start);
    }
    const admission_result result = queue.enqueue({9, "c4", read, deadline}, rate, start);
    EXPECT_EQ(result.decision, admission_decision::too_late);
    EXPECT_TRUE(result.displaced.empty());
    EXPECT_EQ(queue.get_size(read), 3U);
}

// Guards against an estimate that is too high and refuses every request that could correct it.
TEST(admission_queue, an_idle_target_accepts_a_request_regardless_of_the_estimate) {
    admission_queue queue(100);
    const service_rate slow{std::chrono::seconds(60), std::chrono::seconds(120), 1, 0};
    EXPECT_EQ(queue.enqueue({1, "a", write, start + milliseconds(5)}, slow, start).decision,
              admission_decision::queued);
    EXPECT_EQ(queue.enqueue({2, "b", write, start + milliseconds(5)}, slow, start).decision,
              admission_decision::too_late);
    std::vector<admission_entry> expired;
    const std::optional<admission_entry> entry = queue.dequeue(write, slow, start, expired);
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry->id, 1U);
}

// Guards against running a request whose caller no longer waits.
TEST(admission_queue, dequeue_skips_requests_that_can_no_longer_finish) {
    admission_queue queue(100);
    const service_rate busy{microseconds(1000), microseconds(2000), 2, 1};
    queue.enqueue({1, "a", read, start + milliseconds(5)}, busy, start);
    queue.enqueue({2, "a", read, late}, busy, start);
    std::vector<admission_entry> expired;
    const std::optional<admission_entry> entry =
        queue.dequeue(read, busy, start + microseconds(3001), expired);
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry->id, 2U);
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].id, 1U);
}

// Guards against requests that wait forever at a target that runs none.
TEST(admission_queue, expire_removes_only_requests_that_can_no_longer_finish) {
    admission_queue queue(100);
    const service_rate busy{microseconds(1000), microseconds(2000), 1, 1};
    queue.enqueue({1, "a", read, start + milliseconds(5)}, busy, start);
    queue.enqueue({2, "a", write, start + milliseconds(5)}, busy, start);
    queue.enqueue({3, "b", write, late}, busy, start);
    EXPECT_TRUE(queue.expire(write, busy, start + milliseconds(3)).empty());
    EXPECT_EQ(queue.expire(write, busy, start + microseconds(3001)).size(), 1U);
    EXPECT_EQ(queue.expire(read, rate, start + milliseconds(5)).size(), 1U);
    EXPECT_EQ(queue.get_size(read), 0U);
    EXPECT_EQ(take_all(queue, write, start), (std::vector<std::uint64_t>{3}));
}

// Guards against lost, duplicated or unfairly delayed requests in random sequences.
TEST(admission_queue, random_sequences_keep_every_request_once_and_stay_fair) {
    std::mt19937_64 random(tests::get_seed("admission_queue", 77));
    const service_rate busy{microseconds(1000), microseconds(2000), 1, 1};
    admission_queue queue(40);
    std::map<std::uint64_t, admission_entry> waiting;
    std::map<std::pair<request_kind, std::string>, int> passed_over;
    std::uint64_t next = 1;
    for (int i = 0; i < 50'000; ++i) {
        const state::time_point now = start + microseconds(100 * i);
        const request_kind kind = random() % 2 == 0 ? read : write;
        if (random() % 2 == 0) {
            const admission_entry entry{next++, "c" + std::to_string(random() % 5), kind,
                                        now + milliseconds(random() % 200)};
            const admission_result result = queue.enqueue(entry, busy, now);
            if (result.decision == admission_decision::queued) {
                ASSERT_TRUE(waiting.emplace(entry.id, entry).second);
            }
            for (const admission_entry& each : result.displaced) {
                ASSERT_EQ(waiting.erase(each.id), 1U);
            }
        } else {
            std::vector<admission_entry> expired;
            const std::optional<admission_entry> taken = queue.dequeue(kind, busy, now, expired);
            for (const admission_entry& entry : expired) {
                ASSERT_EQ(waiting.erase(entry.id), 1U);
                ASSERT_LT(entry.deadline, now + busy.needed_time);
            }
            if (taken) {
                ASSERT_EQ(waiting.erase(taken->id), 1U);
                ASSERT_GE(taken->deadline, now + busy.needed_time);
                passed_over[{kind, taken->caller}] = 0;
            }
            // With 5 callers in turn, no waiting caller is passed over more than 4 times.
            std::set<std::string> present;
            for (const auto& [id, entry] : waiting) {
                if (entry.kind == kind) {
                    present.insert(entry.caller);
                }
            }
            for (int caller = 0; caller < 5; ++caller) {
                const std::string name = "c" + std::to_string(caller);
                int& count = passed_over[{kind, name}];
                count = !present.contains(name) || !taken || taken->caller == name ? 0 : count + 1;
                ASSERT_LE(count, 4) << name;
            }
        }
        ASSERT_EQ(queue.get_size(read) + queue.get_size(write), waiting.size());
    }
}

}  // namespace
}  // namespace hornbeamhook::coordination
