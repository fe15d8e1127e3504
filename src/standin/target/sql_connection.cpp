#include "standin/target/sql_connection.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace hornbeamhook::standin::target {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t max_cached_statements = 128;
constexpr int busy_timeout_ms = 5000;

constexpr const char* state_syntax_error = "42601";
constexpr const char* state_not_supported = "0A000";

std::string get_first_word(const std::string& sql) {
    const std::size_t begin = sql.find_first_not_of(" \t\r\n(");
    std::string word;
    for (std::size_t i = begin; i < sql.size(); ++i) {
        if (std::isalpha(static_cast<unsigned char>(sql[i])) == 0) {
            break;
        }
        word += static_cast<char>(std::toupper(static_cast<unsigned char>(sql[i])));
    }
    return word;
}

std::string make_tag(const std::string& sql) {
    const std::string word = get_first_word(sql);
    if (word == "WITH" || word == "VALUES" || word == "EXPLAIN") {
        return "SELECT";
    }
    return word == "REPLACE" ? "INSERT" : word;
}

/** The file is not shared with other processes, so the WAL index stays in this process's heap. */
constexpr const char* private_vfs = "unix-excl";

const char* get_constraint_state(int code) {
    switch (code) {
        case SQLITE_CONSTRAINT_UNIQUE:
        case SQLITE_CONSTRAINT_PRIMARYKEY:
        case SQLITE_CONSTRAINT_ROWID:
            return "23505";
        case SQLITE_CONSTRAINT_NOTNULL:
            return "23502";
        case SQLITE_CONSTRAINT_FOREIGNKEY:
            return "23503";
        case SQLITE_CONSTRAINT_CHECK:
            return "23514";
        default:
            return "23000";
    }
}

const char* get_general_state(std::string_view message) {
    constexpr std::array<std::pair<std::string_view, const char*>, 5> states{
        {{"no such table", "42P01"},
         {"no such column", "42703"},
         {"no such function", "42883"},
         {"already exists", "42P07"},
         {"integer overflow", "22003"}}};
    for (const auto& [text, state] : states) {
        if (message.find(text) != std::string_view::npos) {
            return state;
        }
    }
    return state_syntax_error;
}

std::string get_text(sqlite3_value* value) {
    const unsigned char* text = sqlite3_value_text(value);
    if (text == nullptr) {
        return "";
    }
    return {reinterpret_cast<const char*>(text),
            static_cast<std::size_t>(sqlite3_value_bytes(value))};
}

std::optional<std::string> get_cell(sqlite3_stmt* handle, int column) {
    const unsigned char* text = sqlite3_column_text(handle, column);
    if (text == nullptr) {
        return std::nullopt;
    }
    return std::string(reinterpret_cast<const char*>(text),
                       static_cast<std::size_t>(sqlite3_column_bytes(handle, column)));
}

}  // namespace

sql_connection::sql_connection(const std::string& path) {
    const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
    if (sqlite3_open_v2(path.c_str(), &handle_, flags, private_vfs) != SQLITE_OK) {
        const std::string message = sqlite3_errmsg(handle_);
        sqlite3_close_v2(handle_);
        throw std::runtime_error("cannot open " + path + ": " + message);
    }
    sqlite3_extended_result_codes(handle_, 1);
    sqlite3_busy_timeout(handle_, busy_timeout_ms);
    execute_internal("PRAGMA journal_mode=WAL");
    execute_internal("PRAGMA synchronous=OFF");
    execute_internal("PRAGMA foreign_keys=ON");
    // Checkpoints run outside the lock that orders commits; see group_member.
    sqlite3_wal_autocheckpoint(handle_, 0);
    sqlite3_set_authorizer(handle_, &sql_connection::authorise, this);
}

sql_connection::~sql_connection() {
    clear_cache();
    sqlite3_close_v2(handle_);
}

void sql_connection::clear_cache() {
    for (auto& [sql, value] : cache_) {
        sqlite3_finalize(value.handle);
    }
    cache_.clear();
}

int sql_connection::authorise(void* self, int action, const char* /*first*/, const char* second,
                              const char* /*database*/, const char* /*trigger*/) {
    auto* connection = static_cast<sql_connection*>(self);
    if (connection->is_internal_) {
        return SQLITE_OK;
    }
    switch (action) {
        case SQLITE_ATTACH:
        case SQLITE_DETACH:
        case SQLITE_PRAGMA:
        case SQLITE_SAVEPOINT:
        case SQLITE_TRANSACTION:
            return SQLITE_DENY;
        default:
            break;
    }
    statement* preparing = connection->preparing_;
    if (preparing == nullptr || action == SQLITE_SELECT || action == SQLITE_RECURSIVE) {
        return SQLITE_OK;
    }
    if (action != SQLITE_FUNCTION) {
        preparing->uses_tables = true;
        return SQLITE_OK;
    }
    const std::string_view function = second == nullptr ? "" : second;
    preparing->uses_status |= function == "hornbeamhook_status";
    preparing->is_repeatable &=
        function != "random" && function != "randomblob" && !function.starts_with("current_");
    return SQLITE_OK;
}

void sql_connection::call_function(sqlite3_context* context, int count, sqlite3_value** values) {
    auto* function = static_cast<registered_function*>(sqlite3_user_data(context));
    std::vector<std::string> arguments;
    arguments.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        arguments.push_back(get_text(values[i]));
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(text, function->handle(arguments));
            sqlite3_result_text(context, text.c_str(), static_cast<int>(text.size()),
                                SQLITE_TRANSIENT);
            return {};
        },
        [&](const sql_error& error) {
            function->owner->function_error_ = error;
            sqlite3_result_error(context, error.message.c_str(), -1);
        },
        [&] { sqlite3_result_error(context, "internal error", -1); });
}

void sql_connection::add_function(const std::string& name, int arguments, handler handle) {
    functions_.push_back(std::make_unique<registered_function>(
        registered_function{.owner = this, .handle = std::move(handle)}));
    sqlite3_create_function(handle_, name.c_str(), arguments, SQLITE_UTF8, functions_.back().get(),
                            &sql_connection::call_function, nullptr, nullptr);
}

sql_error sql_connection::make_error(int code) {
    if (function_error_) {
        return *std::exchange(function_error_, std::nullopt);
    }
    const std::string message = sqlite3_errmsg(handle_);
    switch (code & 0xff) {
        case SQLITE_CONSTRAINT:
            return {get_constraint_state(code), message};
        case SQLITE_MISMATCH:
            return {"22P02", message};
        case SQLITE_AUTH:
            return {state_not_supported, "this statement is not supported by the stand-in"};
        case SQLITE_TOOBIG:
            return {"54000", message};
        case SQLITE_READONLY:
            return {"25006", message};
        case SQLITE_ERROR:
            return {get_general_state(message), message};
        default:
            return {"XX000", message + " (SQLite code " + std::to_string(code) + ")"};
    }
}

leaf::result<sql_connection::statement*> sql_connection::prepare(const std::string& sql) {
    if (const auto it = cache_.find(sql); it != cache_.end()) {
        return &it->second;
    }
    const std::string word = get_first_word(sql);
    if (word == "VACUUM" || word == "REINDEX") {
        return leaf::new_error(sql_error{state_not_supported, word + " is not supported"});
    }
    statement value;
    value.tag = make_tag(sql);
    preparing_ = &value;
    const char* rest = nullptr;
    const int code = sqlite3_prepare_v2(handle_, sql.c_str(), static_cast<int>(sql.size()),
                                        &value.handle, &rest);
    preparing_ = nullptr;
    if (code != SQLITE_OK) {
        return leaf::new_error(make_error(code));
    }
    if (value.handle == nullptr) {
        return leaf::new_error(sql_error{state_syntax_error, "the statement is empty"});
    }
    value.is_read_only = sqlite3_stmt_readonly(value.handle) != 0;
    if (std::string_view(rest).find_first_not_of(" \t\r\n;") != std::string_view::npos) {
        sqlite3_finalize(value.handle);
        return leaf::new_error(sql_error{
            state_syntax_error, "cannot insert multiple commands into a prepared statement"});
    }
    // Peers run the same statement again, so its effect must not depend on when or where.
    if (!value.is_read_only && !value.is_repeatable) {
        sqlite3_finalize(value.handle);
        return leaf::new_error(
            sql_error{state_not_supported, "a write must not use random or time functions"});
    }
    if (cache_.size() >= max_cached_statements) {
        clear_cache();
    }
    return &cache_.emplace(sql, std::move(value)).first->second;
}

std::vector<std::string> sql_connection::get_columns(const statement& value) {
    std::vector<std::string> columns;
    const int count = sqlite3_column_count(value.handle);
    columns.reserve(static_cast<std::size_t>(count));
    for (int column = 0; column < count; ++column) {
        columns.emplace_back(sqlite3_column_name(value.handle, column));
    }
    return columns;
}

leaf::result<void> sql_connection::bind(statement& value, const sql_values& parameters) {
    sqlite3_clear_bindings(value.handle);
    const int count = sqlite3_bind_parameter_count(value.handle);
    for (int i = 1; i <= count; ++i) {
        const char* name = sqlite3_bind_parameter_name(value.handle, i);
        const unsigned long number =
            name != nullptr && *name == '$' ? std::strtoul(name + 1, nullptr, 10) : 0;
        if (number == 0 || number > parameters.size()) {
            return leaf::new_error(sql_error{
                "42P02",
                "there is no parameter " + std::string(name == nullptr ? "without name" : name)});
        }
        const std::optional<std::string>& parameter = parameters[number - 1];
        if (parameter) {
            sqlite3_bind_text(value.handle, i, parameter->data(),
                              static_cast<int>(parameter->size()), SQLITE_TRANSIENT);
        }
    }
    return {};
}

leaf::result<sql_answer> sql_connection::execute(statement& value, const sql_values& parameters) {
    BOOST_LEAF_CHECK(bind(value, parameters));
    sql_answer answer;
    answer.columns = get_columns(value);
    int code = SQLITE_ROW;
    while ((code = sqlite3_step(value.handle)) == SQLITE_ROW) {
        sql_values& cells = answer.rows.emplace_back();
        for (int column = 0; column < static_cast<int>(answer.columns.size()); ++column) {
            cells.push_back(get_cell(value.handle, column));
        }
    }
    if (code != SQLITE_DONE) {
        const sql_error error = make_error(code);
        sqlite3_reset(value.handle);
        return leaf::new_error(error);
    }
    const std::string changes = std::to_string(sqlite3_changes(handle_));
    sqlite3_reset(value.handle);
    answer.tag = value.tag;
    if (value.tag == "SELECT") {
        answer.tag += " " + std::to_string(answer.rows.size());
    } else if (value.tag == "INSERT") {
        answer.tag += " 0 " + changes;
    } else if (value.tag == "UPDATE" || value.tag == "DELETE") {
        answer.tag += " " + changes;
    }
    return answer;
}

void sql_connection::execute_internal(const char* sql) {
    is_internal_ = true;
    char* message = nullptr;
    const int code = sqlite3_exec(handle_, sql, nullptr, nullptr, &message);
    is_internal_ = false;
    if (code != SQLITE_OK) {
        const std::string text = message == nullptr ? "unknown error" : message;
        sqlite3_free(message);
        throw std::runtime_error(std::string(sql) + " failed: " + text);
    }
}

}  // namespace hornbeamhook::standin::target
