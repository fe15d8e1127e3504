#include "coordination/primary_loss.h"

#include <algorithm>

namespace hornbeamhook::coordination {

namespace {

/// A statement takes up to 50 ms and a full queue of a target some hundred.
constexpr std::int64_t silence_ms = 600;
/// A process that restarts refuses connections for less than this.
constexpr std::int64_t refused_ms = 250;
/// Silence after which a connection is opened only to hear from the primary.
constexpr std::int64_t doubt_ms = 250;
/// An answer of a member is repeated every 100 ms while the primary is suspected.
constexpr std::int64_t answer_age_ms = 500;

}  // namespace

std::int64_t update_doubt(std::int64_t doubt_since, const primary_contact& contact,
                          std::int64_t now) {
    if (doubt_since != 0 && contact.last_answer_at < doubt_since) {
        return doubt_since;
    }
    if (contact.waiting_since == 0) {
        return contact.refused_since > contact.last_answer_at ? contact.refused_since : 0;
    }
    if (contact.waiting_since > contact.last_answer_at) {
        return contact.waiting_since;
    }
    // An older question was answered by nothing while others were: a new one has to tell.
    return now - contact.last_answer_at >= doubt_ms ? now : 0;
}

bool is_primary_suspect(const primary_contact& contact, std::int64_t now) {
    if (!contact.is_listed) {
        return now - contact.last_answer_at > silence_ms;
    }
    const bool is_refused = contact.refused_since != 0 &&
                            now - contact.refused_since >= refused_ms &&
                            now - contact.last_answer_at >= refused_ms;
    const bool is_silent = contact.waiting_since != 0 &&
                           now - contact.waiting_since >= silence_ms &&
                           now - contact.last_answer_at >= silence_ms;
    return is_refused || is_silent;
}

bool is_loss_confirmed(std::int64_t suspect_since, const std::set<std::string>& responsive,
                       const std::map<std::string, peer_contact>& answers, bool is_store_reached,
                       std::int64_t now) {
    if (suspect_since == 0) {
        return false;
    }
    if (responsive.empty()) {
        return is_store_reached && now - suspect_since >= lone_suspicion_ms;
    }
    return std::all_of(responsive.begin(), responsive.end(), [&](const std::string& vm) {
        const auto answer = answers.find(vm);
        return answer != answers.end() && answer->second.is_lost &&
               now - answer->second.heard_at <= answer_age_ms;
    });
}

}  // namespace hornbeamhook::coordination
