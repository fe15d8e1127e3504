#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "coordination/operation_limits.h"

namespace hornbeamhook::coordination {

/** A rule that tests break on purpose, to show that their check detects it. */
enum class limit_fault {
    none,
    keeps_votes,
    votes_twice,
    uses_late_grants,
    starts_full,
    repeats_grants,
};

/**
 * Grants operations of the organisations of one shard, at the share of each limit that VMs have
 * lent by their votes. The shares of all accountants of a shard add up to at most one, so their
 * grants together keep each limit. Not thread safe.
 */
class limit_accountant {
public:
    /** The bucket of an organisation by the configuration in force; empty: no limit is known. */
    using bucket_source = std::function<std::optional<limit_bucket>(const std::string&)>;

    /** Preconditions: `process` is not 0 and differs between processes of the same VM; `buckets`
     * remains callable. */
    limit_accountant(std::uint64_t process, const limit_timing& timing, bucket_source buckets,
                     limit_fault fault = limit_fault::none);

    /** Counts the vote and grants what the share allows. A repeated request gets the answer of the
     * first one; an older one gets none. Precondition: `now` doesn't decrease. */
    std::optional<limit_answer> handle(const limit_request& request, std::int64_t now);

    /** Drops expired votes. Precondition: `now` doesn't decrease. */
    void advance(std::int64_t now);

    /** The share of each limit that this accountant grants, 0 to 1. */
    double get_share() const;

private:
    struct voter {
        std::uint64_t process = 0;
        std::int64_t heard_at = 0;
        std::int64_t vote_until = 0;
        double share = 0;  ///< 0 after the vote has expired.
        limit_answer last_answer;
    };
    struct waiting_vm {
        std::int64_t count = 0;
        std::int64_t asked_at = 0;
        /// Part of the level that is owed to this VM; negative after it got more than its share.
        double due = 0;
    };
    struct account {
        double level = 0;
        double filled_share_ms = 0;  ///< Value of share_ms_ up to which the bucket was filled.
        std::map<std::string, waiting_vm> waiting;
    };

    void expire_votes(std::int64_t now);
    void cut_levels();
    void count_vote(const limit_request& request, std::int64_t now);
    limit_grant grant(const std::string& vm, const limit_demand& demand, std::int64_t now);
    void fill(account& value, const limit_bucket& bucket) const;
    void make_room(std::int64_t now);

    std::uint64_t process_;
    limit_timing timing_;
    bucket_source buckets_;
    limit_fault fault_;
    std::int64_t now_ = 0;
    double share_ms_ = 0;  ///< Integral of the share over time.
    std::map<std::string, voter> voters_;
    std::map<std::string, account> accounts_;
};

}  // namespace hornbeamhook::coordination
