#include <sodium.h>

#include <chrono>
#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

#include "protocol/proxy_settings.h"
#include "proxy/proxy_server.h"
#include "state/json_reader.h"
#include "transport/log_event.h"

namespace {

namespace leaf = boost::leaf;
using hornbeamhook::protocol::proxy_settings;

constexpr int exit_usage = 2;
constexpr int exit_failure = 1;

/** Reads the settings; prints the error and returns empty when they are wrong. */
std::optional<proxy_settings> read_settings(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        std::cerr << "settings file " << path << " cannot be read\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<proxy_settings>> {
            BOOST_LEAF_AUTO(object, hornbeamhook::state::parse_json(text.str(), path));
            BOOST_LEAF_AUTO(settings, hornbeamhook::protocol::parse_proxy_settings(object));
            return std::optional(settings);
        },
        [](const hornbeamhook::state::state_error& error) {
            std::cerr << error.message << "\n";
            return std::optional<proxy_settings>();
        },
        [] { return std::optional<proxy_settings>(); });
}

int run(const proxy_settings& settings) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    try {
        hornbeamhook::proxy::proxy_server server(settings,
                                                 static_cast<std::uint64_t>(started.count()));
        server.start();
        int signal = 0;
        sigwait(&signals, &signal);
        server.drain_and_stop();
    } catch (const std::exception& error) {
        std::cerr << "cannot serve on " << settings.listen_address << ": " << error.what() << "\n";
        return exit_failure;
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    cxxopts::Options options("hornbeamhook-proxy", "Database proxy with session consistency");
    options.add_options()("settings", "JSON settings file", cxxopts::value<std::string>())(
        "help", "Show this text")("version", "Show the version");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        if (arguments.count("version") > 0) {
            std::cout << HORNBEAMHOOK_VERSION << "\n";
            return 0;
        }
        if (arguments.count("settings") == 0) {
            std::cerr << "--settings FILE is required\n";
            return exit_usage;
        }
        const std::optional<proxy_settings> settings =
            read_settings(arguments["settings"].as<std::string>());
        if (!settings) {
            return exit_usage;
        }
        if (sodium_init() < 0) {
            std::cerr << "libsodium cannot be initialised\n";
            return exit_failure;
        }
        hornbeamhook::transport::initialise_logging(argv[0]);
        return run(*settings);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return exit_usage;
    }
}
