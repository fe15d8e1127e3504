#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hornbeamhook::ctl {

/** Rows with named columns: the answer to a statement. */
struct result_table {
    std::vector<std::string> columns;
    std::vector<nlohmann::json> rows;  ///< Objects with a member per column; others count as null.

    bool operator==(const result_table&) const = default;
};

/** Text with aligned columns and a line of headings. */
std::string format_table(const result_table& table);

/** One JSON object: {"columns":[...],"rows":[{...}]}. */
std::string format_json(const result_table& table);

/** RFC 4180 text with a line of headings. */
std::string format_csv(const result_table& table);

}  // namespace hornbeamhook::ctl
