#include "standin/target/entry_log.h"

#include <algorithm>
#include <utility>

namespace hornbeamhook::standin::target {

namespace {

state::log_position get_run_end(const std::vector<term_run>& runs, std::size_t index,
                                state::log_position length) {
    return index + 1 < runs.size() ? runs[index + 1].start : length;
}

}  // namespace

void entry_log::push(std::shared_ptr<const log_entry> entry) {
    if (runs_.empty() || runs_.back().term != entry->term) {
        runs_.push_back({entries_.size(), entry->term});
    }
    entries_.push_back(std::move(entry));
}

void entry_log::truncate(state::log_position length) {
    entries_.resize(std::min<std::size_t>(length, entries_.size()));
    while (!runs_.empty() && runs_.back().start >= entries_.size()) {
        runs_.pop_back();
    }
}

state::log_position entry_log::get_common_prefix(const std::vector<term_run>& runs,
                                                 state::log_position length) const {
    state::log_position common = 0;
    for (std::size_t i = 0; i < runs_.size(); ++i) {
        for (std::size_t j = 0; j < runs.size(); ++j) {
            if (runs_[i].term != runs[j].term) {
                continue;
            }
            const state::log_position start = std::max(runs_[i].start, runs[j].start);
            const state::log_position end =
                std::min(get_run_end(runs_, i, entries_.size()), get_run_end(runs, j, length));
            common = end > start ? std::max(common, end) : common;
        }
    }
    return common;
}

}  // namespace hornbeamhook::standin::target
