#pragma once

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

namespace hornbeamhook::tests {

/** The seed of a randomised test: HORNBEAMHOOK_SEED, or `fallback`. Prints it. */
inline std::uint64_t get_seed(const std::string& test, std::uint64_t fallback) {
    const char* text = std::getenv("HORNBEAMHOOK_SEED");
    const std::uint64_t seed = text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
    std::cout << test << " seed=" << seed << std::endl;
    return seed;
}

}  // namespace hornbeamhook::tests
