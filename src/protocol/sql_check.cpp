#include "protocol/sql_check.h"

#include <algorithm>
#include <cctype>
#include <set>
#include <string>

#include "protocol/caller_error.h"

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;

namespace {

// A COMMIT inside a keyed write would separate its effect from its key, and session settings would
// reach the next user of the connection.
const std::set<std::string, std::less<>> refused_words{
    "abort",      "begin",   "close",      "cluster",   "commit",  "copy",
    "deallocate", "declare", "discard",    "end",       "execute", "fetch",
    "listen",     "load",    "move",       "notify",    "pragma",  "prepare",
    "release",    "reset",   "rollback",   "savepoint", "set",     "start",
    "unlisten",   "vacuum",  "checkpoint", "attach",    "detach"};
const std::set<std::string, std::less<>> read_words{"select", "values", "with", "table"};
// A query can change rows through these ("WITH x AS (DELETE ...)", "SELECT ... INTO", "FOR
// UPDATE").
const std::set<std::string, std::less<>> changing_words{"insert", "update", "delete", "merge",
                                                        "into"};

/** Walks over SQL text and skips comments, strings and quoted identifiers. */
class sql_scanner {
public:
    explicit sql_scanner(std::string_view text) : text_(text) {}

    /** The next character outside of comments and quotes; 0 at the end. */
    char next() {
        while (position_ < text_.size()) {
            const char c = text_[position_];
            if (starts_with("--")) {
                position_ = std::min(text_.find('\n', position_), text_.size());
            } else if (starts_with("/*")) {
                skip_comment();
            } else if (c == '\'' || c == '"') {
                skip_quoted(c);
                return c;
            } else {
                ++position_;
                return c == '\0' ? ' ' : c;
            }
        }
        return '\0';
    }

private:
    bool starts_with(std::string_view prefix) const {
        return text_.substr(position_, prefix.size()) == prefix;
    }

    void skip_comment() {
        const std::size_t end = text_.find("*/", position_ + 2);
        position_ = end == std::string_view::npos ? text_.size() : end + 2;
    }

    void skip_quoted(char quote) {
        const std::size_t end = text_.find(quote, position_ + 1);
        position_ = end == std::string_view::npos ? text_.size() : end + 1;
    }

    std::string_view text_;
    std::size_t position_ = 0;
};

std::string lower(std::string_view text) {
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

caller_error make_error(std::string message) {
    return {error_code::bad_request, "sql: " + std::move(message)};
}

}  // namespace

leaf::result<void> check_sql(std::string_view sql, bool is_write) {
    std::string first;
    std::string word;
    bool has_changing_word = false;
    bool has_ended = false;
    sql_scanner scanner(sql);
    char c = '\0';
    do {
        c = scanner.next();
        const auto byte = static_cast<unsigned char>(c);
        const bool is_space = c == '\0' || std::isspace(byte) != 0;
        if (has_ended && !is_space && c != ';') {
            return leaf::new_error(make_error("several statements in one text"));
        }
        has_ended = has_ended || c == ';';
        if (std::isalnum(byte) != 0 || c == '_' || c == '$') {
            word += static_cast<char>(std::tolower(byte));
            continue;
        }
        if (!word.empty()) {
            first = first.empty() ? word : first;
            has_changing_word = has_changing_word || changing_words.contains(word);
            word.clear();
        } else if (first.empty() && !is_space && c != '(') {
            return leaf::new_error(make_error("does not start with a statement"));
        }
    } while (c != '\0');
    if (first.empty()) {
        return leaf::new_error(make_error("does not start with a statement"));
    }
    if (refused_words.contains(first)) {
        return leaf::new_error(make_error("\"" + first +
                                          "\" is not allowed; transactions and session state "
                                          "belong to the proxy"));
    }
    if (!is_write && (!read_words.contains(first) || has_changing_word)) {
        return leaf::new_error(make_error(
            "a read is a query that changes nothing; send statements that change rows as a write"));
    }
    if (lower(sql).find("hornbeamhook_") != std::string::npos) {
        return leaf::new_error(make_error("names starting with hornbeamhook_ are reserved"));
    }
    return {};
}

}  // namespace hornbeamhook::protocol
