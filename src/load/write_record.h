#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hornbeamhook::load {

using time_point = std::chrono::steady_clock::time_point;

/** What the caller was told about a write in the end. */
enum class write_outcome {
    acknowledged,
    unknown,  ///< At least one attempt may have run, and none was acknowledged.
    not_run,  ///< Every attempt was told not to have run.
};

/** All attempts that carried one marker. A retry after not_run gets a new marker and a new key. */
struct write_record {
    std::uint32_t session = 0;
    std::string pool;
    std::string kind;    ///< Name of the workload operation.
    std::string marker;  ///< Unique; the write stores it in one row.
    std::string item;    ///< Stock row whose version it raises; empty when it only adds a row.
    bool is_keyed = false;
    time_point begin;  ///< Of the first attempt.
    time_point end;    ///< Of the last attempt.
    write_outcome outcome = write_outcome::unknown;
    std::int64_t version = 0;           ///< Version of the item after an acknowledged write.
    std::vector<std::string> attempts;  ///< What each was answered, for descriptions.
};

}  // namespace hornbeamhook::load
