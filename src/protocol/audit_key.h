#pragma once

#include <cstdint>
#include <string>

namespace hornbeamhook::protocol {

/** Key of a row of the audit table; numbers are padded so that keys sort in order. */
std::string make_audit_key(const std::string& vm, std::uint64_t incarnation,
                           std::uint64_t sequence);

/** Key of a row of the failover table: month, time, and the key of its audit row. */
std::string make_failover_key(std::int64_t at_ms, const std::string& audit_key);

}  // namespace hornbeamhook::protocol
