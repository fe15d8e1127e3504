#include "load/api_answer.h"

#include <nlohmann/json.hpp>

namespace hornbeamhook::load {

namespace {

std::string get_text(const nlohmann::json& object, const char* field) {
    const auto it = object.find(field);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

api_result parse_result(const nlohmann::json& object) {
    api_result result;
    for (const nlohmann::json& row : object.at("rows")) {
        std::vector<std::optional<std::string>> cells;
        for (const nlohmann::json& cell : row) {
            cells.push_back(cell.is_null()     ? std::optional<std::string>()
                            : cell.is_string() ? cell.get<std::string>()
                                               : cell.dump());
        }
        result.rows.push_back(std::move(cells));
    }
    return result;
}

void parse_error(const nlohmann::json& object, api_answer& answer) {
    const auto error = object.find("error");
    if (error == object.end() || !error->is_object()) {
        return;
    }
    answer.code = get_text(*error, "code");
    answer.message = get_text(*error, "message");
    const auto retry = error->find("retry");
    answer.is_retry_allowed = retry != error->end() && retry->is_boolean() && retry->get<bool>();
}

}  // namespace

std::string api_result::get_cell(std::size_t row, std::size_t column) const {
    if (row >= rows.size() || column >= rows[row].size()) {
        return "";
    }
    return rows[row][column].value_or("");
}

std::string api_answer::get_echo() const {
    return results.empty() ? "" : results.back().get_cell(0, 0);
}

api_answer parse_api_answer(const std::string& body) {
    api_answer answer;
    answer.code = "invalid_answer";
    const nlohmann::json object = nlohmann::json::parse(body, nullptr, false);
    if (!object.is_object()) {
        return answer;
    }
    const std::optional<state::outcome> outcome = state::parse_outcome(get_text(object, "outcome"));
    if (!outcome) {
        return answer;
    }
    try {
        parse_error(object, answer);
        if (const auto results = object.find("results");
            results != object.end() && results->is_array()) {
            for (const nlohmann::json& result : *results) {
                answer.results.push_back(parse_result(result));
            }
        }
    } catch (const nlohmann::json::exception& error) {
        answer.message = error.what();
        return answer;
    }
    answer.outcome = *outcome;
    if (answer.is_ok()) {
        answer.code = "ok";
    }
    answer.token = get_text(object, "token");
    answer.transaction = get_text(object, "transaction");
    if (const auto served = object.find("served_by");
        served != object.end() && served->is_object()) {
        answer.target = get_text(*served, "target");
        answer.is_by_replica = get_text(*served, "role") == "replica";
    }
    if (const auto version = object.find("configuration_version");
        version != object.end() && version->is_number_unsigned()) {
        answer.configuration_version = version->get<std::uint64_t>();
    }
    return answer;
}

}  // namespace hornbeamhook::load
