#include "coordination/position_history.h"

#include <algorithm>

namespace hornbeamhook::coordination {

namespace {

constexpr std::int64_t sample_spacing_ms = 25;  ///< Denser samples would not shorten a read's wait.
constexpr std::int64_t history_length_ms = 30000;  ///< Longest supported staleness bound.

}  // namespace

void position_history::add(state::log_point position, std::int64_t requested_at) {
    if (!samples_.empty() && position.term < samples_.back().position.term) {
        return;
    }
    if (!samples_.empty() && position.term > samples_.back().position.term) {
        samples_.clear();
    }
    if (!samples_.empty() && requested_at <= samples_.back().requested_at) {
        return;
    }
    // Replaces the last sample only while its predecessor is close. Otherwise a busy primary would
    // leave a single sample, and each read would need the newest position.
    if (samples_.size() >= 2 &&
        samples_.back().requested_at - samples_[samples_.size() - 2].requested_at <
            sample_spacing_ms) {
        samples_.pop_back();
    }
    samples_.push_back({requested_at, position});
    while (samples_.front().requested_at < requested_at - history_length_ms) {
        samples_.pop_front();
    }
}

std::optional<state::log_point> position_history::find_covering(std::int64_t since) const {
    const auto found = std::lower_bound(
        samples_.begin(), samples_.end(), since,
        [](const sample& entry, std::int64_t time) { return entry.requested_at < time; });
    if (found == samples_.end()) {
        return std::nullopt;
    }
    return found->position;
}

std::optional<state::log_point> position_history::get_newest() const {
    if (samples_.empty()) {
        return std::nullopt;
    }
    return samples_.back().position;
}

std::int64_t position_history::get_newest_requested_at() const {
    return samples_.empty() ? 0 : samples_.back().requested_at;
}

}  // namespace hornbeamhook::coordination
