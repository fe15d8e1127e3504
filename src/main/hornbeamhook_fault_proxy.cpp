#include <pthread.h>
#include <sys/resource.h>

#include <boost/leaf.hpp>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>

#include "standin/fault/fault_relay.h"
#include "standin/fault/relay_events.h"
#include "standin/fault/relay_settings.h"
#include "state/json_reader.h"
#include "state/state_error.h"
#include "transport/log_event.h"
#include "transport/program.h"

namespace {

namespace leaf = boost::leaf;
namespace fault = hornbeamhook::standin::fault;
namespace state = hornbeamhook::state;
namespace transport = hornbeamhook::transport;

constexpr int exit_bad_usage = 2;

leaf::result<fault::relay_settings> load(const std::string& file) {
    std::ifstream stream(file);
    if (!stream) {
        return leaf::new_error(
            state::state_error{"settings", "settings: cannot read file \"" + file + "\""});
    }
    std::stringstream text;
    text << stream.rdbuf();
    BOOST_LEAF_AUTO(object, state::parse_json(text.str(), file));
    return fault::parse_relay_settings(object);
}

/** Each relayed connection needs two descriptors, so the soft limit is raised to the hard one. */
void raise_descriptor_limit() {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
}

int serve(const fault::relay_settings& settings) {
    const hornbeamhook::transport::termination_signals signals;
    raise_descriptor_limit();
    fault::fault_relay relay(settings);
    relay.start();
    transport::log_event(fault::relay_started, {{"control_address", settings.control_address},
                                                {"links", std::to_string(settings.links.size())}});
    const int received = signals.wait();
    relay.stop();
    transport::log_event(fault::relay_stopped, {{"signal", std::to_string(received)}});
    return 0;
}

int run(int argc, char** argv) {
    cxxopts::Options options("hornbeamhook-fault-proxy",
                             "Relays TCP links with latency and faults, for tests.");
    options.add_options()("settings", "JSON settings file", cxxopts::value<std::string>())(
        "version", "Print the version")("help", "Print this help");
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (transport::print_information(options, arguments)) {
        return 0;
    }
    if (arguments.count("settings") == 0) {
        std::cerr << "settings: missing; allowed: --settings FILE\n";
        return exit_bad_usage;
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            BOOST_LEAF_AUTO(settings, load(arguments["settings"].as<std::string>()));
            return serve(settings);
        },
        [](const state::state_error& error) {
            std::cerr << error.message << "\n";
            return exit_bad_usage;
        },
        [] {
            std::cerr << "the settings could not be read\n";
            return exit_bad_usage;
        });
}

}  // namespace

int main(int argc, char** argv) {
    transport::initialise_logging(argv[0]);
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\n";
        return exit_bad_usage;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}
