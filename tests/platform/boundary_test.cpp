#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace hornbeamhook::platform {
namespace {

namespace fs = std::filesystem;

// Guards against names of the platform's protocol in src/; they belong in platform/ only.
TEST(boundary, only_platform_folder_uses_platform_names) {
    const fs::path root = HORNBEAMHOOK_SOURCE_DIR;
    const std::string names[] = {"WAITLSN",
                                 "STEPDOWN",
                                 "CONNLIMIT",
                                 "WRONGNODE",
                                 "INDOUBT",
                                 "DATAROW",
                                 "STARTUP",
                                 "NOSTMT",
                                 "rows-get",
                                 "rows-feed",
                                 "rows-tx",
                                 "RowVersion",
                                 "MaxStalenessMs",
                                 "GoalLatencyMs",
                                 "RouteType",
                                 "MaxConns",
                                 "DbRole",
                                 "TxIdleMs",
                                 "WarmupLeftMs",
                                 "X-Duty-Holder",
                                 "Tombstone",
                                 "InternalPorts",
                                 "X-Fencing",
                                 "\"/failover\"",
                                 "HORNBEAMHOOK_CONFIG",
                                 "Cloud.Addr",
                                 "HasMore",
                                 "bounded_staleness",
                                 "read_your_writes"};
    int files = 0;
    for (const fs::directory_entry& entry : fs::recursive_directory_iterator(root / "src")) {
        if (entry.path().extension() != ".h" && entry.path().extension() != ".cpp") {
            continue;
        }
        ++files;
        std::ifstream file(entry.path());
        const std::string text{std::istreambuf_iterator<char>(file), {}};
        for (const std::string& name : names) {
            EXPECT_EQ(text.find(name), std::string::npos) << name << " in " << entry.path();
        }
    }
    EXPECT_GT(files, 100);
}

}  // namespace
}  // namespace hornbeamhook::platform
