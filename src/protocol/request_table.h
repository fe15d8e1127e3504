#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "transport/target_connection.h"

namespace hornbeamhook::protocol {

/** SQLSTATE of an insert whose key exists already. */
inline constexpr const char* sqlstate_unique_violation = "23505";

/** SQLSTATE of a statement on a table that does not exist. */
inline constexpr const char* sqlstate_undefined_table = "42P01";

/** A row of the table of idempotency keys, which lives in the target group itself. */
struct stored_request {
    std::string digest;
    std::string result;  ///< JSON of the results, or the mark of a prevented commit.

    /** Whether the key was taken to prevent a commit whose outcome was unknown. */
    bool is_prevented_commit() const;

    bool operator==(const stored_request&) const = default;
};

/** Creates the table when it is absent. */
transport::target_statement make_create_request_table();

/** Inserts a key; violates the unique constraint when the request already ran. */
transport::target_statement make_insert_request(const std::string& caller, const std::string& key,
                                                const std::string& digest, std::int64_t now_ms);

/** Stores the results beside the key, in the same database transaction. */
transport::target_statement make_update_request(
    const std::string& caller, const std::string& key,
    const std::vector<transport::target_result>& results);

/** Marks the key as taken to prevent a commit. */
transport::target_statement make_prevent_commit(const std::string& caller, const std::string& key);

/** Reads a key. */
transport::target_statement make_select_request(const std::string& caller, const std::string& key);

/** Deletes keys created before `before_ms`. */
transport::target_statement make_prune_requests(std::int64_t before_ms);

/** Parses the answer of make_select_request(); empty when there is no such key. */
std::optional<stored_request> parse_stored_request(const transport::target_result& result);

/** The results inside a stored request. Fails with state_error. */
boost::leaf::result<std::vector<transport::target_result>> parse_stored_results(
    const stored_request& stored);

}  // namespace hornbeamhook::protocol
