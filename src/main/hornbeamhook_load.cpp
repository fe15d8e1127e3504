#include <boost/leaf.hpp>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>

#include "load/direct_run.h"
#include "load/load_error.h"
#include "load/load_events.h"
#include "load/load_report.h"
#include "load/load_run.h"
#include "load/load_settings.h"
#include "state/json_reader.h"
#include "state/state_error.h"
#include "transport/log_event.h"
#include "transport/program_options.h"

namespace {

namespace leaf = boost::leaf;
namespace load = hornbeamhook::load;
namespace state = hornbeamhook::state;
namespace transport = hornbeamhook::transport;
using std::chrono::milliseconds;

constexpr int exit_violations = 1;
constexpr int exit_bad_usage = 2;
constexpr int exit_failed = 3;
constexpr int max_clients = 4096;

leaf::result<std::string> read_file(const std::string& option, const std::string& file) {
    std::ifstream stream(file);
    if (!stream) {
        return leaf::new_error(
            state::state_error{option, option + ": cannot read file \"" + file + "\""});
    }
    std::stringstream text;
    text << stream.rdbuf();
    return text.str();
}

milliseconds get_seconds(const cxxopts::ParseResult& arguments, const char* option) {
    return milliseconds(static_cast<std::int64_t>(arguments[option].as<double>() * 1000));
}

leaf::result<void> check_numbers(const load::load_settings& settings) {
    if (settings.clients < 1 || settings.clients > max_clients) {
        return leaf::new_error(state::state_error{
            "clients", "clients: " + std::to_string(settings.clients) +
                           " is not allowed; allowed: 1 to " + std::to_string(max_clients)});
    }
    if (settings.rate && *settings.rate <= 0) {
        return leaf::new_error(
            state::state_error{"rate", "rate: " + std::to_string(*settings.rate) +
                                           " is not allowed; allowed: a positive number"});
    }
    if (settings.duration <= settings.warm_up) {
        return leaf::new_error(state::state_error{
            "duration", "duration: " + std::to_string(settings.duration.count()) +
                            " ms is not allowed; allowed: longer than warm-up"});
    }
    return {};
}

/** A different run each time, also with the same seed, so that tables are never shared. */
std::string make_run_name(std::uint64_t seed) {
    std::random_device device;
    return "r" + std::to_string(device()) + "x" + std::to_string(seed);
}

leaf::result<load::load_settings> read_settings(const cxxopts::ParseResult& arguments) {
    BOOST_LEAF_AUTO(text, read_file("settings", arguments["settings"].as<std::string>()));
    BOOST_LEAF_AUTO(object, state::parse_json(text, "settings"));
    BOOST_LEAF_AUTO(settings, load::parse_load_settings(object));
    std::string workload_text(load::find_workload_text(settings.deployment));
    if (arguments.count("workload") > 0) {
        BOOST_LEAF_ASSIGN(workload_text,
                          read_file("workload", arguments["workload"].as<std::string>()));
    }
    BOOST_LEAF_AUTO(workload_object, state::parse_json(workload_text, "workload"));
    BOOST_LEAF_ASSIGN(settings.mix, load::parse_workload(workload_object));
    settings.seed = arguments.count("seed") > 0 ? arguments["seed"].as<std::uint64_t>()
                                                : std::random_device()();
    settings.run = make_run_name(settings.seed);
    settings.clients = arguments["clients"].as<int>();
    if (arguments.count("rate") > 0) {
        settings.rate = arguments["rate"].as<double>();
    }
    settings.duration = get_seconds(arguments, "duration");
    settings.warm_up = get_seconds(arguments, "warm-up");
    settings.retry_timeout = get_seconds(arguments, "retry-timeout");
    settings.deadline = milliseconds(arguments["deadline-ms"].as<int>());
    settings.are_refusals_repeated = arguments.count("no-retry") == 0;
    if (arguments.count("kill-primary-at") > 0) {
        settings.kill_primary_at = get_seconds(arguments, "kill-primary-at");
    }
    BOOST_LEAF_CHECK(check_numbers(settings));
    return settings;
}

leaf::result<int> execute_direct(const cxxopts::ParseResult& arguments) {
    load::direct_settings settings;
    settings.address = arguments["direct"].as<std::string>();
    settings.clients = arguments["clients"].as<int>();
    settings.duration = get_seconds(arguments, "duration");
    settings.run = make_run_name(0);
    BOOST_LEAF_AUTO(report, load::run_direct(settings));
    if (arguments.count("report-json") > 0) {
        std::ofstream(arguments["report-json"].as<std::string>()) << report.dump(2) << "\n";
    }
    std::cout << report.dump(2) << "\n";
    return 0;
}

leaf::result<int> execute(const cxxopts::ParseResult& arguments) {
    BOOST_LEAF_AUTO(settings, read_settings(arguments));
    std::cout << "seed=" << settings.seed << " run=" << settings.run << std::endl;
    load::load_run run(settings);
    BOOST_LEAF_AUTO(report, run.run());
    if (arguments.count("report-json") > 0) {
        std::ofstream(arguments["report-json"].as<std::string>()) << report.dump(2) << "\n";
    }
    std::cout << load::to_summary(report);
    const auto violations = report.at("violations_total").get<std::int64_t>();
    if (violations > 0) {
        transport::log_event(load::violations_found, {{"count", std::to_string(violations)}});
        return exit_violations;
    }
    return 0;
}

cxxopts::Options make_options() {
    cxxopts::Options options("hornbeamhook-load",
                             "Drives a fleet with simulated callers and checks every answer.");
    options.add_options()("settings", "JSON file that names the fleet",
                          cxxopts::value<std::string>())(
        "workload", "JSON file with a workload; default: that of the deployment",
        cxxopts::value<std::string>())("clients", "Simulated callers",
                                       cxxopts::value<int>()->default_value("32"))(
        "rate", "Operations per second (open loop); default: closed loop",
        cxxopts::value<double>())("duration", "Seconds of load",
                                  cxxopts::value<double>()->default_value("10"))(
        "warm-up", "Seconds at the start that are not measured",
        cxxopts::value<double>()->default_value("1"))(
        "retry-timeout", "Seconds for which a caller repeats a request",
        cxxopts::value<double>()->default_value("15"))(
        "deadline-ms", "Deadline of one request", cxxopts::value<int>()->default_value("4000"))(
        "no-retry", "Callers do not repeat refused requests")(
        "seed", "Seed of the workload; default: random", cxxopts::value<std::uint64_t>())(
        "direct", "Baseline: reads from the target at this address, without a proxy",
        cxxopts::value<std::string>())(
        "kill-primary-at", "Second at which the control interface asks for a primary's loss",
        cxxopts::value<double>())("report-json", "File for the report",
                                  cxxopts::value<std::string>())("version", "Print the version")(
        "help", "Print this help");
    return options;
}

int run(int argc, char** argv) {
    cxxopts::Options options = make_options();
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (transport::print_information(options, arguments)) {
        return 0;
    }
    if (arguments.count("settings") + arguments.count("direct") == 0) {
        std::cerr << "settings: missing; allowed: --settings FILE\n";
        return exit_bad_usage;
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<int> {
            return arguments.count("direct") > 0 ? execute_direct(arguments) : execute(arguments);
        },
        [](const state::state_error& error) {
            std::cerr << error.message << "\n";
            return exit_bad_usage;
        },
        [](const load::load_error& error) {
            transport::log_event(load::run_failed, {{"reason", error.message}});
            return exit_failed;
        },
        [] {
            std::cerr << "the run failed\n";
            return exit_failed;
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
        return exit_failed;
    }
}
