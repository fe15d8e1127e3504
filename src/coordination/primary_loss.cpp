#include "coordination/primary_loss.h"

#include <algorithm>

namespace hornbeamhook::coordination {

namespace {

/// A statement takes up to 50 ms, a full queue on a target some hundred ms.
constexpr std::int64_t silence_timeout_ms = 600;
/// A restarting process refuses connections for less than this.
constexpr std::int64_t refusal_timeout_ms = 250;
/// Silence after which a connection is opened only to probe the primary.
constexpr std::int64_t silence_probe_ms = 250;
/// Members repeat their answers every 100 ms while the primary is suspected.
constexpr std::int64_t max_answer_age_ms = 500;

}  // namespace

std::int64_t update_silence_start(std::int64_t silent_since, const primary_contact& contact,
                                  std::int64_t now) {
    if (silent_since != 0 && contact.last_answer_at < silent_since) {
        return silent_since;
    }
    if (contact.waiting_since == 0) {
        return contact.refused_since > contact.last_answer_at ? contact.refused_since : 0;
    }
    if (contact.waiting_since > contact.last_answer_at) {
        return contact.waiting_since;
    }
    // An older request stays unanswered although later ones were answered; a new request decides.
    return now - contact.last_answer_at >= silence_probe_ms ? now : 0;
}

bool is_primary_suspect(const primary_contact& contact, std::int64_t now) {
    if (!contact.is_listed) {
        return now - contact.last_answer_at > silence_timeout_ms;
    }
    const bool is_refused = contact.refused_since != 0 &&
                            now - contact.refused_since >= refusal_timeout_ms &&
                            now - contact.last_answer_at >= refusal_timeout_ms;
    const bool is_silent = contact.waiting_since != 0 &&
                           now - contact.waiting_since >= silence_timeout_ms &&
                           now - contact.last_answer_at >= silence_timeout_ms;
    return is_refused || is_silent;
}

bool is_loss_confirmed(std::int64_t suspect_since, const std::set<std::string>& responsive,
                       const std::map<std::string, peer_report>& answers, bool is_store_reached,
                       std::int64_t now) {
    if (suspect_since == 0) {
        return false;
    }
    if (responsive.empty()) {
        return is_store_reached && now - suspect_since >= isolated_suspicion_ms;
    }
    return std::all_of(responsive.begin(), responsive.end(), [&](const std::string& vm) {
        const auto answer = answers.find(vm);
        return answer != answers.end() && answer->second.is_lost &&
               now - answer->second.received_at <= max_answer_age_ms;
    });
}

}  // namespace hornbeamhook::coordination
