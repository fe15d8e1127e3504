#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "state/group_view.h"
#include "state/target_status.h"

namespace hornbeamhook::tests {

/** What a primary streams: its whole log, of which a replica may have received only a part. */
struct model_stream {
    state::term_number term = 0;
    state::log_position term_start = 0;
    std::string claimant;
    std::vector<int> log;
};

/** A target by the rules of docs/design.md section 4; log entries are write ids. */
struct model_target {
    state::term_number accepted_term = 1;
    std::string accepted_claimant;
    state::term_number follow_term = 1;
    state::log_position term_start = 0;
    bool is_primary = false;
    std::vector<int> log;
    std::optional<state::time_point> contact;

    state::target_status get_status(state::time_point now) const {
        state::target_status status;
        status.accepted_term = accepted_term;
        status.accepted_claimant = accepted_claimant;
        status.follow_term = follow_term;
        status.term_start = term_start;
        status.position = log.size();
        status.is_primary = is_primary;
        if (contact && !is_primary) {
            status.primary_contact =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - *contact);
        }
        return status;
    }

    bool is_unfenced_primary() const { return is_primary && accepted_term <= follow_term; }

    bool fence(state::term_number term, const std::string& claimant) {
        if (term < accepted_term || (term == accepted_term && claimant != accepted_claimant)) {
            return false;
        }
        accepted_term = term;
        accepted_claimant = claimant;
        return true;
    }

    /** Returns whether it was accepted; `is_new` is set by the call that took effect. */
    bool promote(state::term_number term, const std::string& claimant, bool& is_new) {
        is_new = false;
        if (term != accepted_term || claimant != accepted_claimant ||
            !(follow_term < term || (follow_term == term && is_primary))) {
            return false;
        }
        if (!is_primary || follow_term != term) {
            is_new = true;
            follow_term = term;
            term_start = log.size();
            is_primary = true;
        }
        return true;
    }

    model_stream make_stream() const { return {follow_term, term_start, accepted_claimant, log}; }

    /** Applies at most `limit` new entries. */
    void receive(const model_stream& stream, std::size_t limit, state::time_point now) {
        if (stream.term < accepted_term || (is_primary && follow_term >= stream.term)) {
            return;
        }
        if (stream.term > accepted_term) {
            accepted_term = stream.term;
            accepted_claimant = stream.claimant;
        }
        is_primary = false;
        std::size_t common = 0;
        while (common < log.size() && common < stream.log.size() &&
               log[common] == stream.log[common]) {
            ++common;
        }
        // A late stream of the term followed already is a prefix of this log.
        if (follow_term != stream.term || common < std::min(log.size(), stream.log.size())) {
            log.resize(common);
        }
        const std::size_t end = std::min(stream.log.size(), log.size() + limit);
        for (std::size_t i = log.size(); i < end; ++i) {
            log.push_back(stream.log[i]);
        }
        if (log.size() >= stream.term_start && follow_term != stream.term) {
            follow_term = stream.term;
            term_start = stream.term_start;
        }
        if (follow_term == stream.term) {
            contact = now;
        }
    }
};

/** Which reports acknowledge a write. */
using acknowledgement_rule = bool (*)(const state::target_status& status,
                                      state::log_point committed);

/** The rule of docs/design.md section 4. */
inline bool is_acknowledging(const state::target_status& status, state::log_point committed) {
    return status.acknowledges(committed);
}

/** Acknowledged writes and promotions of a run, checked against each other. */
class survival_checker {
public:
    explicit survival_checker(acknowledgement_rule rule) : counts_(rule) {}

    /** A write the primary of `term` committed at `position`. */
    void add_write(int id, state::term_number term, state::log_position position) {
        writes_.push_back({id, term, position, {}, false});
    }

    /** A target reported its status to a proxy; may acknowledge writes by the majority rule. */
    void add_report(std::size_t target, const state::target_status& status) {
        for (write& value : writes_) {
            if (value.is_acknowledged || !counts_(status, {value.term, value.position})) {
                continue;
            }
            if (std::ranges::find(value.reporters, target) == value.reporters.end()) {
                value.reporters.push_back(target);
                std::ranges::sort(value.reporters);
            }
            if (value.reporters.size() >= 2) {
                value.is_acknowledged = true;
                ++acknowledged_;
                for (const promotion& later : promotions_) {
                    check(value, later);
                }
            }
        }
    }

    /** A promotion took effect at a target with this log. */
    void add_promotion(state::term_number term, std::size_t target, std::vector<int> log) {
        for (const promotion& other : promotions_) {
            if (other.term == term && other.target != target) {
                violations_.push_back("two targets promoted in term " + std::to_string(term));
            }
        }
        promotions_.push_back({term, target, std::move(log)});
        for (const write& value : writes_) {
            if (value.is_acknowledged) {
                check(value, promotions_.back());
            }
        }
    }

    /** What matters for later checks, to recognise equal states. */
    std::string get_key() const {
        std::string key;
        for (const write& value : writes_) {
            key += std::to_string(value.id) + (value.is_acknowledged ? "!" : ":");
            for (const std::size_t target : value.reporters) {
                key += std::to_string(target);
            }
        }
        for (const promotion& value : promotions_) {
            key += "/" + std::to_string(value.term) + "@" + std::to_string(value.target);
        }
        return key;
    }

    const std::vector<std::string>& get_violations() const { return violations_; }
    std::size_t count_promotions() const { return promotions_.size(); }
    std::size_t count_acknowledged() const { return acknowledged_; }

private:
    struct write {
        int id;
        state::term_number term;
        state::log_position position;
        std::vector<std::size_t> reporters;
        bool is_acknowledged;
    };
    struct promotion {
        state::term_number term;
        std::size_t target;
        std::vector<int> log;
    };

    void check(const write& value, const promotion& later) {
        if (later.term > value.term &&
            (later.log.size() < value.position || later.log[value.position - 1] != value.id)) {
            violations_.push_back("write " + std::to_string(value.id) + " of term " +
                                  std::to_string(value.term) + " lost in term " +
                                  std::to_string(later.term));
        }
    }

    acknowledgement_rule counts_;
    std::vector<write> writes_;
    std::vector<promotion> promotions_;
    std::vector<std::string> violations_;
    std::size_t acknowledged_ = 0;
};

}  // namespace hornbeamhook::tests
