#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace hornbeamhook::tests {

/** Ports below the range that the kernel gives to outgoing connections. */
inline constexpr int first_test_port = 2000;
inline constexpr int ports_per_process = 100;
inline constexpr int port_blocks = 100;

/** Whether nothing is bound to `port` on loopback now. */
inline bool is_port_free(int port) {
    const int socket_fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool is_free =
        ::bind(socket_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(socket_fd);
    return is_free;
}

/**
 * A free address on loopback. Tests run in parallel processes, so each process takes ports from a
 * block of its own; a port from the kernel's range could be taken by another process's outgoing
 * connection before the test listens on it. Throws std::runtime_error when none is free.
 */
inline std::string get_free_address() {
    static std::atomic<int> next = 0;
    const int first = first_test_port + ::getpid() % port_blocks * ports_per_process;
    for (int attempt = 0; attempt < ports_per_process; ++attempt) {
        const int port = first + next++ % ports_per_process;
        if (is_port_free(port)) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    throw std::runtime_error("no free port from " + std::to_string(first));
}

}  // namespace hornbeamhook::tests
