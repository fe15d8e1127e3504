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

bool is_word_start(unsigned char c) {
    constexpr unsigned char first_non_ascii = 0x80;
    return std::isalpha(c) != 0 || c == '_' || c >= first_non_ascii;
}

bool is_word_character(unsigned char c) {
    return is_word_start(c) || std::isdigit(c) != 0 || c == '$';
}

bool is_space(unsigned char c) {
    return std::isspace(c) != 0;
}

/** A name, keyword, number, quoted text or other single character of SQL. */
struct sql_token {
    enum class kind { end, word, quoted, other };

    kind what = kind::end;
    std::string_view text;
};

/**
 * Splits SQL text as the lexer of PostgreSQL does (with standard_conforming_strings on), so that
 * nothing that the target runs is taken for a comment or a string here.
 */
class sql_scanner {
public:
    explicit sql_scanner(std::string_view text) : text_(text) {}

    /** The next token outside of comments. */
    sql_token next() {
        skip_blanks();
        if (position_ >= text_.size()) {
            return {};
        }
        const std::size_t begin = position_;
        const char c = text_[position_];
        if (c == '\'' || c == '"') {
            skip_quoted(c, c == '\'' && is_after_escape_prefix_);
            return make_token(sql_token::kind::quoted, begin);
        }
        if (c == '$' && skip_dollar_quoted()) {
            return make_token(sql_token::kind::quoted, begin);
        }
        if (!is_word_character(static_cast<unsigned char>(c))) {
            ++position_;
            return make_token(sql_token::kind::other, begin);
        }
        skip_word();
        sql_token token = make_token(sql_token::kind::word, begin);
        is_after_escape_prefix_ = is_escape_prefix(token.text);
        return token;
    }

private:
    sql_token make_token(sql_token::kind what, std::size_t begin) {
        is_after_escape_prefix_ = false;
        return {what, text_.substr(begin, position_ - begin)};
    }

    bool starts_with(std::string_view prefix) const {
        return text_.substr(position_, prefix.size()) == prefix;
    }

    /** Whether a string right behind `word` has backslash escapes. A target of an older version
     * reads 1e'...' as the number 1 and an escape string. */
    static bool is_escape_prefix(std::string_view word) {
        return (word.back() == 'e' || word.back() == 'E') &&
               std::all_of(word.begin(), word.end() - 1,
                           [](unsigned char c) { return std::isdigit(c) != 0; });
    }

    void skip_blanks() {
        const std::size_t begin = position_;
        while (position_ < text_.size()) {
            if (starts_with("--")) {
                position_ = std::min(text_.find_first_of("\r\n", position_), text_.size());
            } else if (starts_with("/*")) {
                skip_comment();
            } else if (is_space(static_cast<unsigned char>(text_[position_]))) {
                ++position_;
            } else {
                break;
            }
        }
        is_after_escape_prefix_ = is_after_escape_prefix_ && position_ == begin;
    }

    /** PostgreSQL nests comments. */
    void skip_comment() {
        int depth = 0;
        do {
            if (starts_with("/*")) {
                ++depth;
                position_ += 2;
            } else if (starts_with("*/")) {
                --depth;
                position_ += 2;
            } else {
                ++position_;
            }
        } while (depth > 0 && position_ < text_.size());
    }

    void skip_quoted(char quote, bool has_escapes) {
        ++position_;
        while (position_ < text_.size()) {
            const char c = text_[position_++];
            if (c == '\\' && has_escapes) {
                ++position_;
            } else if (c == quote) {
                if (!has_escapes) {
                    return;
                }
                // A part after a line end belongs to the same string and has escapes too.
                const std::size_t end = position_;
                skip_blanks();
                if (position_ >= text_.size() || text_[position_] != quote) {
                    position_ = end;
                    return;
                }
                ++position_;
            }
        }
        position_ = text_.size();
    }

    /** Skips $tag$...$tag$; false when no such text begins here. */
    bool skip_dollar_quoted() {
        const std::size_t end = find_delimiter_end(position_);
        if (end == std::string_view::npos) {
            return false;
        }
        const std::string_view delimiter = text_.substr(position_, end - position_);
        const std::size_t close = text_.find(delimiter, end);
        position_ = close == std::string_view::npos ? text_.size() : close + delimiter.size();
        return true;
    }

    /** The end of the $tag$ at `begin`, or npos. */
    std::size_t find_delimiter_end(std::size_t begin) const {
        std::size_t end = begin + 1;
        while (end < text_.size() && text_[end] != '$') {
            const auto c = static_cast<unsigned char>(text_[end]);
            const bool is_allowed = end == begin + 1 ? is_word_start(c) : is_word_character(c);
            if (!is_allowed) {
                return std::string_view::npos;
            }
            ++end;
        }
        return end < text_.size() ? end + 1 : std::string_view::npos;
    }

    /** A "$" continues a name, but not a number or a parameter. */
    void skip_word() {
        const bool is_name = is_word_start(static_cast<unsigned char>(text_[position_]));
        ++position_;
        while (position_ < text_.size() &&
               is_word_character(static_cast<unsigned char>(text_[position_])) &&
               (is_name || text_[position_] != '$')) {
            ++position_;
        }
    }

    std::string_view text_;
    std::size_t position_ = 0;
    bool is_after_escape_prefix_ = false;  // The last token makes a string here an escape string.
};

std::string lower(std::string_view text) {
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

std::string_view get_text_before(std::string_view sql, const sql_token& token) {
    return sql.substr(0, static_cast<std::size_t>(token.text.data() - sql.data()));
}

/** Whether a quoted name after `text` has Unicode escapes, as in U&"\0061". */
bool ends_with_unicode_prefix(std::string_view text) {
    constexpr std::size_t length = 2;
    return text.size() >= length && lower(text.substr(text.size() - length)) == "u&" &&
           (text.size() == length ||
            !is_word_character(static_cast<unsigned char>(text[text.size() - length - 1])));
}

caller_error make_error(std::string message) {
    return {error_code::bad_request, "sql: " + std::move(message)};
}

}  // namespace

leaf::result<void> check_sql(std::string_view sql, bool is_write) {
    std::string first;
    bool has_changing_word = false;
    bool has_ended = false;
    sql_scanner scanner(sql);
    for (sql_token token = scanner.next(); token.what != sql_token::kind::end;
         token = scanner.next()) {
        if (has_ended && token.text != ";") {
            return leaf::new_error(make_error("several statements in one text"));
        }
        has_ended = has_ended || token.text == ";";
        const bool is_word = token.what == sql_token::kind::word;
        if (first.empty() && !is_word && token.text != "(") {
            return leaf::new_error(make_error("does not start with a statement"));
        }
        const std::string word = is_word ? lower(token.text) : std::string();
        if (token.text.starts_with('"') && ends_with_unicode_prefix(get_text_before(sql, token))) {
            return leaf::new_error(make_error("names with Unicode escapes are not allowed"));
        }
        first = first.empty() ? word : first;
        has_changing_word = has_changing_word || changing_words.contains(word);
    }
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
