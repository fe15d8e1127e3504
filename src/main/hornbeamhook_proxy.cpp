#include <malloc.h>
#include <sodium.h>

#include <chrono>
#include <csignal>
#include <iostream>

#include "protocol/proxy_settings.h"
#include "proxy/proxy_server.h"
#include "transport/program.h"

namespace {

using hornbeamhook::protocol::proxy_settings;

constexpr int exit_failure = 1;
constexpr int mapped_allocation_bytes = 131072;

int run(const proxy_settings& settings) {
    if (sodium_init() < 0) {
        std::cerr << "libsodium cannot be initialised\n";
        return exit_failure;
    }
    const hornbeamhook::transport::termination_signals signals;
    std::signal(SIGPIPE, SIG_IGN);
    // Large bodies are mapped, so that their memory is given back. By default the allocator raises
    // this threshold with the first of them and keeps the memory of later ones.
    mallopt(M_MMAP_THRESHOLD, mapped_allocation_bytes);
    const auto started = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    try {
        hornbeamhook::proxy::proxy_server server(settings,
                                                 static_cast<std::uint64_t>(started.count()));
        server.start();
        signals.wait();
        server.drain_and_stop();
    } catch (const std::exception& error) {
        std::cerr << "cannot serve on " << settings.listen_address << ": " << error.what() << "\n";
        return exit_failure;
    }
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    return hornbeamhook::transport::run_program(argc, argv, "hornbeamhook-proxy",
                                                "Database proxy with session consistency",
                                                hornbeamhook::protocol::parse_proxy_settings, run);
}
