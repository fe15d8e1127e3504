#include "gateway/organisation_counts.h"

#include <algorithm>

namespace hornbeamhook::gateway {

namespace {

/// Bounds the memory for organisations that are not listed.
constexpr std::size_t max_known = 1024;
const std::string rest_name = "other";

std::string escape_label(const std::string& value) {
    std::string result;
    for (const char each : value) {
        if (each == '\\' || each == '"') {
            result += '\\';
        }
        if (each == '\n') {
            result += "\\n";
        } else {
            result += each;
        }
    }
    return result;
}

void add_sample(std::string& text, const std::string& metric, const std::string& label,
                const std::string& organisation, std::int64_t value) {
    text += metric + "{" + label + "=\"" + escape_label(organisation) + "\"} " +
            std::to_string(value) + "\n";
}

std::string format_header(const std::string& metric, const std::string& help,
                          const std::string& type) {
    return "# HELP " + metric + " " + help + "\n# TYPE " + metric + " " + type + "\n";
}

}  // namespace

operation_counts& organisation_counts::find(const std::string& organisation) {
    const auto known = use_.find(organisation);
    if (known == use_.end() && use_.size() >= max_known) {
        std::erase_if(use_, [&](const auto& entry) { return !listed_.contains(entry.first); });
    }
    const std::int64_t use = ++use_[organisation];
    const auto found = listed_.find(organisation);
    if (found != listed_.end()) {
        return found->second;
    }
    if (listed_.size() < max_listed) {
        return listed_[organisation];
    }
    const auto least =
        std::ranges::min_element(listed_, {}, [&](const auto& entry) { return use_[entry.first]; });
    if (use <= use_[least->first]) {
        return rest_;
    }
    rest_.granted += least->second.granted;
    rest_.refused += least->second.refused;
    listed_.erase(least);
    return listed_[organisation];
}

std::string format_operation_metrics(const organisation_counts& counts,
                                     const std::map<std::string, std::int64_t>& waiting) {
    // A label of its own for the rest: an organisation may have the same name.
    const std::string granted = "hornbeamhook_gateway_limit_granted_total";
    const std::string refused = "hornbeamhook_gateway_limit_refused_total";
    const std::string queued = "hornbeamhook_gateway_limit_waiting";
    std::string text = format_header(granted, "Operations granted by limits", "counter");
    for (const auto& [name, value] : counts.get_listed()) {
        add_sample(text, granted, "organisation", name, value.granted);
    }
    add_sample(text, granted, "rest", rest_name, counts.get_rest().granted);
    text += format_header(refused, "Operations refused over limits", "counter");
    for (const auto& [name, value] : counts.get_listed()) {
        add_sample(text, refused, "organisation", name, value.refused);
    }
    add_sample(text, refused, "rest", rest_name, counts.get_rest().refused);
    text += format_header(queued, "Statements that wait for a grant", "gauge");
    std::int64_t rest = 0;
    for (const auto& [name, count] : waiting) {
        if (counts.get_listed().contains(name)) {
            add_sample(text, queued, "organisation", name, count);
        } else {
            rest += count;
        }
    }
    add_sample(text, queued, "rest", rest_name, rest);
    return text;
}

}  // namespace hornbeamhook::gateway
