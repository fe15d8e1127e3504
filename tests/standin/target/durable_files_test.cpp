#include "standin/target/durable_files.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace hornbeamhook::standin::target {
namespace {

class durable_files_test : public ::testing::Test {
protected:
    durable_files_test()
        : directory(std::filesystem::temp_directory_path() /
                    ("durable-files-test-" + std::to_string(::getpid()) + "-" +
                     ::testing::UnitTest::GetInstance()->current_test_info()->name())) {
        std::filesystem::remove_all(directory);
        durable_files files(directory);
        files.save_terms(saved_terms);
        for (state::log_position i = 0; i < 3; ++i) {
            const log_entry entry{.term = i + 1,
                                  .statements = R"([{"sql":"SELECT 1","parameters":["é"]}])"};
            files.append(entry);
            saved_log.push(std::make_shared<const log_entry>(entry));
        }
    }

    ~durable_files_test() override { std::filesystem::remove_all(directory); }

    void append_text(const char* file, const std::string& text) const {
        std::ofstream(directory / file, std::ios::app) << text;
    }

    void expect_saved_state() const {
        durable_files files(directory);
        term_state terms;
        entry_log log;
        ASSERT_TRUE(files.load(terms, log));
        EXPECT_EQ(terms, saved_terms);
        EXPECT_EQ(log.get_runs(), saved_log.get_runs());
        ASSERT_EQ(log.get_length(), saved_log.get_length());
        for (std::size_t i = 0; i < log.get_length(); ++i) {
            EXPECT_EQ(nlohmann::json::parse(log.get_entries()[i]->statements),
                      nlohmann::json::parse(saved_log.get_entries()[i]->statements));
        }
    }

    const std::filesystem::path directory;
    const term_state saved_terms{.accepted_term = 5,
                                 .accepted_claimant = "x",
                                 .follow_term = 3,
                                 .term_start = 2,
                                 .is_primary = true};
    entry_log saved_log;
};

// Guards against a restart that loses entries.
TEST_F(durable_files_test, saved_state_is_loaded) {
    expect_saved_state();
    expect_saved_state();
}

// Guards against a partial last line being taken for an entry, or making the rest unreadable.
TEST_F(durable_files_test, partial_last_line_is_dropped) {
    append_text("log.jsonl", R"({"term":4,"statements":[]})");
    expect_saved_state();
    append_text("log.jsonl", R"({"term":4,"stat)");
    expect_saved_state();
}

// Guards against dropping entries silently when the log is damaged before its end.
TEST_F(durable_files_test, damage_is_an_error_that_names_the_directory) {
    const auto expect_error = [this] {
        durable_files files(directory);
        term_state terms;
        entry_log log;
        try {
            files.load(terms, log);
            FAIL() << "the damage was not noticed";
        } catch (const std::runtime_error& error) {
            EXPECT_NE(std::string(error.what()).find(directory.string()), std::string::npos);
        }
    };
    append_text("log.jsonl", "{\"term\":4,\"stat\n{\"term\":4,\"statements\":[]}\n");
    expect_error();
    expect_error();
    append_text("terms.json", "x");
    expect_error();
}

// Guards against a discarded tail that returns after a restart.
TEST_F(durable_files_test, rewritten_log_stays_short) {
    saved_log.truncate(1);
    {
        durable_files files(directory);
        files.rewrite(saved_log);
    }
    expect_saved_state();
}

// Guards against two targets that append to one log.
TEST_F(durable_files_test, directory_in_use_is_refused) {
    const durable_files first(directory);
    EXPECT_THROW(durable_files second(directory), std::runtime_error);
}

// Guards against temporary folders that are left behind.
TEST_F(durable_files_test, temporary_directory_is_removed) {
    std::string path;
    {
        const durable_files files("");
        path = std::filesystem::path(files.make_database_path(0)).parent_path();
        EXPECT_TRUE(std::filesystem::exists(path));
    }
    EXPECT_FALSE(std::filesystem::exists(path));
}

}  // namespace
}  // namespace hornbeamhook::standin::target
