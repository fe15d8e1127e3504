#pragma once

#include <string>

namespace hornbeamhook::ctl {

/** A new credential: 32 random bytes, URL-safe base64. Thread safe. */
std::string generate_credential();

/** What is stored of a credential: hex of its 32 byte BLAKE2b hash. Thread safe. */
std::string hash_credential(const std::string& credential);

/** `bytes` random bytes in hex. Thread safe. */
std::string generate_hex(std::size_t bytes);

}  // namespace hornbeamhook::ctl
