#include "ctl/lexer.h"

#include <cctype>
#include <optional>

namespace hornbeamhook::ctl {

namespace leaf = boost::leaf;

namespace {

constexpr std::string_view single_symbols = ",;()=";
constexpr std::string_view word_punctuation = "_-./:*%";

bool is_word_character(char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
           word_punctuation.find(c) != std::string_view::npos;
}

std::string describe(char c) {
    if (std::isprint(static_cast<unsigned char>(c)) != 0) {
        return std::string("character \"") + c + "\"";
    }
    return "byte " + std::to_string(static_cast<unsigned char>(c));
}

/** Reads tokens from left to right and keeps the position. */
class scanner {
public:
    explicit scanner(std::string_view input) : input_(input) {}

    leaf::result<std::vector<token>> run() {
        std::vector<token> tokens;
        while (true) {
            skip_blanks();
            token next{token_kind::end, "", at_, offset_};
            if (offset_ == input_.size()) {
                tokens.push_back(std::move(next));
                return tokens;
            }
            BOOST_LEAF_CHECK(read(next));
            tokens.push_back(std::move(next));
        }
    }

private:
    char peek(std::size_t ahead = 0) const {
        return offset_ + ahead < input_.size() ? input_[offset_ + ahead] : '\0';
    }

    char take() {
        const char c = input_[offset_++];
        if (c == '\n') {
            ++at_.line;
            at_.column = 1;
        } else {
            ++at_.column;
        }
        return c;
    }

    void skip_blanks() {
        while (offset_ < input_.size()) {
            if (std::isspace(static_cast<unsigned char>(peek())) != 0) {
                take();
            } else if (peek() == '-' && peek(1) == '-') {
                while (offset_ < input_.size() && peek() != '\n') {
                    take();
                }
            } else {
                return;
            }
        }
    }

    leaf::result<void> read(token& next) {
        const char first = peek();
        if (first == '\'' || first == '"') {
            next.kind = token_kind::text;
            return read_text(next);
        }
        if (is_word_character(first)) {
            next.kind = token_kind::word;
            while (offset_ < input_.size() && is_word_character(peek())) {
                next.text += take();
            }
            return {};
        }
        next.kind = token_kind::symbol;
        if (single_symbols.find(first) != std::string_view::npos) {
            next.text = take();
            return {};
        }
        if (first == '<' || first == '>' || (first == '!' && peek(1) == '=')) {
            next.text = take();
            if (peek() == '=') {
                next.text += take();
            }
            return {};
        }
        return leaf::new_error(
            command_error{command_failure::syntax, "unexpected " + describe(first), next.at});
    }

    /** Quotes inside a text are doubled. */
    leaf::result<void> read_text(token& next) {
        const char quote = take();
        while (offset_ < input_.size()) {
            const char c = take();
            if (c != quote) {
                next.text += c;
            } else if (peek() == quote) {
                next.text += take();
            } else {
                return {};
            }
        }
        return leaf::new_error(
            command_error{command_failure::syntax, "text without closing quote", next.at});
    }

    std::string_view input_;
    std::size_t offset_ = 0;
    input_position at_;
};

}  // namespace

leaf::result<std::vector<token>> split_into_tokens(std::string_view input) {
    return scanner(input).run();
}

}  // namespace hornbeamhook::ctl
