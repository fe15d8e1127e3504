#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamhook::transport {

/** An IPv4 address and a port. */
struct endpoint {
    std::string host;
    int port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/** The inverse of parse_endpoint(). Thread safe. */
std::string format_endpoint(const endpoint& value);

/** Parses "HOST:PORT"; empty when the text has another form. Thread safe. */
std::optional<endpoint> parse_endpoint(std::string_view text);

}  // namespace hornbeamhook::transport
