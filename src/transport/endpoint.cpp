#include "transport/endpoint.h"

#include <charconv>

namespace hornbeamhook::transport {

std::string format_endpoint(const endpoint& value) {
    return value.host + ":" + std::to_string(value.port);
}

std::optional<endpoint> parse_endpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    constexpr int max_port = 65535;
    const std::string_view digits = text.substr(colon + 1);
    int port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size() || port < 1 ||
        port > max_port) {
        return std::nullopt;
    }
    return endpoint{std::string(text.substr(0, colon)), port};
}

}  // namespace hornbeamhook::transport
