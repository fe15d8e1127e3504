#include "ctl/console.h"

#include <editline/readline.h>

#include <cstdlib>
#include <cstring>
#include <iostream>
#include <sstream>

#include "ctl/json_text.h"
#include "ctl/parser.h"

namespace hornbeamhook::ctl {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

constexpr int max_history = 1000;
constexpr const char* source_name = "console";

std::vector<std::string> split_words(const std::string& text) {
    std::istringstream stream(text);
    std::vector<std::string> words;
    for (std::string word; stream >> word;) {
        words.push_back(word);
    }
    return words;
}

char* copy_text(const std::string& text) {
    return strdup(text.c_str());
}

/** Called by libedit with `state` 0 first; returns one candidate per call, then null. */
char* complete_word(const char* prefix, int state) {
    static std::vector<std::string> candidates;
    if (state == 0) {
        candidates.clear();
        const std::string line(rl_line_buffer, static_cast<std::size_t>(rl_point));
        const std::size_t length = std::strlen(prefix);
        const std::string before = line.substr(0, line.size() - std::min(length, line.size()));
        for (const std::string& word : get_next_words(split_words(before))) {
            if (word.starts_with(prefix)) {
                candidates.push_back(word);
            }
        }
    }
    const auto index = static_cast<std::size_t>(state);
    return index < candidates.size() ? copy_text(candidates[index]) : nullptr;
}

char** complete(const char* text, int /*begin*/, int /*end*/) {
    rl_attempted_completion_over = 1;
    return rl_completion_matches(text, complete_word);
}

std::string get_history_file() {
    const char* home = std::getenv("HOME");
    return home == nullptr ? "" : std::string(home) + "/.hornbeamhook_history";
}

/** Reads lines until a statement is complete; empty at the end of the input. */
std::optional<std::string> read_statement() {
    std::string input;
    do {
        char* line = readline(input.empty() ? "hornbeamhook> " : "           -> ");
        if (line == nullptr) {
            return std::nullopt;
        }
        input += std::string(line) + "\n";
        if (*line != '\0') {
            add_history(line);
        }
        std::free(line);
    } while (!is_complete(input));
    return input;
}

/** What became of one piece of input. */
struct run_result {
    int code = 0;
    bool is_exit = false;
};

run_result run_input(executor& session, const std::string& source, const std::string& input,
                     output_format format) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<run_result> {
            BOOST_LEAF_AUTO(statements, parse_statements(input));
            session.read_base();
            for (const statement& item : statements) {
                BOOST_LEAF_AUTO(answer, session.run(item));
                print_answer(item, answer, format);
                if (answer.is_exit) {
                    return run_result{0, true};
                }
            }
            return run_result{};
        },
        [&](const command_error& error) {
            print_error(source, error, format);
            return run_result{static_cast<int>(error.failure), false};
        },
        [&] {
            print_error(source, {command_failure::rejected, "unexpected failure", {}}, format);
            return run_result{static_cast<int>(command_failure::rejected), false};
        });
}

}  // namespace

void print_answer(const statement& item, const statement_answer& answer, output_format format) {
    if (format == output_format::json) {
        json object = answer.fields;
        object["line"] = item.at.line;
        object["statement"] = item.text;
        if (answer.table) {
            object["columns"] = answer.table->columns;
            object["rows"] = answer.table->rows;
        } else if (!answer.text.empty()) {
            object["text"] = answer.text;
        }
        std::cout << to_text(object) << "\n" << std::flush;
        return;
    }
    if (!answer.text.empty()) {
        std::cout << answer.text << (answer.text.back() == '\n' ? "" : "\n");
    }
    if (answer.table) {
        std::cout << format_table(*answer.table);
    }
    std::cout << std::flush;
}

void print_error(const std::string& source, const command_error& error, output_format format) {
    if (format == output_format::json) {
        std::cerr << to_text(json{{"error", error.message},
                                  {"source", source},
                                  {"line", error.at.line},
                                  {"column", error.at.column},
                                  {"exit_code", static_cast<int>(error.failure)}})
                  << "\n";
        return;
    }
    std::cerr << source << ":" << error.at.line << ":" << error.at.column << ": " << error.message
              << "\n";
}

int run_script(executor& session, const std::string& source, const std::string& input,
               output_format format) {
    return run_input(session, source, input, format).code;
}

int run_console(executor& session, output_format format) {
    rl_initialize();
    rl_attempted_completion_function = complete;
    stifle_history(max_history);
    const std::string history = get_history_file();
    read_history(history.c_str());
    std::cout << "Statements end with \";\". Type \"help;\" for the commands.\n";
    while (const std::optional<std::string> input = read_statement()) {
        if (run_input(session, source_name, *input, format).is_exit) {
            break;
        }
    }
    write_history(history.c_str());
    return 0;
}

}  // namespace hornbeamhook::ctl
