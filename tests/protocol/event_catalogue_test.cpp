#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <string>

namespace hornbeamhook::protocol {
namespace {

namespace fs = std::filesystem;

std::string read_file(const fs::path& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

/** Adds number and name of each match; returns how many numbers were used for two names. */
int collect(const std::string& text, const std::regex& pattern,
            std::map<std::string, std::string>& events) {
    int conflicts = 0;
    for (std::sregex_iterator it(text.begin(), text.end(), pattern), end; it != end; ++it) {
        const auto [entry, is_new] = events.emplace((*it)[1], (*it)[2]);
        conflicts += !is_new ? 1 : 0;
    }
    return conflicts;
}

// Guards against a catalogue that no longer describes the log lines operators see.
TEST(event_catalogue, matches_the_events_in_the_code) {
    const fs::path root = HORNBEAMHOOK_SOURCE_DIR;
    const std::regex in_code(R"(event_type\s+\w+\s*\{\s*(\d{4}),\s*\"(\w+)\")");
    std::map<std::string, std::string> code;
    int conflicts = 0;
    for (const fs::directory_entry& entry : fs::recursive_directory_iterator(root / "src")) {
        if (entry.path().extension() == ".h" || entry.path().extension() == ".cpp") {
            conflicts += collect(read_file(entry.path()), in_code, code);
        }
    }
    const std::regex in_docs(R"(\|\s*(\d{4})\s*\|\s*`?(\w+)`?\s*\|)");
    std::map<std::string, std::string> docs;
    for (const fs::directory_entry& entry : fs::directory_iterator(root / "docs" / "events")) {
        conflicts += collect(read_file(entry.path()), in_docs, docs);
    }
    EXPECT_EQ(conflicts, 0) << "a number is used twice";
    EXPECT_EQ(code, docs);
}

}  // namespace
}  // namespace hornbeamhook::protocol
