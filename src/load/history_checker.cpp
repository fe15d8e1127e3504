#include "load/history_checker.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace hornbeamhook::load {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using item_key = std::pair<std::string, std::string>;  // pool, item

/** The highest version acknowledged by a time. */
class acknowledged_versions {
public:
    void add(time_point end, std::int64_t version) { steps_.emplace_back(end, version); }

    void prepare() {
        std::ranges::sort(steps_);
        for (std::size_t i = 1; i < steps_.size(); ++i) {
            steps_[i].second = std::max(steps_[i].second, steps_[i - 1].second);
        }
    }

    std::int64_t get_version_at(time_point at) const {
        const auto it = std::ranges::upper_bound(
            steps_, at, {},
            [](const std::pair<time_point, std::int64_t>& step) { return step.first; });
        return it == steps_.begin() ? 0 : std::prev(it)->second;
    }

private:
    std::vector<std::pair<time_point, std::int64_t>> steps_;
};

std::int64_t find_count(const std::map<std::string, std::int64_t>& counts, const std::string& key) {
    const auto it = counts.find(key);
    return it == counts.end() ? 0 : it->second;
}

class checker {
public:
    checker(const history& seen, const std::map<std::string, final_state>& pools)
        : seen_(seen), pools_(pools) {}

    check_result run() {
        prepare();
        check_reads();
        check_sessions();
        check_writes();
        check_items();
        check_transactions();
        check_answers();
        check_leaving_targets();
        check_configuration();
        return std::move(result_);
    }

private:
    void add(violation_kind kind, std::string description) {
        result_.violations.add(kind, std::move(description));
    }

    void prepare() {
        for (const write_record& write : seen_.writes) {
            if (write.outcome != write_outcome::acknowledged) {
                continue;
            }
            acknowledged_markers_.insert(write.marker);
            if (!write.item.empty()) {
                versions_[{write.pool, write.item}].add(write.end, write.version);
            }
        }
        for (auto& [key, versions] : versions_) {
            versions.prepare();
        }
    }

    /** Freshness against writes that anybody had acknowledged before the read began. */
    void check_reads() {
        for (const read_record& read : seen_.reads) {
            if (read.subject == read_subject::balance_sum) {
                check_balance_read(read);
                continue;
            }
            if (read.subject != read_subject::item_version ||
                read.policy.policy == state::read_policy::kind::own_writes) {
                continue;
            }
            const auto versions = versions_.find({read.pool, read.key});
            if (versions == versions_.end()) {
                continue;
            }
            const std::int64_t required =
                versions->second.get_version_at(read.begin - read.policy.max_age);
            if (read.value < required) {
                add(violation_kind::reads_older_than_asked,
                    read.kind + " of " + read.pool + "/" + read.key + " by session " +
                        std::to_string(read.session) + " returned version " +
                        std::to_string(read.value) + ", version " + std::to_string(required) +
                        " had been acknowledged more than " +
                        std::to_string(read.policy.max_age.count()) + " ms before it began");
            }
        }
    }

    void check_balance_read(const read_record& read) {
        const auto pool = pools_.find(read.pool);
        if (pool != pools_.end() && read.value != pool->second.expected_balance_sum) {
            add(violation_kind::mixed_transactions,
                read.kind + " in " + read.pool + " saw a balance sum of " +
                    std::to_string(read.value) + " instead of " +
                    std::to_string(pool->second.expected_balance_sum));
        }
    }

    /** Read-your-writes and monotonic reads per session. */
    void check_sessions() {
        struct step {
            time_point begin;
            const write_record* write = nullptr;
            const read_record* read = nullptr;
        };
        std::map<std::uint32_t, std::vector<step>> sessions;
        for (const write_record& write : seen_.writes) {
            if (write.outcome == write_outcome::acknowledged) {
                // A write counts for reads that began after its answer.
                sessions[write.session].push_back({write.end, &write, nullptr});
            }
        }
        for (const read_record& read : seen_.reads) {
            sessions[read.session].push_back({read.begin, nullptr, &read});
        }
        for (auto& [session, steps] : sessions) {
            std::ranges::stable_sort(steps, {}, &step::begin);
            session_view view;
            for (const step& current : steps) {
                if (current.write != nullptr) {
                    std::int64_t& own = view.own[{current.write->pool, current.write->item}];
                    own = std::max(own, current.write->version);
                    view.markers.emplace(current.write->marker, current.write);
                } else {
                    check_session_read(view, *current.read);
                }
            }
        }
    }

    struct last_read {
        std::int64_t version = 0;
        std::string marker;
    };

    struct session_view {
        std::map<item_key, std::int64_t> own;
        std::map<item_key, last_read> read;
        std::map<std::string, const write_record*> markers;
    };

    void check_session_read(session_view& view, const read_record& read) {
        const std::string who = read.kind + " of " + read.pool + "/" + read.key + " by session " +
                                std::to_string(read.session) +
                                (read.is_by_replica ? " at a replica" : " at a primary") + " (" +
                                read.details + ")";
        if (read.subject == read_subject::entry_count) {
            const auto write = view.markers.find(read.key);
            if (read.value == 0 && write != view.markers.end()) {
                std::string text = who + " did not see its own row";
                for (const std::string& attempt : write->second->attempts) {
                    text.append("; attempt: ").append(attempt);
                }
                text.append("; acknowledged ms before the read: ");
                text.append(std::to_string(
                    duration_cast<milliseconds>(read.begin - write->second->end).count()));
                add(violation_kind::stale_own_reads, std::move(text));
            }
            return;
        }
        if (read.subject != read_subject::item_version) {
            return;
        }
        const item_key key{read.pool, read.key};
        const auto own = view.own.find(key);
        if (own != view.own.end() && read.value < own->second) {
            add(violation_kind::stale_own_reads,
                who + " returned version " + std::to_string(read.value) +
                    " after its own acknowledged version " + std::to_string(own->second));
        }
        last_read& last = view.read[key];
        if (read.value >= last.version) {
            last = {read.value, read.marker};
            return;
        }
        if (last.marker.empty() || acknowledged_markers_.contains(last.marker)) {
            add(violation_kind::stale_own_reads,
                who + " returned version " + std::to_string(read.value) +
                    " after it had read version " + std::to_string(last.version));
        } else {
            result_.reverted_unacknowledged_reads += 1;
        }
        last = {read.value, read.marker};
    }

    void check_writes() {
        std::map<std::tuple<std::string, std::string, std::int64_t>, std::string> owners;
        for (const write_record& write : seen_.writes) {
            const auto pool = pools_.find(write.pool);
            if (pool == pools_.end()) {
                continue;
            }
            const std::int64_t count = find_count(pool->second.entries, write.marker);
            const std::string who = write.kind + " " + write.marker + " in " + write.pool;
            if (count > 1) {
                add(violation_kind::doubled,
                    who + " is present " + std::to_string(count) + " times");
            }
            if (write.outcome == write_outcome::not_run && count > 0) {
                add(violation_kind::false_not_run, who + " is present after not_run");
            }
            if (write.outcome != write_outcome::acknowledged) {
                continue;
            }
            if (count == 0) {
                add(violation_kind::lost_acknowledged, who + " was acknowledged and is missing");
            }
            if (write.item.empty()) {
                continue;
            }
            const auto [owner, is_new] =
                owners.emplace(std::tuple(write.pool, write.item, write.version), write.marker);
            if (!is_new) {
                add(violation_kind::lost_acknowledged,
                    who + " and " + owner->second + " were both acknowledged as version " +
                        std::to_string(write.version) + " of " + write.item);
            }
        }
    }

    void check_items() {
        for (const auto& [name, pool] : pools_) {
            for (const auto& [item, version] : pool.versions) {
                const std::int64_t entries = find_count(pool.entries_by_item, item);
                if (version != entries) {
                    // Each write adds one row and raises the version once, in one transaction.
                    std::string text = name;
                    text.append("/").append(item).append(" has version ");
                    text.append(std::to_string(version)).append(" and ");
                    text.append(std::to_string(entries)).append(" rows");
                    add(violation_kind::mixed_transactions, std::move(text));
                }
            }
            if (pool.balance_sum != pool.expected_balance_sum) {
                add(violation_kind::mixed_transactions,
                    name + " ends with a balance sum of " + std::to_string(pool.balance_sum) +
                        " instead of " + std::to_string(pool.expected_balance_sum));
            }
        }
        for (const auto& [key, versions] : versions_) {
            const auto pool = pools_.find(key.first);
            if (pool == pools_.end()) {
                continue;
            }
            const std::int64_t last = versions.get_version_at(time_point::max());
            const std::int64_t version = find_count(pool->second.versions, key.second);
            if (version < last) {
                add(violation_kind::lost_acknowledged,
                    key.first + "/" + key.second + " ends at version " + std::to_string(version) +
                        ", version " + std::to_string(last) + " was acknowledged");
            }
        }
    }

    void check_transactions() {
        constexpr std::int64_t legs_of_one = 2;
        for (const transaction_record& transaction : seen_.transactions) {
            const std::string who = "transaction " + transaction.marker;
            if (transaction.has_foreign_rows) {
                add(violation_kind::mixed_transactions, who + " saw rows of another transaction");
            }
            const auto pool = pools_.find(transaction.pool);
            if (pool == pools_.end()) {
                continue;
            }
            const std::int64_t legs = find_count(pool->second.legs, transaction.marker);
            if (legs > legs_of_one) {
                add(violation_kind::doubled, who + " left " + std::to_string(legs) + " legs");
            } else if (legs != 0 && legs != legs_of_one) {
                add(violation_kind::mixed_transactions,
                    who + " left " + std::to_string(legs) + " legs");
            }
            if (legs == 0 && transaction.outcome == write_outcome::acknowledged) {
                add(violation_kind::lost_acknowledged, who + " was acknowledged and is missing");
            }
            if (legs >= legs_of_one && transaction.outcome == write_outcome::not_run) {
                add(violation_kind::false_not_run, who + " is present after not_run");
            }
        }
    }

    void check_answers() {
        for (const answer_record& answer : seen_.answers) {
            if (answer.expected != answer.received) {
                add(violation_kind::wrong_answers, "proxy " + answer.proxy + " answered \"" +
                                                       answer.received + "\" instead of \"" +
                                                       answer.expected + "\"");
            }
        }
    }

    void check_leaving_targets() {
        for (const event_record& event : seen_.events) {
            if (event.kind != event_kind::target_leaving) {
                continue;
            }
            time_point until = time_point::max();
            for (const event_record& other : seen_.events) {
                if (other.kind == event_kind::target_back && other.pool == event.pool &&
                    other.target == event.target && other.at > event.at) {
                    until = std::min(until, other.at);
                }
            }
            for (const answer_record& answer : seen_.answers) {
                // Statements of an open transaction are not new work.
                if (answer.pool == event.pool && answer.target == event.target &&
                    !answer.is_in_transaction && answer.begin > event.effective + leaving_bound &&
                    answer.begin < until) {
                    add(violation_kind::leaving_targets_served,
                        event.pool + "/" + event.target + " served a request that began " +
                            std::to_string(
                                duration_cast<milliseconds>(answer.begin - event.effective)
                                    .count()) +
                            " ms after it was leaving");
                }
            }
        }
    }

    void check_configuration() {
        std::map<std::string, std::vector<const answer_record*>> by_proxy;
        for (const answer_record& answer : seen_.answers) {
            if (answer.configuration_version > 0) {
                by_proxy[answer.proxy].push_back(&answer);
            }
        }
        for (auto& [proxy, answers] : by_proxy) {
            acknowledged_versions shown;
            for (const answer_record* answer : answers) {
                shown.add(answer->end, static_cast<std::int64_t>(answer->configuration_version));
            }
            shown.prepare();
            for (const answer_record* answer : answers) {
                check_configuration_of(*answer, shown.get_version_at(answer->begin));
            }
        }
    }

    void check_configuration_of(const answer_record& answer, std::int64_t shown_before) {
        const auto version = static_cast<std::int64_t>(answer.configuration_version);
        if (version < shown_before) {
            add(violation_kind::configuration_reverted,
                "proxy " + answer.proxy + " went back from version " +
                    std::to_string(shown_before) + " to " + std::to_string(version));
            return;
        }
        for (const event_record& event : seen_.events) {
            if (event.kind == event_kind::configuration_accepted &&
                answer.configuration_version < event.version &&
                answer.begin > event.effective + configuration_bound) {
                add(violation_kind::configuration_reverted,
                    "proxy " + answer.proxy + " still used version " + std::to_string(version) +
                        " more than 3 s after version " + std::to_string(event.version) +
                        " was accepted");
                return;
            }
        }
    }

    const history& seen_;
    const std::map<std::string, final_state>& pools_;
    std::map<item_key, acknowledged_versions> versions_;
    std::set<std::string> acknowledged_markers_;
    check_result result_;
};

}  // namespace

check_result check_history(const history& seen, const std::map<std::string, final_state>& pools) {
    return checker(seen, pools).run();
}

}  // namespace hornbeamhook::load
