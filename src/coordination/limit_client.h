#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/limit_accountant.h"
#include "coordination/operation_limits.h"

namespace hornbeamhook::coordination {

/** A request and the VM that it goes to. */
struct addressed_limit_request {
    std::string to;
    limit_request request;
};

/**
 * The part of one shard at a VM that takes statements: whom it asks, to whom it lends its share,
 * and the grants that it holds. Not thread safe.
 */
class limit_client {
public:
    /** No vote is given before `no_vote_before`: the votes of a process before this one must have
     * expired (start + vote_duration_ms), and a new VM waits until the others know that their own
     * shares are smaller (start + list_spread_ms). Precondition: `process` is not 0 and differs
     * between processes of the VM. */
    limit_client(std::string vm, std::uint64_t process, std::int64_t shard,
                 const limit_timing& timing, std::int64_t no_vote_before,
                 limit_fault fault = limit_fault::none);

    /** The VMs that may be the accountant, best first, and the number of listed VMs. */
    void set_candidates(std::vector<std::string> candidates, std::int64_t members,
                        std::int64_t now);

    /** Sets how many operations of the organisation wait for a grant. */
    void set_waiting(const std::string& organisation, std::int64_t count);

    /** The request that is due, if any. Precondition: `now` doesn't decrease. */
    std::optional<addressed_limit_request> poll(std::int64_t now);

    /** Takes the grants of an answer and returns the organisations that have got any. Answers to
     * other requests than the newest one grant nothing. */
    std::vector<std::string> handle(const limit_answer& answer, std::int64_t now);

    /** Uses one grant: the operation may be sent before the returned time. Empty: none is left. */
    std::optional<std::int64_t> take(const std::string& organisation, std::int64_t now);

    /** Whether an operation with `ahead` others of this VM before it will not get a grant within
     * `left_ms`, by the accountant's newest answer and the time since. False while no answer is
     * recent enough to tell. */
    bool is_hopeless(const std::string& organisation, std::int64_t ahead, std::int64_t left_ms,
                     std::int64_t now) const;

private:
    struct held_grants {
        std::int64_t count = 0;
        std::int64_t until = 0;
    };
    struct account {
        std::int64_t waiting = 0;
        std::int64_t ask_at = 0;
        std::int64_t wait_ms = 0;
        std::int64_t left = 0;  ///< Operations that were asked for and not granted.
        std::int64_t answered_at = 0;
        bool is_listed = false;  ///< The accountant knows of operations that still wait.
        std::vector<held_grants> grants;
    };
    struct open_request {
        addressed_limit_request message;
        std::int64_t first_sent_at = 0;
        std::int64_t last_sent_at = 0;
    };

    std::string choose_accountant(std::int64_t now) const;
    bool may_vote(const std::string& accountant, std::int64_t now) const;
    std::vector<limit_demand> collect_demands(std::int64_t now);
    std::int64_t count_missing(const account& value) const;
    std::int64_t get_members(std::int64_t now);

    std::string vm_;
    std::uint64_t process_;
    std::int64_t shard_;
    limit_timing timing_;
    std::int64_t no_vote_before_;
    limit_fault fault_;
    std::vector<std::string> candidates_;
    std::map<std::int64_t, std::int64_t> member_counts_;  ///< Count and time it was last valid.
    std::int64_t members_ = 0;
    std::map<std::string, std::int64_t> avoided_until_;
    std::string accountant_;  ///< Of the newest request.
    accountant_moment moment_;
    std::int64_t moment_known_at_ = 0;
    std::string vote_holder_;
    std::int64_t vote_until_ = 0;
    std::int64_t renew_at_ = 0;
    std::int64_t polled_at_ = 0;
    std::int64_t number_ = 0;
    std::optional<open_request> open_;
    std::map<std::string, account> accounts_;
};

}  // namespace hornbeamhook::coordination
