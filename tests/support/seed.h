#pragma once

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>

namespace hornbeamhook::tests {

/** The seed of HORNBEAMHOOK_SEED, or a new one; printed, so that a failure can be repeated. */
inline std::uint64_t get_seed() {
    const char* given = std::getenv("HORNBEAMHOOK_SEED");
    const std::uint64_t seed = given != nullptr ? std::stoull(given) : std::random_device{}();
    std::cout << "HORNBEAMHOOK_SEED=" << seed << '\n';
    return seed;
}

}  // namespace hornbeamhook::tests
