#include "gateway/table_copy.h"

#include <gtest/gtest.h>

namespace hornbeamhook::gateway {
namespace {

stored_row make_row(const std::string& key, row_version version) {
    return {"t", key, "value of " + key, version, false};
}

TEST(table_copy, equal_copies_have_equal_digests) {
    table_copy left;
    table_copy right;
    left.apply_read({make_row("a", 1), make_row("b", 2)}, 5);
    right.apply({make_row("b", 2)});
    EXPECT_NE(left.get_digest(), right.get_digest());
    right.apply({make_row("a", 1)});
    EXPECT_EQ(left.get_digest(), right.get_digest());
    left.apply_read({make_row("a", 1)}, 7);
    EXPECT_NE(left.get_digest(), right.get_digest());
    right.apply_read({make_row("a", 1)}, 9);
    EXPECT_EQ(left.get_digest(), right.get_digest());
}

// Guards against a VM or target that has left and is in use again because another VM's copy is
// older.
TEST(table_copy, an_older_copy_does_not_bring_back_a_removed_row) {
    table_copy older;
    older.apply_read({make_row("a", 1), make_row("b", 2)}, 5);
    table_copy newer = older;
    newer.apply_read({make_row("a", 1)}, 8);
    EXPECT_TRUE(newer.apply_update(older.get_update(0)).empty());
    EXPECT_EQ(newer.get_rows(), std::vector<stored_row>{make_row("a", 1)});
    EXPECT_EQ(newer.find("a"), make_row("a", 1));
    EXPECT_FALSE(newer.find("b").has_value());
    const auto removed = older.apply_update(newer.get_update(older.get_newest_version()));
    ASSERT_EQ(removed.size(), 1U);
    EXPECT_TRUE(removed[0].is_deleted);
    EXPECT_EQ(older.get_digest(), newer.get_digest());
}

// Guards against a server that has left and is in use again after a restart: the process has read
// the store and then gets the older copy of another VM.
TEST(table_copy, an_older_copy_adds_no_row_that_the_store_no_longer_has) {
    table_copy older;
    older.apply_read({make_row("a", 1), make_row("b", 2)}, 5);
    table_copy restarted;
    restarted.apply_read({make_row("a", 1)}, 8);
    EXPECT_TRUE(restarted.apply_copied(older.get_all_rows()).empty());
    EXPECT_TRUE(restarted.apply_update(older.get_update(0)).empty());
    EXPECT_EQ(restarted.apply_copied({make_row("c", 9)}).size(), 1U);
}

// Guards against a row that this VM knows and the other one does not yet: it is not removed.
TEST(table_copy, an_older_copy_does_not_remove_a_newer_row) {
    table_copy older;
    older.apply_read({make_row("a", 1)}, 5);
    table_copy newer = older;
    newer.apply({make_row("b", 6)});
    newer.apply_update(older.get_update(0));
    EXPECT_EQ(newer.get_rows().size(), 2U);
}

TEST(table_copy, an_update_holds_only_newer_rows) {
    table_copy hub;
    hub.apply_read({make_row("a", 1), make_row("b", 7)}, 9);
    const table_update update = hub.get_update(3);
    ASSERT_EQ(update.rows.size(), 1U);
    EXPECT_EQ(update.rows[0].key, "b");
    EXPECT_EQ(update.versions.size(), 2U);
    const auto parsed = parse_table_update(format_table_update(update));
    ASSERT_TRUE(parsed.has_value());
    EXPECT_EQ(parsed->versions, update.versions);
    EXPECT_EQ(parsed->rows[0].value, "value of b");
}

// Guards against an answer of another VM that ends the process.
TEST(table_copy, malformed_updates_are_rejected) {
    for (const char* text : {"", "[]", "{}", R"({"read_version":"1","versions":{},"rows":[]})",
                             R"({"read_version":1,"versions":{"a":"x"},"rows":[]})",
                             R"({"read_version":1,"versions":{},"rows":[["a"]]})",
                             R"({"read_version":1,"versions":{},"rows":[[1,2,3]]})",
                             R"({"read_version":1,"versions":[],"rows":7})"}) {
        EXPECT_FALSE(parse_table_update(text).has_value()) << text;
    }
}

TEST(table_copy, changes_since_its_read_make_a_copy_equal) {
    table_copy older;
    older.apply_read({make_row("a", 1), make_row("b", 2)}, 5);
    table_copy newer = older;
    newer.apply_read({make_row("a", 6), make_row("c", 7)}, 8);
    table_changes changes = newer.get_changes(older.get_read_version());
    for (stored_row& row : changes.rows) {
        row.table.clear();  // Both VMs know the table.
    }
    EXPECT_EQ(parse_table_changes(format_table_changes(changes)), changes);
    EXPECT_EQ(changes.rows.size(), 3U);
    EXPECT_EQ(older.apply_changes(changes).size(), 3U);
    EXPECT_EQ(older.get_digest(), newer.get_digest());
    EXPECT_EQ(older.get_read_version(), 8);
}

// Guards against a copy that counts as up to date although a change was missing.
TEST(table_copy, changes_that_leave_a_difference_do_not_raise_the_read_version) {
    table_copy older;
    older.apply_read({make_row("a", 1), make_row("b", 2)}, 5);
    table_copy newer;
    newer.apply_read({make_row("a", 6)}, 8);
    older.apply_changes(newer.get_changes(5));
    EXPECT_NE(older.get_digest(), newer.get_digest());
    EXPECT_EQ(older.get_read_version(), 5);
}

// Guards against rows that a restore of the store has lost and that VMs which have not read it
// since spread again; and against such rows staying at a VM that follows another one.
TEST(table_copy, a_copy_from_before_a_restore_brings_nothing_back) {
    using coordination::make_store_version;
    table_copy before;
    before.apply_read(
        {make_row("kept", make_store_version(1, 3)), make_row("changed", make_store_version(1, 9)),
         make_row("lost", make_store_version(1, 8))},
        make_store_version(1, 9));
    stored_row older = make_row("changed", make_store_version(2, 5));
    older.value = "older value";
    table_copy hub;
    hub.apply_read({make_row("kept", make_store_version(2, 3)), older}, make_store_version(2, 6));
    EXPECT_TRUE(hub.apply_update(before.get_update(0)).empty());
    EXPECT_TRUE(hub.apply_copied(before.get_all_rows()).empty());
    EXPECT_EQ(hub.find("changed")->value, "older value");

    table_copy follower = before;
    follower.apply_changes(hub.get_changes(follower.get_read_version()));
    EXPECT_NE(follower.get_digest(), hub.get_digest()) << "the lost row is not noticed";
    EXPECT_EQ(follower.get_read_version(), before.get_read_version());
    follower.apply_update(hub.get_update(follower.get_newest_version()));
    EXPECT_EQ(follower.get_digest(), hub.get_digest());
    EXPECT_FALSE(follower.find("lost").has_value());
    EXPECT_EQ(follower.find("changed")->value, "older value");
}

}  // namespace
}  // namespace hornbeamhook::gateway
