#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace hornbeamhook::protocol {

/**
 * Body of POST /internal/v1/vm_entry: a store reader tells a VM what the VM list shows of it. The
 * receiver reads the list itself before it acts.
 */
struct vm_notice_message {
    std::string vm;
    std::uint64_t incarnation = 0;  ///< Of the process it is meant for.
    bool is_missing = false;        ///< The list does not name the VM; else it is leaving.

    bool operator==(const vm_notice_message&) const = default;
};

/** Parses a notice. Fails with state_error. */
boost::leaf::result<vm_notice_message> parse_vm_notice_message(const nlohmann::json& object);

/** The inverse of parse_vm_notice_message(). */
nlohmann::json to_json(const vm_notice_message& message);

}  // namespace hornbeamhook::protocol
