#include "coordination/connection_state.h"

#include <algorithm>
#include <numeric>

namespace hornbeamhook::coordination {

setup_plan connection_state::plan(const session_values& values,
                                  const std::optional<statement_definition>& prepared) {
    setup_plan result;
    const bool has_foreign_value =
        std::any_of(values_.begin(), values_.end(),
                    [&](const auto& entry) { return !values.contains(entry.first); });
    const bool is_reset = !is_known_ || has_foreign_value;
    if (is_reset) {
        result.steps.emplace_back(reset_step{});
    }
    for (const auto& [name, value] : values) {
        const auto held = values_.find(name);
        if (is_reset || held == values_.end() || held->second != value) {
            result.steps.emplace_back(set_step{name, value});
        }
    }
    if (!prepared) {
        return result;
    }
    if (!is_reset) {
        result.statement_name = use(*prepared);
    }
    if (result.statement_name.empty()) {
        if (!is_reset) {
            plan_closes(*prepared, result.steps);
        }
        result.statement_name = "p" + std::to_string(++last_name_);
        result.steps.emplace_back(prepare_step{result.statement_name, *prepared});
    }
    return result;
}

std::string connection_state::use(const statement_definition& definition) {
    const auto found = std::find_if(prepared_.begin(), prepared_.end(), [&](const auto& entry) {
        return entry.definition == definition;
    });
    if (found == prepared_.end()) {
        return {};
    }
    std::rotate(found, found + 1, prepared_.end());
    return prepared_.back().name;
}

void connection_state::plan_closes(const statement_definition& definition,
                                   std::vector<setup_step>& steps) const {
    std::size_t count = prepared_.size() + 1;
    std::size_t bytes = std::accumulate(
        prepared_.begin(), prepared_.end(), definition.shape.size(),
        [](std::size_t sum, const auto& entry) { return sum + entry.definition.shape.size(); });
    for (const prepared_entry& entry : prepared_) {
        if (count <= max_prepared_statements && bytes <= max_prepared_bytes) {
            return;
        }
        steps.emplace_back(close_step{entry.name});
        --count;
        bytes -= entry.definition.shape.size();
    }
}

void connection_state::acknowledge(const setup_step& step) {
    if (std::holds_alternative<reset_step>(step)) {
        values_.clear();
        prepared_.clear();
        is_known_ = true;
    } else if (const auto* set = std::get_if<set_step>(&step)) {
        values_[set->name] = set->value;
    } else if (const auto* prepare = std::get_if<prepare_step>(&step)) {
        prepared_.push_back({prepare->name, prepare->definition});
    } else {
        std::erase_if(prepared_, [&](const prepared_entry& entry) {
            return entry.name == std::get<close_step>(step).name;
        });
    }
}

void connection_state::invalidate() {
    is_known_ = false;
    values_.clear();
    prepared_.clear();
}

std::size_t connection_state::get_bytes() const {
    std::size_t bytes = 0;
    for (const auto& [name, value] : values_) {
        bytes += name.size() + value.size();
    }
    for (const prepared_entry& entry : prepared_) {
        bytes += entry.definition.shape.size();
    }
    return bytes;
}

}  // namespace hornbeamhook::coordination
