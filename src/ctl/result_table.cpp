#include "ctl/result_table.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include "ctl/json_text.h"

namespace hornbeamhook::ctl {

using nlohmann::json;

namespace {

constexpr std::size_t max_cell_width = 100;

std::string format_cell(const json& row, const std::string& column) {
    const auto it = row.find(column);
    if (it == row.end() || it->is_null()) {
        return "";
    }
    if (it->is_string()) {
        return it->get<std::string>();
    }
    if (it->is_number_float()) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.6g", it->get<double>());
        return text.data();
    }
    return to_text(*it);
}

/** One line of at most max_cell_width bytes; control characters would break the columns. */
std::string make_printable(std::string text) {
    for (char& c : text) {
        c = static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    if (text.size() > max_cell_width) {
        text.resize(max_cell_width - 3);
        text += "...";
    }
    return text;
}

void append_line(std::string& out, const std::vector<std::string>& cells,
                 const std::vector<std::size_t>& widths) {
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += (i == 0 ? "" : "  ") + cells[i];
        line += std::string(widths[i] - cells[i].size(), ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + "\n";
}

std::string quote_csv(const std::string& text) {
    if (text.find_first_of(",\"\r\n") == std::string::npos) {
        return text;
    }
    std::string result = "\"";
    for (const char c : text) {
        result += c == '"' ? "\"\"" : std::string(1, c);
    }
    return result + "\"";
}

}  // namespace

std::string format_table(const result_table& table) {
    std::vector<std::vector<std::string>> lines{table.columns};
    for (const json& row : table.rows) {
        std::vector<std::string> cells;
        for (const std::string& column : table.columns) {
            cells.push_back(make_printable(format_cell(row, column)));
        }
        lines.push_back(std::move(cells));
    }
    std::vector<std::size_t> widths(table.columns.size(), 0);
    for (const std::vector<std::string>& cells : lines) {
        for (std::size_t i = 0; i < cells.size(); ++i) {
            widths[i] = std::max(widths[i], cells[i].size());
        }
    }
    std::string out;
    for (const std::vector<std::string>& cells : lines) {
        append_line(out, cells, widths);
    }
    return out + "(" + std::to_string(table.rows.size()) +
           (table.rows.size() == 1 ? " row)\n" : " rows)\n");
}

std::string format_json(const result_table& table) {
    return to_text(json{{"columns", table.columns}, {"rows", table.rows}}) + "\n";
}

std::string format_csv(const result_table& table) {
    std::string out;
    const auto append = [&](const std::vector<std::string>& cells) {
        for (std::size_t i = 0; i < cells.size(); ++i) {
            out += (i == 0 ? "" : ",") + quote_csv(cells[i]);
        }
        out += "\r\n";
    };
    append(table.columns);
    for (const json& row : table.rows) {
        std::vector<std::string> cells;
        for (const std::string& column : table.columns) {
            cells.push_back(format_cell(row, column));
        }
        append(cells);
    }
    return out;
}

}  // namespace hornbeamhook::ctl
