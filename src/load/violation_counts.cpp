#include "load/violation_counts.h"

#include <array>
#include <utility>

namespace hornbeamhook::load {

namespace {

constexpr std::int64_t max_examples_per_kind = 10;

constexpr std::array all_kinds{
    violation_kind::stale_own_reads,        violation_kind::reads_older_than_asked,
    violation_kind::lost_acknowledged,      violation_kind::doubled,
    violation_kind::mixed_transactions,     violation_kind::wrong_answers,
    violation_kind::false_not_run,          violation_kind::leaving_targets_served,
    violation_kind::configuration_reverted,
};

}  // namespace

std::string_view to_string(violation_kind kind) {
    switch (kind) {
        case violation_kind::stale_own_reads:
            return "stale_own_reads";
        case violation_kind::reads_older_than_asked:
            return "reads_older_than_asked";
        case violation_kind::lost_acknowledged:
            return "lost_acknowledged";
        case violation_kind::doubled:
            return "doubled";
        case violation_kind::mixed_transactions:
            return "mixed_transactions";
        case violation_kind::wrong_answers:
            return "wrong_answers";
        case violation_kind::false_not_run:
            return "false_not_run";
        case violation_kind::leaving_targets_served:
            return "leaving_targets_served";
        case violation_kind::configuration_reverted:
            break;
    }
    return "configuration_reverted";
}

void violation_counts::add(violation_kind kind, std::string description) {
    std::int64_t& count = counts_[kind];
    count += 1;
    if (count <= max_examples_per_kind) {
        examples_.push_back(std::string(to_string(kind)) + ": " + std::move(description));
    }
}

std::int64_t violation_counts::get_count(violation_kind kind) const {
    const auto it = counts_.find(kind);
    return it == counts_.end() ? 0 : it->second;
}

std::int64_t violation_counts::get_total() const {
    std::int64_t total = 0;
    for (const auto& [kind, count] : counts_) {
        total += count;
    }
    return total;
}

nlohmann::json violation_counts::to_json() const {
    nlohmann::json result = nlohmann::json::object();
    for (const violation_kind kind : all_kinds) {
        result[std::string(to_string(kind))] = get_count(kind);
    }
    return result;
}

}  // namespace hornbeamhook::load
