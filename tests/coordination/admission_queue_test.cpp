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
constexpr service_rate rate{microseconds(1000), 1};

std::vector<std::uint64_t> take_all(admission_queue& queue, state::time_point now) {
    std::vector<std::uint64_t> ids;
    std::vector<admission_entry> expired;
    while (const std::optional<admission_entry> entry = queue.take(rate, now, expired)) {
        ids.push_back(entry->id);
    }
    return ids;
}

// Guards against one busy caller that makes all others wait.
TEST(admission_queue, serves_callers_round_robin) {
    admission_queue queue(100);
    std::uint64_t id = 1;
    for (int i = 0; i < 4; ++i) {
        queue.offer({id++, "busy", false, late}, rate, start);
    }
    queue.offer({id++, "quiet", false, late}, rate, start);
    queue.offer({id++, "other", false, late}, rate, start);
    EXPECT_EQ(take_all(queue, start), (std::vector<std::uint64_t>{1, 5, 6, 2, 3, 4}));
}

// Guards against writes that wait behind a flood of reads.
TEST(admission_queue, alternates_between_writes_and_reads) {
    admission_queue queue(100);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        queue.offer({id, "a", false, late}, rate, start);
    }
    for (std::uint64_t id = 11; id <= 13; ++id) {
        queue.offer({id, "a", true, late}, rate, start);
    }
    EXPECT_EQ(take_all(queue, start), (std::vector<std::uint64_t>{11, 1, 12, 2, 13, 3}));
}

// Guards against unbounded queues; each kind has its own bound.
TEST(admission_queue, refuses_beyond_its_length) {
    admission_queue queue(2);
    EXPECT_EQ(queue.offer({1, "a", false, late}, rate, start), admission_verdict::queued);
    EXPECT_EQ(queue.offer({2, "b", false, late}, rate, start), admission_verdict::queued);
    EXPECT_EQ(queue.offer({3, "c", false, late}, rate, start), admission_verdict::full);
    EXPECT_EQ(queue.offer({4, "c", true, late}, rate, start), admission_verdict::queued);
}

// Guards against accepting a request that can only time out.
TEST(admission_queue, refuses_at_once_what_would_wait_past_its_deadline) {
    admission_queue queue(100);
    for (std::uint64_t id = 0; id < 10; ++id) {
        queue.offer({id, "a", false, late}, rate, start);
    }
    // Ten wait one millisecond each, and the request itself needs twice the mean service time.
    EXPECT_EQ(queue.offer({50, "b", false, start + microseconds(11'999)}, rate, start),
              admission_verdict::too_late);
    EXPECT_EQ(queue.offer({51, "b", false, start + milliseconds(12)}, rate, start),
              admission_verdict::queued);
    const service_rate parallel{microseconds(1000), 2};
    EXPECT_EQ(queue.judge(false, start + microseconds(7499), parallel, start),
              admission_verdict::too_late);
    EXPECT_EQ(queue.judge(false, start + microseconds(7500), parallel, start),
              admission_verdict::queued);
}

// Guards against spending a slot on a request whose caller no longer waits.
TEST(admission_queue, take_skips_what_can_no_longer_finish) {
    admission_queue queue(100);
    queue.offer({1, "a", false, start + milliseconds(5)}, rate, start);
    queue.offer({2, "a", false, late}, rate, start);
    std::vector<admission_entry> expired;
    const std::optional<admission_entry> entry =
        queue.take(rate, start + microseconds(3001), expired);
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry->id, 2U);
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].id, 1U);
}

// Guards against requests that wait forever behind a target that takes none.
TEST(admission_queue, expire_removes_only_what_is_past_its_deadline) {
    admission_queue queue(100);
    queue.offer({1, "a", false, start + milliseconds(5)}, rate, start);
    queue.offer({2, "a", true, start + milliseconds(5)}, rate, start);
    queue.offer({3, "b", true, late}, rate, start);
    EXPECT_EQ(queue.expire(start + milliseconds(5)).size(), 2U);
    EXPECT_EQ(queue.get_size(false), 0U);
    EXPECT_EQ(take_all(queue, start), (std::vector<std::uint64_t>{3}));
}

// Guards against lost, doubled or unfairly delayed requests over random histories.
TEST(admission_queue, random_histories_keep_every_request_once_and_stay_fair) {
    std::mt19937_64 random(tests::get_seed("admission_queue", 77));
    admission_queue queue(40);
    std::set<std::uint64_t> waiting;
    std::map<std::string, int> passed_over;
    std::map<std::uint64_t, std::string> callers;
    std::uint64_t next = 1;
    for (int i = 0; i < 50'000; ++i) {
        const state::time_point now = start + microseconds(100 * i);
        if (random() % 2 == 0) {
            const std::string caller = "c" + std::to_string(random() % 5);
            const admission_entry entry{next++, caller, random() % 2 == 0,
                                        now + milliseconds(random() % 200)};
            if (queue.offer(entry, rate, now) == admission_verdict::queued) {
                ASSERT_TRUE(waiting.insert(entry.id).second);
                callers[entry.id] = (entry.is_write ? "w" : "r") + caller;
            }
        } else {
            std::vector<admission_entry> expired;
            const std::optional<admission_entry> taken = queue.take(rate, now, expired);
            for (const admission_entry& entry : expired) {
                ASSERT_EQ(waiting.erase(entry.id), 1U);
                ASSERT_LT(entry.deadline, now + 2 * rate.service_time);
            }
            if (!taken) {
                ASSERT_TRUE(waiting.empty());
                passed_over.clear();
                continue;
            }
            ASSERT_EQ(waiting.erase(taken->id), 1U);
            // With 5 callers and 2 kinds in turn, nobody is passed over more than 10 times.
            std::set<std::string> present;
            for (const std::uint64_t id : waiting) {
                present.insert(callers[id]);
            }
            const std::string served = callers[taken->id];
            std::erase_if(passed_over, [&](const auto& each) {
                return each.first == served || !present.contains(each.first);
            });
            for (const std::string& caller : present) {
                if (caller != served) {
                    ASSERT_LE(++passed_over[caller], 10) << caller;
                }
            }
        }
        ASSERT_EQ(queue.get_size(false) + queue.get_size(true), waiting.size());
    }
}

}  // namespace
}  // namespace hornbeamhook::coordination
