#include "proxy/usage_ledger.h"

#include <algorithm>
#include <utility>

namespace hornbeamhook::proxy {

namespace {

// Callers beyond the limit of rows are counted together, so that totals stay right.
constexpr const char* overflow_name = "(other)";

/** A name as part of a row key, in which "/" separates the parts. */
std::string make_part(std::string text) {
    std::replace(text.begin(), text.end(), '/', '_');
    return text.empty() ? "-" : text;
}

}  // namespace

usage_ledger::usage_ledger(std::string place, std::string vm, std::uint64_t incarnation,
                           std::size_t max_rows)
    : place_(make_part(std::move(place))),
      vm_(make_part(std::move(vm))),
      incarnation_(incarnation),
      max_rows_(max_rows) {}

void usage_ledger::record(const usage_sample& sample, const std::string& hour) {
    state::usage_key key{hour,        make_part(sample.pool), make_part(sample.caller), place_, vm_,
                         incarnation_};
    if (entries_.size() >= max_rows_ && !entries_.contains(key)) {
        key.pool = overflow_name;
        key.caller = overflow_name;
    }
    entry& item = entries_[key];
    ++item.generation;
    state::usage_counters& counters = item.counters;
    if (!sample.refusal.empty()) {
        ++counters.refused[sample.refusal];
        return;
    }
    ++(sample.is_read ? counters.reads : counters.writes);
    counters.replica_reads += sample.is_read && sample.was_served_by_replica ? 1 : 0;
    counters.unknown += sample.is_unknown ? 1 : 0;
    counters.latency_sum_us += std::max<std::int64_t>(0, sample.latency.count());
    counters.latency.add(sample.latency);
}

std::vector<usage_write> usage_ledger::get_changed(
    std::size_t limit, const std::optional<state::usage_key>& after) const {
    std::vector<usage_write> writes;
    auto it = after ? entries_.upper_bound(*after) : entries_.begin();
    for (; it != entries_.end() && writes.size() < limit; ++it) {
        const auto& [key, item] = *it;
        if (item.generation != item.stored_generation) {
            writes.push_back(
                {{key, item.counters}, item.version, item.is_version_known, item.generation});
        }
    }
    return writes;
}

void usage_ledger::confirm(const std::vector<usage_write>& writes, std::uint64_t version,
                           const std::string& hour) {
    for (const usage_write& write : writes) {
        const auto it = entries_.find(write.row.key);
        if (it == entries_.end()) {
            continue;
        }
        entry& item = it->second;
        item.version = version;
        item.is_version_known = true;
        item.stored_generation = write.generation;
        if (item.generation == item.stored_generation && it->first.hour < hour) {
            entries_.erase(it);
        }
    }
}

void usage_ledger::mark_uncertain(const std::vector<usage_write>& writes) {
    for (const usage_write& write : writes) {
        const auto it = entries_.find(write.row.key);
        if (it != entries_.end()) {
            it->second.is_version_known = false;
        }
    }
}

}  // namespace hornbeamhook::proxy
