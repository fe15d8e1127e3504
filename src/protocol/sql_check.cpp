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
    "abort",    "begin",   "close",  "cluster",  "commit",  "copy",       "deallocate",
    "declare",  "discard", "end",    "execute",  "fetch",   "listen",     "load",
    "move",     "notify",  "pragma", "prepare",  "release", "reset",      "rollback",
    "savepoint", "set",    "start",  "unlisten", "vacuum",  "checkpoint", "attach",
    "detach"};
const std::set<std::string, std::less<>> read_words{"select", "values", "with", "table"};

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
    std::string word;
    bool is_word_complete = false;
    bool has_ended = false;
    sql_scanner scanner(sql);
    for (char c = scanner.next(); c != '\0'; c = scanner.next()) {
        const bool is_space = std::isspace(static_cast<unsigned char>(c)) != 0;
        if (has_ended && !is_space && c != ';') {
            return leaf::new_error(make_error("several statements in one text"));
        }
        has_ended = has_ended || c == ';';
        if (!is_word_complete && std::isalpha(static_cast<unsigned char>(c)) != 0) {
            word += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        } else if (!word.empty() || !is_space) {
            // "(SELECT ...)" is a query as well.
            is_word_complete = !word.empty() || c != '(';
        }
    }
    if (word.empty()) {
        return leaf::new_error(make_error("does not start with a statement"));
    }
    if (refused_words.contains(word)) {
        return leaf::new_error(make_error("\"" + word +
                                          "\" is not allowed; transactions and session state "
                                          "belong to the proxy"));
    }
    if (!is_write && !read_words.contains(word)) {
        return leaf::new_error(
            make_error("a read starts with select, values, with or table, not \"" + word + "\""));
    }
    if (lower(sql).find("hornbeamhook_") != std::string::npos) {
        return leaf::new_error(make_error("names starting with hornbeamhook_ are reserved"));
    }
    return {};
}

}  // namespace hornbeamhook::protocol
