#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace hornbeamhook::tests {

/** An address on loopback whose port was free a moment ago; tests run in parallel processes. */
inline std::string get_free_address() {
    const int socket_fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    static_cast<void>(::bind(socket_fd, reinterpret_cast<sockaddr*>(&address), length));
    static_cast<void>(::getsockname(socket_fd, reinterpret_cast<sockaddr*>(&address), &length));
    ::close(socket_fd);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

}  // namespace hornbeamhook::tests
