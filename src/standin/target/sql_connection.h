#pragma once

#include <sqlite3.h>

#include <boost/leaf.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "standin/target/sql_error.h"

namespace hornbeamhook::standin::target {

using sql_values = std::vector<std::optional<std::string>>;

/** What a statement returned. */
struct sql_answer {
    std::vector<std::string> columns;
    std::vector<sql_values> rows;
    std::string tag;  ///< Command tag of the PostgreSQL protocol.
};

/** One connection to the SQLite database behind a target. Used by one thread at a time. */
class sql_connection {
public:
    using handler =
        std::function<boost::leaf::result<std::string>(const std::vector<std::string>&)>;

    /** A prepared statement, owned by the connection's cache. */
    struct statement {
        sqlite3_stmt* handle = nullptr;
        std::string tag;
        bool is_read_only = true;
        bool uses_tables = false;
        bool uses_status = false;  ///< Calls hornbeamhook_status().
        bool is_repeatable = true;
    };

    /** Opens or creates the database file. Throws std::runtime_error. */
    explicit sql_connection(const std::string& path);
    ~sql_connection();
    sql_connection(const sql_connection&) = delete;
    sql_connection& operator=(const sql_connection&) = delete;

    /** Adds an SQL function that returns text. Its sql_error becomes that of the statement. */
    void add_function(const std::string& name, int arguments, handler handle);

    /** Valid until the next call of prepare(). Fails with sql_error. */
    boost::leaf::result<statement*> prepare(const std::string& sql);

    /** Names of the columns; empty when the statement returns no rows. */
    static std::vector<std::string> get_columns(const statement& value);

    /** Runs to the end. Parameters are text and replace $1, $2, ... Fails with sql_error. */
    boost::leaf::result<sql_answer> execute(statement& value, const sql_values& parameters);

    /** Runs a statement of the stand-in itself, such as BEGIN or COMMIT. Throws
     * std::runtime_error. */
    void execute_internal(const char* sql);

    bool is_in_transaction() const { return sqlite3_get_autocommit(handle_) == 0; }

private:
    static int authorise(void* self, int action, const char* first, const char* second,
                         const char* database, const char* trigger);
    static void call_function(sqlite3_context* context, int count, sqlite3_value** values);
    boost::leaf::result<void> bind(statement& value, const sql_values& parameters);
    sql_error make_error(int code);
    void clear_cache();

    struct registered_function {
        sql_connection* owner = nullptr;
        handler handle;
    };

    sqlite3* handle_ = nullptr;
    std::unordered_map<std::string, statement> cache_;
    std::vector<std::unique_ptr<registered_function>> functions_;
    statement* preparing_ = nullptr;
    bool is_internal_ = false;
    std::optional<sql_error> function_error_;
};

}  // namespace hornbeamhook::standin::target
