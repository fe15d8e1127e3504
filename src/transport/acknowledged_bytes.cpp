#include "transport/acknowledged_bytes.h"

// The C library's tcp_info lacks the field, and its header excludes this one.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace hornbeamhook::transport {

std::optional<std::uint64_t> get_acknowledged_bytes(int descriptor) {
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return std::nullopt;
    }
    return info.tcpi_bytes_acked;
}

}  // namespace hornbeamhook::transport
