#include "state/principal_table.h"

#include <gtest/gtest.h>

namespace hornbeamhook::state {
namespace {

// Guards against a credential that still opens the fleet after it was replaced or its owner
// removed.
TEST(principal_table, a_replaced_or_removed_credential_finds_nobody) {
    principal_table table;
    table.put({"shop", "old", {}});
    table.put({"van", "other", {}});
    table.put({"shop", "new", {}});
    EXPECT_EQ(table.find_by_hash("old"), nullptr);
    ASSERT_NE(table.find_by_hash("new"), nullptr);
    EXPECT_EQ(table.find_by_hash("new")->name, "shop");
    EXPECT_TRUE(table.erase("shop"));
    EXPECT_FALSE(table.erase("shop"));
    EXPECT_EQ(table.find_by_hash("new"), nullptr);
    EXPECT_EQ(table.get_all().size(), 1U);
}

}  // namespace
}  // namespace hornbeamhook::state
