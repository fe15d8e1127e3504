#include "ctl/query_engine.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "ctl/json_text.h"
#include "state/latency_histogram.h"

namespace hornbeamhook::ctl {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

constexpr double us_per_ms = 1000.0;

/** Order of two values of one type; empty when they cannot be compared. */
std::optional<int> compare(const json& left, const json& right) {
    if (left.is_number() && right.is_number()) {
        const double a = left.get<double>();
        const double b = right.get<double>();
        return a < b ? -1 : (a > b ? 1 : 0);
    }
    if (left.is_string() && right.is_string()) {
        const int order =
            left.get_ref<const std::string&>().compare(right.get_ref<const std::string&>());
        return order < 0 ? -1 : (order > 0 ? 1 : 0);
    }
    if (left.is_boolean() && right.is_boolean()) {
        return static_cast<int>(left.get<bool>()) - static_cast<int>(right.get<bool>());
    }
    return std::nullopt;
}

/** "%" stands for any text. Linear in both lengths for one "%", bounded backtracking otherwise. */
bool is_like(const std::string& text, const std::string& pattern) {
    std::size_t t = 0;
    std::size_t p = 0;
    std::size_t star = std::string::npos;
    std::size_t resume = 0;
    while (t < text.size()) {
        if (p < pattern.size() && pattern[p] == '%') {
            star = p++;
            resume = t;
        } else if (p < pattern.size() && pattern[p] == text[t]) {
            ++p;
            ++t;
        } else if (star != std::string::npos) {
            p = star + 1;
            t = ++resume;
        } else {
            return false;
        }
    }
    while (p < pattern.size() && pattern[p] == '%') {
        ++p;
    }
    return p == pattern.size();
}

std::string make_text(const json& value) {
    return value.is_string() ? value.get<std::string>() : to_text(value);
}

bool is_match(const comparison& item, const json& row) {
    const json value = get_field(row, item.field);
    if (item.operation == "like") {
        return !value.is_null() && is_like(make_text(value), make_text(item.value));
    }
    std::optional<int> order = compare(value, item.value);
    if (!order && value.is_string() && !item.value.is_null()) {
        // A word such as 2026 or true in the query may be meant as text.
        order = compare(value, make_text(item.value));
    }
    if (!order) {
        return item.operation == "!=";
    }
    if (item.operation == "=") {
        return *order == 0;
    }
    if (item.operation == "!=") {
        return *order != 0;
    }
    if (item.operation == "<") {
        return *order < 0;
    }
    if (item.operation == "<=") {
        return *order <= 0;
    }
    return item.operation == ">" ? *order > 0 : *order >= 0;
}

bool is_match(const combination& item, const json& row) {
    const auto holds = [&](const expression& part) { return ctl::is_match(part, row); };
    return item.is_and ? std::all_of(item.parts.begin(), item.parts.end(), holds)
                       : std::any_of(item.parts.begin(), item.parts.end(), holds);
}

bool is_match(const negation& item, const json& row) {
    return !ctl::is_match(item.part.front(), row);
}

using group_rows = std::vector<const json*>;

json get_percentile(const select_item& item, const group_rows& rows) {
    state::latency_histogram histogram;
    std::vector<double> numbers;
    for (const json* row : rows) {
        const json value = get_field(*row, item.field);
        if (value.is_number()) {
            numbers.push_back(value.get<double>());
        } else if (value.is_array()) {
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(parsed, state::latency_histogram::parse(value));
                    histogram.merge(parsed);
                    return {};
                },
                [] {});
        }
    }
    if (!numbers.empty()) {
        std::sort(numbers.begin(), numbers.end());
        const double rank = std::ceil(item.percent / 100 * static_cast<double>(numbers.size()));
        return numbers[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
    }
    if (histogram.get_count() == 0) {
        return nullptr;
    }
    return static_cast<double>(histogram.get_percentile(item.percent).count()) / us_per_ms;
}

json get_sum(const select_item& item, const group_rows& rows) {
    double sum = 0;
    std::int64_t integers = 0;
    bool is_integer = true;
    for (const json* row : rows) {
        const json value = get_field(*row, item.field);
        if (value.is_number_integer()) {
            integers += value.get<std::int64_t>();
        } else if (value.is_number()) {
            is_integer = false;
            sum += value.get<double>();
        }
    }
    return is_integer ? json(integers) : json(sum + static_cast<double>(integers));
}

json get_extreme(const select_item& item, const group_rows& rows) {
    json result;
    for (const json* row : rows) {
        const json value = get_field(*row, item.field);
        if (value.is_null()) {
            continue;
        }
        const std::optional<int> order = compare(value, result);
        const bool is_better = order && (item.function == aggregate::min ? *order < 0 : *order > 0);
        if (result.is_null() || is_better) {
            result = value;
        }
    }
    return result;
}

json get_cell(const select_item& item, const group_rows& rows) {
    switch (item.function) {
        case aggregate::none:
            return rows.empty() ? json() : get_field(*rows.front(), item.field);
        case aggregate::count:
            return rows.size();
        case aggregate::sum:
            return get_sum(item, rows);
        case aggregate::min:
        case aggregate::max:
            return get_extreme(item, rows);
        case aggregate::percentile:
            break;
    }
    return get_percentile(item, rows);
}

leaf::error_id fail(const input_position& at, const std::string& message) {
    return leaf::new_error(command_error{command_failure::rejected, message, at});
}

/** Plain fields beside aggregates would show an arbitrary row of the group. */
leaf::result<void> check_items(const select_statement& select, bool is_grouped) {
    std::map<std::string, int> names;
    for (const select_item& item : select.items) {
        if (++names[item.name] > 1) {
            return fail(item.at, "two columns are named \"" + item.name +
                                     "\"; allowed: different names, see \"as\"");
        }
        const bool is_key = std::find(select.group_by.begin(), select.group_by.end(), item.field) !=
                            select.group_by.end();
        if (is_grouped && item.function == aggregate::none && !is_key) {
            return fail(item.at, "\"" + item.field +
                                     "\" is not allowed beside aggregates; allowed: fields of "
                                     "\"group by\" and aggregates");
        }
    }
    return {};
}

std::vector<group_rows> make_groups(const select_statement& select, const group_rows& rows) {
    if (select.group_by.empty()) {
        return {rows};
    }
    std::map<json, group_rows> groups;
    for (const json* row : rows) {
        json key = json::array();
        for (const std::string& field : select.group_by) {
            key.push_back(get_field(*row, field));
        }
        groups[key].push_back(row);
    }
    std::vector<group_rows> result;
    result.reserve(groups.size());
    for (auto& [key, group] : groups) {
        result.push_back(std::move(group));
    }
    return result;
}

leaf::result<void> sort_rows(const select_statement& select, result_table& table) {
    for (const order_item& order : select.order_by) {
        if (std::find(table.columns.begin(), table.columns.end(), order.name) ==
            table.columns.end()) {
            return fail(order.at, "\"" + order.name +
                                      "\" is not a column of the result; allowed: its columns");
        }
    }
    std::stable_sort(table.rows.begin(), table.rows.end(), [&](const json& a, const json& b) {
        for (const order_item& order : select.order_by) {
            const json& left = a[order.name];
            const json& right = b[order.name];
            if (left == right) {
                continue;
            }
            return order.is_descending ? right < left : left < right;
        }
        return false;
    });
    return {};
}

}  // namespace

json get_field(const json& row, const std::string& path) {
    const json* value = &row;
    std::size_t begin = 0;
    while (begin <= path.size()) {
        const std::size_t dot = std::min(path.find('.', begin), path.size());
        if (!value->is_object()) {
            return nullptr;
        }
        const auto it = value->find(path.substr(begin, dot - begin));
        if (it == value->end()) {
            return nullptr;
        }
        value = &*it;
        begin = dot + 1;
    }
    return *value;
}

bool is_match(const expression& condition, const json& row) {
    return std::visit([&](const auto& node) { return is_match(node, row); }, condition.node);
}

leaf::result<result_table> run_query(const select_statement& select, const std::vector<json>& rows,
                                     const std::vector<std::string>& all_columns) {
    select_statement query = select;
    if (query.items.empty()) {
        for (const std::string& column : all_columns) {
            query.items.push_back({aggregate::none, column, 0, column, {}});
        }
    }
    const bool is_grouped =
        !query.group_by.empty() ||
        std::any_of(query.items.begin(), query.items.end(),
                    [](const select_item& item) { return item.function != aggregate::none; });
    BOOST_LEAF_CHECK(check_items(query, is_grouped));
    group_rows matching;
    for (const json& row : rows) {
        if (!query.where || is_match(*query.where, row)) {
            matching.push_back(&row);
        }
    }
    std::vector<group_rows> groups;
    if (is_grouped) {
        groups = make_groups(query, matching);
    } else {
        for (const json* row : matching) {
            groups.push_back({row});
        }
    }
    result_table table;
    for (const select_item& item : query.items) {
        table.columns.push_back(item.name);
    }
    for (const group_rows& group : groups) {
        json row = json::object();
        for (const select_item& item : query.items) {
            row[item.name] = get_cell(item, group);
        }
        table.rows.push_back(std::move(row));
    }
    BOOST_LEAF_CHECK(sort_rows(query, table));
    if (query.limit && *query.limit < table.rows.size()) {
        table.rows.resize(*query.limit);
    }
    return table;
}

}  // namespace hornbeamhook::ctl
