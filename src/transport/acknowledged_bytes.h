#pragma once

#include <cstdint>
#include <optional>

namespace hornbeamhook::transport {

/** Bytes that the other end of a TCP connection has acknowledged since its begin; empty if the
 * system does not tell. Thread safe. */
std::optional<std::uint64_t> get_acknowledged_bytes(int descriptor);

}  // namespace hornbeamhook::transport
