#include "standin/target/durable_files.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace hornbeamhook::standin::target {

namespace {

constexpr const char* terms_file = "terms.json";
constexpr const char* log_file = "log.jsonl";
constexpr const char* lock_file = "lock";

std::string make_temporary_directory() {
    std::string path = (std::filesystem::temp_directory_path() / "target-standin-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) {
        throw std::runtime_error("cannot create " + path + ": " + std::strerror(errno));
    }
    return path;
}

}  // namespace

log_entry parse_log_entry(const nlohmann::json& object) {
    return {.term = object.at("term").get<state::term_number>(),
            .statements = object.at("statements").dump(),
            .appended_at = std::chrono::steady_clock::now()};
}

std::string to_line(const log_entry& entry) {
    return R"({"term":)" + std::to_string(entry.term) + R"(,"statements":)" + entry.statements +
           "}";
}

durable_files::durable_files(std::string directory)
    : directory_(std::move(directory)), is_temporary_(directory_.empty()) {
    if (is_temporary_) {
        directory_ = make_temporary_directory();
    }
    std::filesystem::create_directories(directory_);
    // Two processes that append to one log would lose each other's entries.
    lock_ = ::open(get_path(lock_file).c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (lock_ < 0 || ::flock(lock_, LOCK_EX | LOCK_NB) != 0) {
        const std::string reason = std::strerror(errno);
        ::close(lock_);
        throw std::runtime_error("cannot lock data directory " + directory_ + ": " + reason);
    }
}

durable_files::~durable_files() {
    ::close(lock_);
    if (is_temporary_) {
        std::error_code ignored;
        std::filesystem::remove_all(directory_, ignored);
    }
}

bool durable_files::load(term_state& terms, entry_log& log) {
    std::ifstream terms_input(get_path(terms_file));
    if (!terms_input) {
        return false;
    }
    try {
        terms = parse_term_state(nlohmann::json::parse(terms_input));
        load_log(log);
    } catch (const nlohmann::json::exception& error) {
        throw std::runtime_error("data directory " + directory_ + " is damaged: " + error.what());
    }
    rewrite(log);
    return true;
}

void durable_files::load_log(entry_log& log) {
    std::ifstream input(get_path(log_file));
    std::string line;
    while (std::getline(input, line)) {
        // A process that died while appending leaves a last line without an end. Its entry was
        // neither acknowledged nor shipped.
        if (input.eof()) {
            return;
        }
        log.push(std::make_shared<const log_entry>(parse_log_entry(nlohmann::json::parse(line))));
    }
}

void durable_files::save_terms(const term_state& terms) {
    const std::string path = get_path(terms_file);
    std::ofstream output(path + ".new");
    output << to_json(terms).dump() << "\n";
    output.close();
    if (!output) {
        throw std::runtime_error("cannot write " + path);
    }
    std::filesystem::rename(path + ".new", path);
}

void durable_files::append(const log_entry& entry) {
    if (is_temporary_) {
        return;
    }
    if (!log_file_) {
        log_file_.reset(std::fopen(get_path(log_file).c_str(), "a"));
    }
    const std::string line = to_line(entry) + "\n";
    if (!log_file_ || std::fwrite(line.data(), 1, line.size(), log_file_.get()) != line.size() ||
        std::fflush(log_file_.get()) != 0) {
        throw std::runtime_error("cannot append to " + get_path(log_file));
    }
}

void durable_files::rewrite(const entry_log& log) {
    if (is_temporary_) {
        return;
    }
    log_file_.reset();
    const std::string path = get_path(log_file);
    std::ofstream output(path + ".new");
    for (const std::shared_ptr<const log_entry>& entry : log.get_entries()) {
        output << to_line(*entry) << "\n";
    }
    output.close();
    if (!output) {
        throw std::runtime_error("cannot write " + path);
    }
    std::filesystem::rename(path + ".new", path);
}

std::string durable_files::make_database_path(std::uint64_t generation) const {
    remove_database(generation);
    return directory_ + "/database-" + std::to_string(generation) + ".sqlite";
}

void durable_files::remove_database(std::uint64_t generation) const {
    std::error_code ignored;
    const std::string base = directory_ + "/database-" + std::to_string(generation) + ".sqlite";
    for (const char* suffix : {"", "-wal", "-journal", "-shm"}) {
        std::filesystem::remove(base + suffix, ignored);
    }
}

}  // namespace hornbeamhook::standin::target
