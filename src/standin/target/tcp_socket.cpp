#include "standin/target/tcp_socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <stdexcept>

namespace hornbeamhook::standin::target {

namespace {

constexpr int listen_backlog = 1024;
constexpr int send_timeout_ms = 2000;
constexpr std::size_t max_line_bytes = std::size_t{256} << 20U;

std::optional<sockaddr_in> parse_address(const std::string& address) {
    const std::size_t colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    if (colon == std::string::npos ||
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr) != 1) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char* end = address.data() + address.size();
    const auto [parsed, code] = std::from_chars(address.data() + colon + 1, end, port);
    if (code != std::errc() || parsed != end) {
        return std::nullopt;
    }
    result.sin_port = htons(port);
    return result;
}

}  // namespace

int listen_on(const std::string& address) {
    const std::optional<sockaddr_in> parsed = parse_address(address);
    if (!parsed) {
        throw std::runtime_error("listen address " + address + " is not ip:port");
    }
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&*parsed), sizeof(*parsed)) != 0 ||
        ::listen(fd, listen_backlog) != 0) {
        const std::string reason = std::strerror(errno);
        ::close(fd);
        throw std::runtime_error("cannot listen on " + address + ": " + reason);
    }
    return fd;
}

int connect_to(const std::string& address, std::chrono::milliseconds timeout) {
    const std::optional<sockaddr_in> parsed = parse_address(address);
    if (!parsed) {
        return -1;
    }
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&*parsed), sizeof(*parsed)) != 0) {
        pollfd entry{fd, POLLOUT, 0};
        int error = errno;
        socklen_t length = sizeof(error);
        if (error != EINPROGRESS || ::poll(&entry, 1, static_cast<int>(timeout.count())) <= 0 ||
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
            ::close(fd);
            return -1;
        }
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    configure_socket(fd);
    return fd;
}

void configure_socket(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
}

bool send_all(int fd, const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
        pollfd entry{fd, POLLOUT, 0};
        if (::poll(&entry, 1, send_timeout_ms) <= 0) {
            return false;
        }
        const ssize_t count =
            ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0 && (errno == EINTR || errno == EAGAIN)) {
            continue;
        }
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::optional<std::string> line_receiver::get_line(std::chrono::milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    for (;;) {
        const std::size_t end = buffer_.find('\n', searched_);
        if (end != std::string::npos) {
            std::string line = buffer_.substr(0, end);
            buffer_.erase(0, end + 1);
            searched_ = 0;
            return line;
        }
        searched_ = buffer_.size();
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
        pollfd entry{fd_, POLLIN, 0};
        const int ready = ::poll(&entry, 1, static_cast<int>(std::max<long>(left.count(), 0)));
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        if (ready == 0) {
            return std::nullopt;
        }
        std::array<char, 65536> chunk{};
        const ssize_t count = ::recv(fd_, chunk.data(), chunk.size(), 0);
        if (count <= 0 || buffer_.size() > max_line_bytes) {
            is_closed_ = true;
            return std::nullopt;
        }
        buffer_.append(chunk.data(), static_cast<std::size_t>(count));
    }
}

}  // namespace hornbeamhook::standin::target
