#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace hornbeamhook::coordination {

/** This VM's contact with a primary. Times are from one local clock; 0 means never. */
struct primary_contact {
    std::int64_t last_answer_at = 0;
    std::int64_t waiting_since = 0;  ///< When the oldest unanswered request was sent.
    std::int64_t refused_since = 0;  ///< First of consecutive refused connections.
    bool is_listed = true;           ///< Discovery still lists it.

    auto operator<=>(const primary_contact&) const = default;
};

/** Another VM's report about the primary. */
struct peer_report {
    std::int64_t received_at = 0;  ///< When the report arrived.
    bool is_lost = false;

    auto operator<=>(const peer_report&) const = default;
};

/**
 * Start of the primary's current silence, 0 if it is not silent; `silent_since` is the previous
 * result. Silence starts with a request sent after the last answer, so neither an idle primary nor
 * a single lost answer counts as silence. Pure, thread safe.
 */
std::int64_t update_silence_start(std::int64_t silent_since, const primary_contact& contact,
                                  std::int64_t now);

/** Whether this VM alone considers the primary lost. Pure, thread safe. */
bool is_primary_suspect(const primary_contact& contact, std::int64_t now);

/** How long a VM without responsive members must suspect a primary before it acts alone. */
inline constexpr std::int64_t isolated_suspicion_ms = 2500;

/**
 * Whether a primary that this VM has suspected since `suspect_since` is lost: every responsive
 * member must report it lost. A primary that any member still reaches is not replaced, because its
 * acknowledged commits would be rolled back. Pure, thread safe.
 */
bool is_loss_confirmed(std::int64_t suspect_since, const std::set<std::string>& responsive,
                       const std::map<std::string, peer_report>& answers, bool is_store_reached,
                       std::int64_t now);

}  // namespace hornbeamhook::coordination
