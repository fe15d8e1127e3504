#pragma once

#include <boost/leaf.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

#include "state/json_reader.h"
#include "transport/log_event.h"
#include "transport/program_options.h"

namespace hornbeamhook::transport {

/** SIGTERM and SIGINT, blocked in this thread and all that it starts later. */
class termination_signals {
public:
    /** Blocks the signals; construct before any thread starts. */
    termination_signals() {
        sigemptyset(&signals_);
        sigaddset(&signals_, SIGTERM);
        sigaddset(&signals_, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
    }

    /** Blocks until one of the signals arrives and returns its number. */
    int wait() const {
        int signal = 0;
        sigwait(&signals_, &signal);
        return signal;
    }

private:
    sigset_t signals_{};
};

/** Reads and parses a settings file; prints the error and returns empty when it is wrong. */
template <typename settings_type>
std::optional<settings_type> read_settings(
    const std::string& path, boost::leaf::result<settings_type> (*parse)(const nlohmann::json&)) {
    std::ifstream file(path);
    if (!file) {
        std::cerr << "settings file " << path << " cannot be read\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<settings_type>> {
            BOOST_LEAF_AUTO(object, state::parse_json(text.str(), path));
            BOOST_LEAF_AUTO(settings, parse(object));
            return std::optional(settings);
        },
        [](const state::state_error& error) {
            std::cerr << error.message << "\n";
            return std::optional<settings_type>();
        },
        [] { return std::optional<settings_type>(); });
}

/**
 * The main function of a program with the options --settings, --help and --version: checks the
 * options, reads the settings, sets up logging and returns what `run` returns.
 */
template <typename settings_type>
int run_program(int argc, char** argv, const char* name, const char* description,
                boost::leaf::result<settings_type> (*parse)(const nlohmann::json&),
                int (*run)(const settings_type&)) {
    try {
        cxxopts::Options options(name, description);
        options.add_options()("settings", "JSON settings file", cxxopts::value<std::string>())(
            "help", "Show this text")("version", "Show the version");
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (print_information(options, arguments)) {
            return 0;
        }
        if (arguments.count("settings") == 0) {
            std::cerr << "--settings FILE is required\n";
            return exit_usage;
        }
        const std::optional<settings_type> settings =
            read_settings(arguments["settings"].as<std::string>(), parse);
        if (!settings) {
            return exit_usage;
        }
        initialise_logging(argv[0]);
        return run(*settings);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return exit_usage;
    }
}

}  // namespace hornbeamhook::transport
