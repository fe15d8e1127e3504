#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamhook::standin::platform {

/** One row as stored. */
struct stored_row {
    std::uint64_t version = 0;  ///< The transaction number of the last put; never reused.
    nlohmann::json value;
};

/** Condition of a transaction: the row has this version, or is absent when empty. */
struct row_condition {
    std::string table;
    std::string key;
    std::optional<std::uint64_t> version;
};

/** One put, or a delete when `value` is empty. */
struct row_write {
    std::string table;
    std::string key;
    std::optional<nlohmann::json> value;
};

/** Result of a transaction. */
struct transaction_result {
    bool is_committed = false;
    std::uint64_t version = 0;  ///< Version of the rows put, or the newest one.
};

/** Reads and writes of one table. */
struct table_counters {
    std::uint64_t reads = 0;      ///< Requests that read the table.
    std::uint64_t rows_read = 0;  ///< Rows in their answers.
    std::uint64_t writes = 0;     ///< Rows put or deleted.
    std::uint64_t conflicts = 0;  ///< Failed conditions on rows of this table.
};

/** Tables of JSON rows with atomic conditional transactions, in memory. Thread safe. */
class table_store {
public:
    /** Applies all writes if all conditions hold, as one atomic step. */
    transaction_result commit(const std::vector<row_condition>& conditions,
                              const std::vector<row_write>& writes);

    /** The row, or empty. */
    std::optional<stored_row> get_row(const std::string& table, const std::string& key);

    /** Rows in key order with `prefix`, after key `after`, at most `limit`. */
    std::vector<std::pair<std::string, stored_row>> get_rows(const std::string& table,
                                                             const std::string& prefix,
                                                             const std::string& after,
                                                             std::size_t limit);

    /** Counters by table. */
    std::map<std::string, table_counters> get_counters() const;

private:
    using table_rows = std::map<std::string, stored_row>;

    mutable std::mutex mutex_;
    std::map<std::string, table_rows> tables_;
    std::map<std::string, table_counters> counters_;
    std::uint64_t last_version_ = 0;
};

}  // namespace hornbeamhook::standin::platform
