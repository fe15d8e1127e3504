#include <iostream>

#include "standin/platform/platform_service.h"
#include "transport/program.h"

namespace {

using hornbeamhook::standin::platform::platform_service;
using hornbeamhook::standin::platform::platform_settings;

constexpr int exit_failure = 1;

int run(const platform_settings& settings) {
    const hornbeamhook::transport::termination_signals signals;
    platform_service service(settings);
    try {
        service.start();
    } catch (const std::exception& error) {
        std::cerr << "cannot listen on " << settings.listen_address << ": " << error.what() << "\n";
        return exit_failure;
    }
    signals.wait();
    service.stop();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    return hornbeamhook::transport::run_program(
        argc, argv, "hornbeamhook-platform-standin",
        "Table service, object store and VM list with settable faults",
        hornbeamhook::standin::platform::parse_platform_settings, run);
}
