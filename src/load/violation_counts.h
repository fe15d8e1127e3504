#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace hornbeamhook::load {

/** Kinds of broken promises; the names are those of the report. */
enum class violation_kind {
    stale_own_reads,
    reads_older_than_asked,
    lost_acknowledged,
    doubled,
    mixed_transactions,
    wrong_answers,
    false_not_run,
    leaving_targets_served,
    configuration_reverted,
};

/** The name of a kind in the report. */
std::string_view to_string(violation_kind kind);

/** How often each promise was broken, with the first examples of each kind. */
class violation_counts {
public:
    /** Counts one violation and keeps its description when few are kept yet. */
    void add(violation_kind kind, std::string description);

    /** How many of this kind were counted. */
    std::int64_t get_count(violation_kind kind) const;

    /** All kinds together. */
    std::int64_t get_total() const;

    /** The kept descriptions, each with the name of its kind. */
    const std::vector<std::string>& get_examples() const { return examples_; }

    /** An object with every kind, also those that were never counted. */
    nlohmann::json to_json() const;

private:
    std::map<violation_kind, std::int64_t> counts_;
    std::vector<std::string> examples_;
};

}  // namespace hornbeamhook::load
