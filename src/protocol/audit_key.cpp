#include "protocol/audit_key.h"

#include <array>
#include <ctime>

namespace hornbeamhook::protocol {

namespace {

constexpr std::size_t time_digits = 13;
constexpr std::size_t sequence_digits = 12;
constexpr std::int64_t ms_per_second = 1000;

std::string pad(std::uint64_t number, std::size_t width) {
    const std::string digits = std::to_string(number);
    return digits.size() < width ? std::string(width - digits.size(), '0') + digits : digits;
}

}  // namespace

std::string make_audit_key(const std::string& vm, std::uint64_t incarnation,
                           std::uint64_t sequence) {
    return vm + "/" + pad(incarnation, time_digits) + "/" + pad(sequence, sequence_digits);
}

std::string make_failover_key(std::int64_t at_ms, const std::string& audit_key) {
    const std::time_t seconds = at_ms / ms_per_second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 16> month{};
    std::strftime(month.data(), month.size(), "%Y-%m", &parts);
    return std::string(month.data()) + "/" + pad(at_ms, time_digits) + "/" + audit_key;
}

}  // namespace hornbeamhook::protocol
