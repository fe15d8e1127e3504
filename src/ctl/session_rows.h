#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "ctl/platform_rows.h"
#include "ctl/proxy_client.h"

namespace hornbeamhook::ctl {

/** The parts of a transaction's id "VM/INCARNATION/NUMBER". */
struct transaction_name {
    std::string vm;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    bool operator==(const transaction_name&) const = default;
};

/** Splits the id of a transaction; empty when it has another form. Pure. */
std::optional<transaction_name> parse_transaction_name(const std::string& id);

/**
 * The rows of "sessions" or "connections" from the answers to GET /internal/v1/sessions, ordered by
 * kind, pool, caller or target, and VM. A proxy that gave no usable answer has one row with the
 * reason under "note". Pure.
 */
source_rows make_session_rows(const std::string& source, const std::vector<proxy_answer>& answers);

/** Keeps the rows of a pool or of a target "POOL/TARGET", and those with a note. Pure. */
void filter_session_rows(source_rows& source, const std::string& name);

}  // namespace hornbeamhook::ctl
