#include <unistd.h>

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

#include "ctl/console.h"
#include "ctl/ctl_settings.h"
#include "ctl/executor.h"
#include "ctl/gateway_log.h"
#include "state/json_reader.h"
#include "transport/log_event.h"
#include "transport/program_options.h"

namespace {

namespace leaf = boost::leaf;
using hornbeamhook::ctl::command_failure;
using hornbeamhook::ctl::ctl_settings;
using hornbeamhook::ctl::output_format;

constexpr int exit_usage = static_cast<int>(command_failure::usage);

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        std::cerr << "file " << path << " cannot be read\n";
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

/** Reads the settings; prints the error and returns empty when they are wrong. */
std::optional<ctl_settings> read_settings(const std::string& path) {
    const std::optional<std::string> text = read_file(path);
    if (!text) {
        return std::nullopt;
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<ctl_settings>> {
            BOOST_LEAF_AUTO(object, hornbeamhook::state::parse_json(*text, path));
            BOOST_LEAF_AUTO(settings, hornbeamhook::ctl::parse_ctl_settings(object));
            return std::optional(std::move(settings));
        },
        [](const hornbeamhook::state::state_error& error) {
            std::cerr << error.message << "\n";
            return std::optional<ctl_settings>();
        },
        [] { return std::optional<ctl_settings>(); });
}

/** Prints a story from the gateways' log on standard input. */
int explain(const cxxopts::ParseResult& arguments) {
    const std::string input(std::istreambuf_iterator<char>(std::cin), {});
    const auto log = hornbeamhook::ctl::parse_gateway_log(input);
    const bool is_request = arguments.count("explain-request") > 0;
    const std::string subject =
        arguments[is_request ? "explain-request" : "explain-promotion"].as<std::string>();
    const std::vector<std::string> story = is_request
                                               ? hornbeamhook::ctl::explain_request(log, subject)
                                               : hornbeamhook::ctl::explain_promotion(log, subject);
    if (story.empty()) {
        std::cerr << log.size() << " lines of gateways read; none is about " << subject << "\n";
        return static_cast<int>(command_failure::rejected);
    }
    for (const std::string& line : story) {
        std::cout << line << "\n";
    }
    return 0;
}

int run(const cxxopts::ParseResult& arguments) {
    const std::optional<ctl_settings> settings =
        read_settings(arguments["settings"].as<std::string>());
    if (!settings) {
        return exit_usage;
    }
    const std::string output = arguments["output"].as<std::string>();
    if (output != "json" && output != "table") {
        std::cerr << "--output: \"" << output << "\" is not allowed; allowed: json, table\n";
        return exit_usage;
    }
    const output_format format = output == "json" ? output_format::json : output_format::table;
    hornbeamhook::ctl::executor session(*settings, arguments.count("dry-run") > 0);
    if (arguments.count("command") > 0) {
        return run_script(session, "command", arguments["command"].as<std::string>(), format);
    }
    if (arguments.count("file") > 0) {
        const std::string path = arguments["file"].as<std::string>();
        const std::optional<std::string> input = read_file(path);
        return input ? run_script(session, path, *input, format) : exit_usage;
    }
    if (isatty(STDIN_FILENO) == 1) {
        return run_console(session, format);
    }
    const std::string input(std::istreambuf_iterator<char>(std::cin), {});
    return run_script(session, "stdin", input, format);
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options(
        "hornbeamhook-ctl",
        "Inspects and changes a fleet. Without -f and -c it reads standard input: a console on a\n"
        "terminal, else a script. Exit codes: 0 done, 1 rejected, 2 usage or settings, 3 syntax\n"
        "error (nothing ran), 4 conflict, 5 service unavailable (nothing changed), 6 outcome\n"
        "unknown, 7 wait expired, 8 access denied.\n");
    options.add_options()("settings", "JSON settings file", cxxopts::value<std::string>())(
        "f,file", "Run the statements of this file", cxxopts::value<std::string>())(
        "c,command", "Run these statements", cxxopts::value<std::string>())(
        "output", "json or table", cxxopts::value<std::string>()->default_value("table"))(
        "dry-run", "Check and show changes without making them")(
        "explain-request", "Explain a statement by the gateways' log on standard input",
        cxxopts::value<std::string>())(
        "explain-promotion", "Tell the changes of a group's primary from that log",
        cxxopts::value<std::string>())("help", "Show this text")("version", "Show the version");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (hornbeamhook::transport::print_information(options, arguments)) {
            return 0;
        }
        if (arguments.count("explain-request") + arguments.count("explain-promotion") == 1) {
            return explain(arguments);
        }
        if (arguments.count("settings") == 0) {
            std::cerr << "--settings FILE is required\n";
            return exit_usage;
        }
        if (arguments.count("file") > 0 && arguments.count("command") > 0) {
            std::cerr << "only one of --file and --command is allowed\n";
            return exit_usage;
        }
        hornbeamhook::transport::initialise_logging(argv[0]);
        return run(arguments);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return exit_usage;
    }
}
