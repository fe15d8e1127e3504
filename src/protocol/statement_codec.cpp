#include "protocol/statement_codec.h"

#include <limits>
#include <optional>
#include <utility>

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t max_statements = 64;
constexpr std::size_t max_parameters = 1024;
constexpr std::size_t max_sql_bytes = 256U << 10U;

using cell = std::optional<std::string>;

std::optional<cell> read_parameter(const nlohmann::json& value) {
    if (value.is_null()) {
        return cell();
    }
    if (value.is_string()) {
        return cell(value.get<std::string>());
    }
    if (value.is_boolean() || value.is_number()) {
        return cell(value.dump());
    }
    return std::nullopt;
}

void read_parameters(state::json_reader& reader, transport::target_statement& statement) {
    const nlohmann::json* array = reader.get_array("parameters", false);
    if (array == nullptr) {
        return;
    }
    if (array->size() > max_parameters) {
        reader.fail("parameters", "more than " + std::to_string(max_parameters) + " entries");
        return;
    }
    for (const nlohmann::json& value : *array) {
        std::optional<cell> parameter = read_parameter(value);
        // PostgreSQL text values cannot hold a zero byte.
        if (!parameter || (*parameter && (*parameter)->find('\0') != std::string::npos)) {
            reader.fail("parameters",
                        "allowed entries: null, a boolean, a number, a string without zero bytes");
            return;
        }
        statement.parameters.push_back(std::move(*parameter));
    }
}

nlohmann::json to_json(const cell& value) {
    return value ? nlohmann::json(*value) : nlohmann::json();
}

leaf::result<transport::target_result> parse_one_result(const nlohmann::json& object) {
    state::json_reader reader(object, "results");
    transport::target_result result;
    const nlohmann::json* columns = reader.get_array("columns");
    const nlohmann::json* rows = reader.get_array("rows");
    result.affected = reader.get_integer("affected", 0, std::numeric_limits<std::int64_t>::max());
    BOOST_LEAF_CHECK(reader.finish());
    for (const nlohmann::json& column : *columns) {
        result.columns.push_back(column.is_string() ? column.get<std::string>() : column.dump());
    }
    for (const nlohmann::json& row : *rows) {
        std::vector<cell> cells;
        if (!row.is_array()) {
            return leaf::new_error(
                state::state_error{"results.rows", "results.rows: a row is not an array"});
        }
        for (const nlohmann::json& value : row) {
            cells.push_back(value.is_string() ? cell(value.get<std::string>()) : cell());
        }
        result.rows.push_back(std::move(cells));
    }
    return result;
}

}  // namespace

std::vector<transport::target_statement> read_statements(state::json_reader& reader,
                                                         const char* field) {
    std::vector<transport::target_statement> statements;
    const nlohmann::json* array = reader.get_array(field);
    if (array == nullptr) {
        return statements;
    }
    if (array->empty() || array->size() > max_statements) {
        reader.fail(field, std::to_string(array->size()) + " entries; allowed: 1 to " +
                               std::to_string(max_statements));
        return statements;
    }
    for (std::size_t i = 0; i < array->size(); ++i) {
        const std::string path = reader.get_path(field) + "[" + std::to_string(i) + "]";
        state::json_reader entry((*array)[i], path);
        transport::target_statement statement;
        statement.sql = entry.get_string("sql", std::nullopt, max_sql_bytes);
        if (statement.sql.find('\0') != std::string::npos) {
            entry.fail("sql", "holds a zero byte");
        }
        read_parameters(entry, statement);
        leaf::try_handle_all([&]() -> leaf::result<void> { return entry.finish(); },
                             [&](const state::state_error& error) {
                                 reader.fail(field,
                                             "entry " + std::to_string(i) + ": " + error.message);
                             },
                             [&] { reader.fail(field, "invalid"); });
        statements.push_back(std::move(statement));
    }
    return statements;
}

nlohmann::json to_json(const std::vector<transport::target_statement>& statements) {
    nlohmann::json array = nlohmann::json::array();
    for (const transport::target_statement& statement : statements) {
        nlohmann::json parameters = nlohmann::json::array();
        for (const cell& parameter : statement.parameters) {
            parameters.push_back(to_json(parameter));
        }
        array.push_back({{"sql", statement.sql}, {"parameters", std::move(parameters)}});
    }
    return array;
}

nlohmann::json to_json(const std::vector<transport::target_result>& results) {
    nlohmann::json array = nlohmann::json::array();
    for (const transport::target_result& result : results) {
        nlohmann::json rows = nlohmann::json::array();
        for (const std::vector<cell>& row : result.rows) {
            nlohmann::json cells = nlohmann::json::array();
            for (const cell& value : row) {
                cells.push_back(to_json(value));
            }
            rows.push_back(std::move(cells));
        }
        array.push_back({{"columns", result.columns},
                         {"rows", std::move(rows)},
                         {"affected", result.affected}});
    }
    return array;
}

leaf::result<std::vector<transport::target_result>> parse_results(const nlohmann::json& array) {
    if (!array.is_array()) {
        return leaf::new_error(state::state_error{"results", "results: not an array"});
    }
    std::vector<transport::target_result> results;
    for (const nlohmann::json& object : array) {
        BOOST_LEAF_AUTO(result, parse_one_result(object));
        results.push_back(std::move(result));
    }
    return results;
}

}  // namespace hornbeamhook::protocol
