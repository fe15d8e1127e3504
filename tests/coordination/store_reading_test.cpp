#include "coordination/store_reading.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

namespace hornbeamhook::coordination {
namespace {

using state::member;
using state::member_state;
using state::time_point;
using std::chrono::milliseconds;

const time_point start{std::chrono::hours(1)};

time_point at(int ms) {
    return start + milliseconds(ms);
}

member make_member(int number, const std::string& data_center) {
    member value;
    value.vm = "vm" + std::to_string(number);
    value.data_center = data_center;
    value.incarnation = 7;
    return value;
}

std::vector<member> make_fleet(int centers, int per_center) {
    std::vector<member> fleet;
    for (int i = 0; i < centers * per_center; ++i) {
        fleet.push_back(make_member(i, "dc" + std::to_string(i % centers)));
    }
    return fleet;
}

std::vector<member> find_readers(const std::vector<member>& live, const std::string& center) {
    std::vector<member> readers;
    std::ranges::copy_if(live, std::back_inserter(readers), [&](const member& value) {
        return value.data_center == center && is_store_reader(value, live);
    });
    return readers;
}

std::vector<member> remove(std::vector<member> live, const std::vector<member>& gone) {
    std::erase_if(live, [&](const member& value) { return std::ranges::count(gone, value) > 0; });
    return live;
}

struct due_reads {
    int heads = 0;
    int lists = 0;
};

/** One proxy whose reads are answered immediately. */
class store_reading_test : public ::testing::Test {
protected:
    store_reading_test() { reading_.last_peer_message_at = start; }

    void step(const store_reading_event& event, int ms) {
        reading_ = step_store_reading(reading_, event, at(ms)).state;
    }

    /** Runs from `from` to `to`; checks only when a check is due. */
    due_reads run(int from, int to, bool hears_peers, bool is_store_up = true) {
        due_reads reads;
        for (int ms = from; ms < to; ++ms) {
            if (hears_peers && ms % 500 == 0) {
                step(peer_message_received{}, ms);
            }
            if (get_next_read_time(reading_) > at(ms)) {
                continue;
            }
            const store_reading_step result =
                step_store_reading(reading_, read_check_due{}, at(ms));
            reading_ = result.state;
            EXPECT_FALSE(result.actions.empty()) << "a due check returned no action at " << ms;
            for (const store_reading_action& action : result.actions) {
                if (std::holds_alternative<read_head>(action)) {
                    ++reads.heads;
                    step(head_read_ended{is_store_up}, ms);
                } else {
                    ++reads.lists;
                    step(vm_list_read_ended{is_store_up, bytes_, is_listed_}, ms);
                }
            }
        }
        return reads;
    }

    store_reading_state reading_;
    std::size_t bytes_ = 800;
    bool is_listed_ = true;
};

// Guards against data centres in which all members or none read the store.
TEST(store_reader_test, two_members_of_each_data_centre_read) {
    const std::vector<member> live = make_fleet(10, 39);
    for (int center = 0; center < 10; ++center) {
        EXPECT_EQ(find_readers(live, "dc" + std::to_string(center)).size(), 2U);
    }
    const std::vector<member> small = make_fleet(6, 1);
    for (const member& value : small) {
        EXPECT_TRUE(is_store_reader(value, small)) << value.vm << " is alone in its data centre";
    }
}

// Guards against a data centre that lacks store readers after its readers failed, and against
// changed readers in other data centres.
TEST(store_reader_test, others_take_over_when_readers_fail) {
    std::vector<member> live = make_fleet(3, 5);
    const std::vector<member> elsewhere = find_readers(live, "dc1");
    std::set<std::string> seen;
    for (int left = 5; left > 0; left = left > 2 ? left - 2 : left - 1) {
        const std::vector<member> readers = find_readers(live, "dc0");
        EXPECT_EQ(readers.size(), std::min<std::size_t>(2, static_cast<std::size_t>(left)));
        for (const member& reader : readers) {
            EXPECT_TRUE(seen.insert(reader.vm).second || left == 1);
        }
        live = remove(live, readers);
        EXPECT_EQ(find_readers(live, "dc1"), elsewhere);
    }
}

// Guards against a leaving member that still considers itself a reader.
TEST(store_reader_test, a_leaving_member_is_no_reader) {
    const std::vector<member> live = make_fleet(1, 4);
    for (const member& reader : find_readers(live, "dc0")) {
        EXPECT_FALSE(is_store_reader(reader, remove(live, {reader})));
    }
}

// Guards against a data centre left without readers when its readers are partitioned off: each side
// of the partition counts only the members that it sees.
TEST(store_reader_test, a_data_centre_replaces_partitioned_readers) {
    const std::vector<member> live = make_fleet(2, 5);
    const std::vector<member> cut_off = find_readers(live, "dc0");
    EXPECT_EQ(find_readers(cut_off, "dc0"), cut_off);
    const std::vector<member> others = find_readers(remove(live, cut_off), "dc0");
    EXPECT_EQ(others.size(), 2U);
    EXPECT_TRUE(std::ranges::none_of(
        others, [&](const member& value) { return std::ranges::count(cut_off, value) > 0; }));
}

// Guards against missing reads of the head, and more than one in an interval.
TEST_F(store_reading_test, a_reader_reads_once_in_each_interval) {
    const due_reads reads = run(0, 60'000, true);
    EXPECT_EQ(reads.heads, 60);
    EXPECT_EQ(reads.lists, 60);
}

// Guards against a store read by all of thousands of members.
TEST_F(store_reading_test, a_non_reader_reads_only_at_its_start) {
    step(reader_assigned{false}, 0);
    const due_reads reads = run(0, 60'000, true);
    EXPECT_EQ(reads.heads, 1);
    EXPECT_EQ(reads.lists, 1);
}

// Guards against a proxy that gives up after one failed read at its start.
TEST_F(store_reading_test, reads_at_the_start_are_repeated_until_answered) {
    step(reader_assigned{false}, 0);
    const due_reads failed = run(0, 10'000, true, false);
    EXPECT_EQ(failed.heads, 10);
    EXPECT_EQ(failed.lists, 10);
    const due_reads answered = run(10'000, 60'000, true);
    EXPECT_EQ(answered.heads, 1);
    EXPECT_EQ(answered.lists, 1);
}

// Guards against a proxy that relies on peers which do not contact it.
TEST_F(store_reading_test, a_non_reader_without_peers_reads_after_two_seconds) {
    step(reader_assigned{false}, 0);
    run(0, 10'000, true);
    // The last peer message arrived at 9,500 ms.
    EXPECT_EQ(run(10'000, 11'500, false).heads, 0);
    const due_reads alone = run(11'500, 21'500, false);
    EXPECT_EQ(alone.heads, 10);
    EXPECT_EQ(alone.lists, 10);
    EXPECT_EQ(run(21'500, 40'000, true).heads, 0);
}

// Guards against a version that no peer provides and no proxy reads.
TEST_F(store_reading_test, a_non_reader_reads_once_when_asked) {
    step(reader_assigned{false}, 0);
    run(0, 5'000, true);
    step(head_requested{}, 5'000);
    EXPECT_EQ(run(5'000, 20'000, true).heads, 1);
    step(vm_list_requested{}, 20'000);
    const due_reads reads = run(20'000, 40'000, true);
    EXPECT_EQ(reads.lists, 1);
    EXPECT_EQ(reads.heads, 0);
}

// Guards against a new reader that waits, and a former reader that continues to read.
TEST_F(store_reading_test, a_change_of_role_takes_effect_at_once) {
    step(reader_assigned{false}, 0);
    run(0, 10'000, true);
    step(reader_assigned{true}, 10'000);
    EXPECT_EQ(run(10'000, 10'001, true).heads, 1);
    step(reader_assigned{false}, 10'001);
    EXPECT_EQ(run(10'001, 20'000, true).heads, 0);
}

// Guards against a store outage that makes every member read: other members still receive peer
// messages, so only the readers retry.
TEST_F(store_reading_test, an_outage_does_not_add_reads) {
    EXPECT_EQ(run(0, 10'000, true).heads, 10);
    EXPECT_EQ(run(10'000, 40'000, true, false).heads, 30);
    EXPECT_EQ(run(40'000, 41'000, true).heads, 1) << "the end must be detected within one interval";
    reading_ = store_reading_state{};
    reading_.last_peer_message_at = at(41'000);
    step(reader_assigned{false}, 41'000);
    run(41'000, 42'000, true);
    EXPECT_EQ(run(42'000, 72'000, true, false).heads, 0);
}

// Guards against a VM list that costs more than 1 KB/s or is read more often than the head.
TEST_F(store_reading_test, a_long_vm_list_is_read_less_often) {
    bytes_ = 390'000;
    const due_reads reads = run(0, 3'900'000, true);
    EXPECT_LE(static_cast<std::size_t>(reads.lists) * bytes_, 3900U * 1000U + bytes_);
    EXPECT_GE(reads.lists, 10);
    EXPECT_EQ(get_vm_list_interval(100, milliseconds(1000)), milliseconds(1000));
}

// Guards against a starting proxy that keeps reading a lagging list at the shortest interval.
TEST_F(store_reading_test, reads_of_a_lagging_list_back_off) {
    step(reader_assigned{false}, 0);
    bytes_ = 64'000;
    is_listed_ = false;
    const due_reads lagging = run(0, 640'000, true);
    EXPECT_GE(lagging.lists, 10);
    EXPECT_LE(lagging.lists, 17) << "1, 2, 4 ... 64 s";
    is_listed_ = true;
    EXPECT_EQ(run(640'000, 1'280'000, true).lists, 1);
}

// Guards against more than 100 usage transactions per second from the whole fleet.
TEST(usage_interval_test, grows_with_the_fleet) {
    EXPECT_EQ(get_usage_interval(0), milliseconds(10'000));
    EXPECT_EQ(get_usage_interval(1000), milliseconds(10'000));
    EXPECT_EQ(get_usage_interval(3900), milliseconds(39'000));
    for (std::size_t members = 1; members < 20'000; members += 7) {
        const double writes = 1000.0 * static_cast<double>(members) /
                              static_cast<double>(get_usage_interval(members).count());
        ASSERT_LE(writes, 100.5) << members;
    }
}

class vm_notice_test : public ::testing::Test {
protected:
    vm_notice_test() : live_(make_fleet(2, 3)), listed_(live_), self_(live_[0]) {}

    std::vector<std::string> notify(int ms) {
        vm_notice_step result = step_vm_notices(state_, self_, listed_, live_, at(ms));
        state_ = std::move(result.state);
        std::vector<std::string> vms;
        for (const vm_notice& notice : result.notices) {
            vms.push_back(notice.peer.vm + (notice.is_missing ? " missing" : ""));
        }
        return vms;
    }

    using names = std::vector<std::string>;

    std::vector<member> live_;
    std::vector<member> listed_;
    member self_;
    vm_notice_state state_;
};

// Guards against a drain that never reaches a VM which does not read the list.
TEST_F(vm_notice_test, a_live_member_listed_as_leaving_is_notified_until_it_leaves) {
    EXPECT_EQ(notify(0), names());
    listed_[2].state = member_state::leaving;
    EXPECT_EQ(notify(1000), names{"vm2"});
    EXPECT_EQ(notify(2000), names{"vm2"}) << "the first notice may have been lost";
    live_.erase(live_.begin() + 2);
    EXPECT_EQ(notify(3000), names());
}

// Guards against a drain that never starts because the readers of the data centre cannot read the
// list.
TEST_F(vm_notice_test, readers_of_other_data_centres_notify_after_a_delay) {
    listed_[1].state = member_state::leaving;
    EXPECT_EQ(notify(0), names());
    EXPECT_EQ(notify(4999), names());
    EXPECT_EQ(notify(5000), names{"vm1"});
    listed_[1].state = member_state::alive;
    EXPECT_EQ(notify(6000), names());
    listed_[1].state = member_state::leaving;
    EXPECT_EQ(notify(7000), names()) << "the delay must restart";
}

// Guards against a VM that does not learn of its missing list entry, and against notices to a VM
// that just registered.
TEST_F(vm_notice_test, a_live_member_missing_from_the_list_is_notified) {
    listed_.erase(listed_.begin() + 2);
    EXPECT_EQ(notify(0), names());
    EXPECT_EQ(notify(5000), names{"vm2 missing"});
    listed_ = live_;
    EXPECT_EQ(notify(6000), names());
}

// Guards against calls to a whole data centre after the platform returned an empty list.
TEST_F(vm_notice_test, notices_after_one_read_are_bounded) {
    live_ = make_fleet(1, 200);
    listed_.clear();
    notify(0);
    EXPECT_EQ(notify(10'000).size(), max_notices);
}

}  // namespace
}  // namespace hornbeamhook::coordination
