#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace hornbeamhook::coordination {

/** What this VM saw of a primary. Times are of one local clock; 0 means never. */
struct primary_contact {
    std::int64_t last_answer_at = 0;
    std::int64_t waiting_since = 0;  ///< Oldest question without an answer.
    std::int64_t refused_since = 0;  ///< First of the refused connections in a row.
    bool is_listed = true;           ///< Discovery still names it.

    auto operator<=>(const primary_contact&) const = default;
};

/** What another VM said of the primary. */
struct peer_report {
    std::int64_t received_at = 0;  ///< When it said so.
    bool is_lost = false;

    auto operator<=>(const peer_report&) const = default;
};

/**
 * When the present silence of the primary began to count, given when it did so far (0: it did not).
 * Silence counts from a question that was sent after the last answer; an idle primary and a single
 * lost answer say nothing. Pure, thread safe.
 */
std::int64_t update_silence_start(std::int64_t silent_since, const primary_contact& contact,
                                  std::int64_t now);

/** Whether this VM alone would call the primary lost. Pure, thread safe. */
bool is_primary_suspect(const primary_contact& contact, std::int64_t now);

/** How long a VM without any responsive member must suspect a primary before it acts alone. */
inline constexpr std::int64_t isolated_suspicion_ms = 2500;

/**
 * Whether a primary that this VM suspects since `suspect_since` is lost for the fleet: every
 * responsive member says so. A primary that some member still reaches is not replaced, because its
 * acknowledged commits would be rolled back. Pure, thread safe.
 */
bool is_loss_confirmed(std::int64_t suspect_since, const std::set<std::string>& responsive,
                       const std::map<std::string, peer_report>& answers, bool is_store_reached,
                       std::int64_t now);

}  // namespace hornbeamhook::coordination
