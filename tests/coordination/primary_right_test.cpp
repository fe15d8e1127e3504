#include "coordination/primary_right.h"

#include <gtest/gtest.h>

namespace hornbeamhook::coordination {
namespace {

leadership_record make_record(std::int64_t version, const std::string& changer = {}) {
    return {"t1", 1, changer, version};
}

// Guards against a VM that uses a primary for longer than a promoter waits for it.
TEST(primary_right, ends_unless_it_is_confirmed_again) {
    primary_right right;
    EXPECT_FALSE(right.get_usable(0).has_value());
    right.confirm(make_record(5), 1000);
    EXPECT_TRUE(right.get_usable(1000 + right_duration_ms - 1).has_value());
    EXPECT_FALSE(right.get_usable(1000 + right_duration_ms).has_value());
    right.extend(2500);
    EXPECT_TRUE(right.get_usable(2500 + right_duration_ms - 1).has_value());
}

// Guards against promises that stand in for the store for longer than a removed member is waited
// for.
TEST(primary_right, promises_extend_only_for_a_while_after_the_store_was_read) {
    primary_right right;
    right.confirm(make_record(5), 1000);
    right.extend(1000 + max_store_absence_ms + 1);
    EXPECT_FALSE(right.get_usable(1000 + max_store_absence_ms + 1).has_value());
}

// Guards against a reading that was under way when the right was revoked restoring it.
TEST(primary_right, an_older_record_does_not_undo_a_revocation) {
    primary_right right;
    right.confirm(make_record(5), 1000);
    right.revoke(8);
    right.confirm(make_record(5), 1100);
    EXPECT_FALSE(right.get_usable(1100).has_value());
    right.confirm(make_record(9, "vm2/1"), 1200);
    EXPECT_FALSE(right.get_usable(1200).has_value());
    right.confirm(make_record(12), 1300);
    EXPECT_TRUE(right.get_usable(1300).has_value());
}

// Guards against a late answer of the store taking a VM back to an older primary.
TEST(primary_right, keeps_the_newest_record) {
    primary_right right;
    right.confirm({"t2", 2, {}, 9}, 1000);
    right.confirm({"t1", 1, {}, 5}, 1500);
    EXPECT_EQ(right.get_record()->target, "t2");
    EXPECT_FALSE(right.get_usable(1000 + right_duration_ms).has_value());
}

}  // namespace
}  // namespace hornbeamhook::coordination
