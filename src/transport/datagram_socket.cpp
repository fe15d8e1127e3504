#include "transport/datagram_socket.h"

#include <array>
#include <stdexcept>
#include <utility>

namespace hornbeamhook::transport {

namespace {

constexpr std::size_t datagram_bytes = 65536;  ///< Largest UDP payload and a little more.
constexpr std::size_t host_text_bytes = 46;    ///< Longest printed address.

}  // namespace

datagram_socket::datagram_socket(event_loop& loop, const endpoint& address, receiver received)
    : state_(new state) {
    state_->received = std::move(received);
    uv_udp_init(loop.get_handle(), &state_->handle);
    state_->handle.data = state_;
    sockaddr_in local{};
    uv_ip4_addr(address.host.c_str(), address.port, &local);
    const int status = uv_udp_bind(&state_->handle, reinterpret_cast<const sockaddr*>(&local), 0);
    if (status != 0) {
        throw std::runtime_error("cannot bind UDP port " + std::to_string(address.port) + ": " +
                                 uv_strerror(status));
    }
    uv_udp_recv_start(
        &state_->handle,
        [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
            static std::array<char, datagram_bytes> bytes;
            *buffer = uv_buf_init(bytes.data(), bytes.size());
        },
        [](uv_udp_t* handle, ssize_t count, const uv_buf_t* buffer, const sockaddr* from,
           unsigned) {
            if (count <= 0 || from == nullptr) {
                return;
            }
            const auto* sender = reinterpret_cast<const sockaddr_in*>(from);
            std::array<char, host_text_bytes> host{};
            uv_ip4_name(sender, host.data(), host.size());
            static_cast<state*>(handle->data)
                ->received({host.data(), ntohs(sender->sin_port)},
                           std::string_view(buffer->base, static_cast<std::size_t>(count)));
        });
}

datagram_socket::~datagram_socket() {
    uv_close(reinterpret_cast<uv_handle_t*>(&state_->handle),
             [](uv_handle_t* handle) { delete static_cast<state*>(handle->data); });
}

void datagram_socket::send(const endpoint& to, const std::string& bytes) {
    sockaddr_in target{};
    uv_ip4_addr(to.host.c_str(), to.port, &target);
    uv_buf_t buffer =
        uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned int>(bytes.size()));
    uv_udp_try_send(&state_->handle, &buffer, 1, reinterpret_cast<const sockaddr*>(&target));
}

}  // namespace hornbeamhook::transport
