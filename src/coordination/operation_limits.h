#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hornbeamhook::coordination {

// All times are milliseconds of a clock that counts suspensions (boot time). Clocks of different
// VMs are never compared.

/** How long votes and grants hold, and how often they are asked for. */
struct limit_timing {
    std::int64_t vote_duration_ms = 600;
    std::int64_t vote_renewal_ms = 200;
    /// A grant is used within this time of the request that asked for it, or not at all.
    std::int64_t grant_duration_ms = 400;
    /// How much longer one statement may be under way than another one.
    std::int64_t send_delay_ms = 100;
    /// Longer than a round trip between regions and a turn of a busy event loop.
    std::int64_t resend_ms = 60;
    /// An accountant that does not answer for this time is replaced by the next candidate.
    std::int64_t answer_limit_ms = 250;
    std::int64_t avoid_ms = 1000;
    /// Time within which every VM in touch knows a change of the list of VMs.
    std::int64_t list_spread_ms = 15000;

    bool operator==(const limit_timing&) const = default;
};

/** The limit of an organisation and the tolerance with which it is judged. */
struct limit_terms {
    std::int64_t rate_per_s = 0;
    std::int64_t burst = 0;
    std::int64_t window_ms = 5000;
    double excess = 0;
    std::int64_t slack = 0;

    bool operator==(const limit_terms&) const = default;
};

/** The bucket that all accountants of an organisation have together. */
struct limit_bucket {
    double capacity = 0;     ///< Operations.
    double rate_per_ms = 0;  ///< Operations a millisecond.

    bool operator==(const limit_bucket&) const = default;
};

/** Operations that may be sent within one window: (rate x window + burst) x (1 + excess) + slack.
 * Pure, thread safe. */
double get_window_allowance(const limit_terms& terms);

/**
 * The largest bucket whose grants keep the allowance although a grant is used up to
 * `grant_duration_ms` after it was given and statements arrive with different delays: what is sent
 * within a window was granted within the window and this time before it. Pure, thread safe.
 */
limit_bucket get_bucket(const limit_terms& terms, const limit_timing& timing);

/** Operations of one organisation that wait at the VM that asks. */
struct limit_demand {
    std::string organisation;
    std::int64_t count = 0;

    bool operator==(const limit_demand&) const = default;
};

/** Identifies a moment of an accountant's clock. A process that starts again has another number, so
 * its clock is never confused with that of the process before it. */
struct accountant_moment {
    std::uint64_t process = 0;  ///< 0: none.
    std::int64_t at = 0;

    bool operator==(const accountant_moment&) const = default;
};

/** Asks for operations and lends the share of the asking VM. */
struct limit_request {
    std::string vm;
    std::uint64_t process = 0;
    std::int64_t shard = 0;
    std::int64_t number = 0;  ///< Grows by one with each new request; equal when it is sent again.
    /// With a vote: the moment of the newest answer that the sender had. The vote holds for
    /// vote_duration_ms from that moment, which is before the request was sent. So it expires by
    /// the sender's clock no sooner than by the accountant's, however late the request arrives.
    accountant_moment vote_from;
    std::int64_t members = 0;  ///< The vote is worth 1 / members of each limit.
    std::vector<limit_demand> demands;

    bool operator==(const limit_request&) const = default;
};

struct limit_grant {
    std::string organisation;
    std::int64_t count = 0;
    /// Time until the operations that wait for the organisation at all VMs could be granted.
    std::int64_t wait_ms = 0;

    bool operator==(const limit_grant&) const = default;
};

struct limit_answer {
    std::uint64_t process = 0;  ///< Of the request.
    std::int64_t shard = 0;
    std::int64_t number = 0;
    accountant_moment moment;
    std::vector<limit_grant> grants;

    bool operator==(const limit_answer&) const = default;
};

/// Bounds the size of a datagram: the demands of one request.
inline constexpr std::size_t max_limit_demands = 24;
/// Operations that one VM may ask for at once.
inline constexpr std::int64_t max_limit_demand = 10000;

}  // namespace hornbeamhook::coordination
