#pragma once

#include <cstdio>
#include <memory>
#include <string>

#include "standin/target/entry_log.h"
#include "standin/target/term_state.h"

namespace hornbeamhook::standin::target {

/** Reads a log entry from its JSON form. Throws nlohmann::json::exception. */
log_entry parse_log_entry(const nlohmann::json& object);

/** One line of JSON. */
std::string to_line(const log_entry& entry);

/**
 * The log and the terms on disk, so that a restarted target keeps what it acknowledged.
 *
 * Survives the death of the process, not that of the machine: nothing is synchronised to disk.
 * Not thread safe.
 */
class durable_files {
public:
    /** Uses `directory`, or a new temporary one, removed by the destructor, when empty. Throws
     * std::runtime_error, also when another process uses it. */
    explicit durable_files(std::string directory);
    ~durable_files();
    durable_files(const durable_files&) = delete;
    durable_files& operator=(const durable_files&) = delete;

    /** What an earlier process left; false when there is nothing. Throws std::runtime_error when
     * it is damaged. */
    bool load(term_state& terms, entry_log& log);

    /** Writes the terms. Throws std::runtime_error. */
    void save_terms(const term_state& terms);

    /** Appends to the log file. Throws std::runtime_error. */
    void append(const log_entry& entry);

    /** Replaces the log file after a tail was discarded. Throws std::runtime_error. */
    void rewrite(const entry_log& log);

    /** Path of the database file of one generation; an existing file is removed. */
    std::string make_database_path(std::uint64_t generation) const;
    void remove_database(std::uint64_t generation) const;

private:
    using file_handle = std::unique_ptr<std::FILE, int (*)(std::FILE*)>;

    void load_log(entry_log& log);
    std::string get_path(const char* name) const { return directory_ + "/" + name; }

    std::string directory_;
    bool is_temporary_;
    int lock_ = -1;
    file_handle log_file_{nullptr, &std::fclose};
};

}  // namespace hornbeamhook::standin::target
