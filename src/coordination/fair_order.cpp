#include "coordination/fair_order.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

namespace hornbeamhook::coordination {

namespace {

/// Statements of other classes after which a class that waits for long is served: one in ten.
constexpr int floor_interval = 9;
/// A statement that waited this share of its objective shows that the room does not suffice.
constexpr double long_wait_share = 0.25;
/// Statements sent earlier than this hardly count for the share of an organisation; about the
/// longest objective of routes, so that a share is corrected before statements are late.
constexpr double use_decay_ms = 1000;
/// Below this an organisation's use is forgotten.
constexpr double min_kept_use = 0.01;
/// Use above the share by less than this is not noticed: statements are whole.
constexpr double share_tolerance = 1;
/// Tags and uses are kept for this many organisations before those of idle ones are dropped.
constexpr std::size_t max_kept_tags = 256;

/** Waiting statements of one organisation and class: a range of the sorted indices. */
struct organisation_run {
    double tag = 0;
    std::int64_t priority = 0;
    std::size_t next = 0;
    std::size_t end = 0;
};

/** Waiting statements of one class. */
struct class_run {
    std::int64_t priority = 0;
    int passed_over = 0;
    bool waits_long = false;
    std::vector<organisation_run> heap;  ///< The organisation whose turn is next is in front.

    bool has_floor() const { return waits_long && passed_over >= floor_interval; }
};

bool is_late(const waiting_statement& statement, std::int64_t now) {
    return now + statement.answer_ms > statement.arrived_at + statement.objective_ms;
}

bool waits_long(const waiting_statement& statement, std::int64_t now) {
    return static_cast<double>(now - statement.arrived_at) >=
           long_wait_share * static_cast<double>(statement.objective_ms);
}

/** The class to send from: one below its floor, otherwise the highest. Null if none waits. */
class_run* select_class(std::vector<class_run>& classes) {
    class_run* highest = nullptr;
    class_run* neglected = nullptr;
    for (class_run& entry : classes) {
        if (entry.heap.empty()) {
            continue;
        }
        highest = highest == nullptr ? &entry : highest;
        if (entry.has_floor() &&
            (neglected == nullptr || entry.passed_over > neglected->passed_over)) {
            neglected = &entry;
        }
    }
    return neglected != nullptr ? neglected : highest;
}

}  // namespace

double fair_order::get_next_tag(const class_turns& turns, std::string_view organisation) {
    const auto tag = turns.next_tags.find(organisation);
    return tag == turns.next_tags.end() ? turns.time : std::max(turns.time, tag->second);
}

double fair_order::recent_use::get(std::int64_t now) const {
    return count * std::exp(-static_cast<double>(now - updated_at) / use_decay_ms);
}

std::set<std::string_view> fair_order::find_over_share(
    const std::vector<waiting_statement>& waiting, std::int64_t now) const {
    struct demand {
        double used = 0;
        double wanted = 0;  ///< Used and waiting.
    };
    std::map<std::string_view, demand> demands;
    double room = 0;
    for (const auto& [organisation, use] : uses_) {
        const double used = use.get(now);
        demands[organisation] = {used, used};
        room += used;
    }
    for (const waiting_statement& statement : waiting) {
        demands[statement.organisation].wanted += 1;
    }
    // What was used is divided anew: nobody gets more than it wants, and those that want more than
    // that get equal shares.
    std::vector<double> wanted;
    wanted.reserve(demands.size());
    for (const auto& [organisation, entry] : demands) {
        wanted.push_back(entry.wanted);
    }
    std::sort(wanted.begin(), wanted.end());
    double share = 0;
    for (std::size_t i = 0; i < wanted.size(); ++i) {
        share = room / static_cast<double>(wanted.size() - i);
        if (wanted[i] >= share) {
            break;
        }
        room -= wanted[i];
    }
    std::set<std::string_view> result;
    for (const auto& [organisation, entry] : demands) {
        if (entry.used > share + share_tolerance && entry.wanted > entry.used) {
            result.insert(organisation);
        }
    }
    return result;
}

std::vector<std::size_t> fair_order::arrange(const std::vector<waiting_statement>& waiting,
                                             std::int64_t now) const {
    std::vector<std::size_t> within;
    std::vector<std::size_t> over;
    const bool is_short_of_room =
        std::any_of(waiting.begin(), waiting.end(),
                    [&](const waiting_statement& value) { return waits_long(value, now); });
    const std::set<std::string_view> over_share =
        is_short_of_room ? find_over_share(waiting, now) : std::set<std::string_view>();
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        (over_share.contains(waiting[i].organisation) ? over : within).push_back(i);
    }
    std::vector<std::size_t> result;
    result.reserve(waiting.size());
    append_arranged(result, std::move(within), waiting, now);
    append_arranged(result, std::move(over), waiting, now);
    return result;
}

void fair_order::append_arranged(std::vector<std::size_t>& result, std::vector<std::size_t> sorted,
                                 const std::vector<waiting_statement>& waiting,
                                 std::int64_t now) const {
    std::stable_sort(sorted.begin(), sorted.end(), [&](std::size_t a, std::size_t b) {
        const auto key = [&](const waiting_statement& value) {
            return std::make_tuple(value.priority, value.organisation, is_late(value, now),
                                   value.arrived_at);
        };
        return key(waiting[a]) < key(waiting[b]);
    });
    std::vector<class_run> classes;
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        const waiting_statement& statement = waiting[sorted[i]];
        const auto turns = classes_.find(statement.priority);
        if (classes.empty() || classes.back().priority != statement.priority) {
            classes.push_back({statement.priority,
                               turns == classes_.end() ? floor_interval : turns->second.passed_over,
                               false,
                               {}});
        }
        class_run& current = classes.back();
        current.waits_long = current.waits_long || waits_long(statement, now);
        const bool is_same_organisation =
            !current.heap.empty() &&
            waiting[sorted[current.heap.back().next]].organisation == statement.organisation;
        if (is_same_organisation) {
            current.heap.back().end = i + 1;
            continue;
        }
        const double tag =
            turns == classes_.end() ? 0 : get_next_tag(turns->second, statement.organisation);
        current.heap.push_back({tag, statement.organisation_priority, i, i + 1});
    }
    // std heaps have the greatest element in front.
    const auto is_after = [&](const organisation_run& a, const organisation_run& b) {
        const auto key = [&](const organisation_run& run) {
            return std::make_tuple(run.tag, run.priority, waiting[sorted[run.next]].arrived_at,
                                   sorted[run.next]);
        };
        return key(a) > key(b);
    };
    for (class_run& entry : classes) {
        std::make_heap(entry.heap.begin(), entry.heap.end(), is_after);
    }
    while (class_run* next = select_class(classes)) {
        std::pop_heap(next->heap.begin(), next->heap.end(), is_after);
        organisation_run& run = next->heap.back();
        result.push_back(sorted[run.next]);
        ++run.next;
        run.tag += 1;
        if (run.next == run.end) {
            next->heap.pop_back();
        } else {
            std::push_heap(next->heap.begin(), next->heap.end(), is_after);
        }
        for (class_run& entry : classes) {
            ++entry.passed_over;
        }
        next->passed_over = 0;
    }
}

void fair_order::add_sent(std::int64_t priority, std::string_view organisation, std::int64_t now) {
    for (auto& [other, turns] : classes_) {
        turns.passed_over = std::min(turns.passed_over + 1, floor_interval);
    }
    class_turns& turns = classes_[priority];
    turns.passed_over = 0;
    const double tag = get_next_tag(turns, organisation);
    turns.time = tag;
    if (turns.next_tags.size() >= max_kept_tags) {
        std::erase_if(turns.next_tags,
                      [&](const auto& entry) { return entry.second <= turns.time; });
    }
    turns.next_tags.insert_or_assign(std::string(organisation), tag + 1);
    if (uses_.size() >= max_kept_tags) {
        std::erase_if(uses_,
                      [&](const auto& entry) { return entry.second.get(now) < min_kept_use; });
    }
    const auto use = uses_.try_emplace(std::string(organisation)).first;
    use->second = {use->second.get(now) + 1, now};
}

}  // namespace hornbeamhook::coordination
