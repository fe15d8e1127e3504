#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

#include "standin/target/target_server.h"
#include "standin/target/target_settings.h"
#include "state/json_reader.h"
#include "transport/log_event.h"
#include "transport/program.h"

namespace {

namespace leaf = boost::leaf;
using hornbeamhook::standin::target::target_settings;

constexpr int exit_bad_settings = 2;

std::optional<target_settings> read_settings(const std::string& path) {
    std::ifstream input(path);
    if (!input) {
        std::cerr << "settings: cannot read " << path << "\n";
        return std::nullopt;
    }
    const std::string text{std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()};
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<target_settings>> {
            BOOST_LEAF_AUTO(object, hornbeamhook::state::parse_json(text, path));
            BOOST_LEAF_AUTO(settings, hornbeamhook::standin::target::parse_target_settings(object));
            return std::optional(settings);
        },
        [](const hornbeamhook::state::state_error& error) {
            std::cerr << "settings: " << error.message << "\n";
            return std::optional<target_settings>();
        },
        [] {
            std::cerr << "settings: unknown error\n";
            return std::optional<target_settings>();
        });
}

int serve(const target_settings& settings) {
    const hornbeamhook::transport::termination_signals signals;
    hornbeamhook::standin::target::target_server server(settings);
    server.start();
    signals.wait();
    server.stop();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        cxxopts::Options options("hornbeamhook-target-standin",
                                 "Stand-in for one database target of a replicated group.");
        options.add_options()("settings", "settings file (JSON)", cxxopts::value<std::string>())(
            "version", "print the version")("help", "print this help");
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (hornbeamhook::transport::print_information(options, arguments)) {
            return 0;
        }
        if (arguments.count("settings") == 0) {
            std::cerr << "settings: missing; allowed: --settings FILE\n";
            return exit_bad_settings;
        }
        const std::optional<target_settings> settings =
            read_settings(arguments["settings"].as<std::string>());
        if (!settings) {
            return exit_bad_settings;
        }
        hornbeamhook::transport::initialise_logging(argv[0]);
        return serve(*settings);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
        return exit_bad_settings;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}
