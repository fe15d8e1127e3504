#pragma once

#include <cxxopts.hpp>
#include <iostream>

namespace hornbeamhook::transport {

/** Exit code of a program whose options or settings are wrong. */
inline constexpr int exit_usage = 2;

/**
 * Prints the help or the version to standard output when --help or --version was given. Returns
 * whether one of them was; the program has then nothing else to do. Thread safe.
 */
inline bool print_information(const cxxopts::Options& options,
                              const cxxopts::ParseResult& arguments) {
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return true;
    }
    if (arguments.count("version") > 0) {
        std::cout << HORNBEAMHOOK_VERSION << "\n";
        return true;
    }
    return false;
}

}  // namespace hornbeamhook::transport
