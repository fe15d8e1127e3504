#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "state/group_view.h"

namespace hornbeamhook::coordination {

/** Result of claiming an open transaction. */
enum class transaction_claim_result {
    granted,
    gone,  ///< Never existed here, ended, or timed out.
    busy,  ///< Another statement of the same transaction is running.
};

/** Result of an operator's request to end a transaction. */
enum class transaction_end_result {
    gone,    ///< Never existed here, or ended already.
    idle,    ///< Not in use: expire() returns it from now on.
    in_use,  ///< expire() returns it once the running statement has ended.
};

/** One open transaction. */
struct open_transaction {
    std::uint64_t number = 0;
    std::string pool;
    std::string caller;
    state::time_point opened{};
    state::time_point last_used{};
    bool is_busy = false;  ///< A statement of it is running.

    bool operator==(const open_transaction&) const = default;
};

/** Time limits of open transactions. */
struct transaction_limits {
    std::chrono::milliseconds idle{5000};
    std::chrono::milliseconds total{30000};
};

/** Open transactions of one home, with their owners, use and time limits. Not thread-safe. */
class transaction_registry {
public:
    explicit transaction_registry(transaction_limits limits) : limits_(limits) {}

    /** Adds a transaction, in use by the request that opened it. Returns its number. */
    std::uint64_t open(const std::string& pool, const std::string& caller, state::time_point now);

    /** Claims a transaction for one request; only its own pool and caller may do so. */
    transaction_claim_result claim(std::uint64_t number, const std::string& pool,
                                   const std::string& caller, state::time_point now);

    /** Ends the use of a claimed transaction; its idle time starts. */
    void release(std::uint64_t number, state::time_point now);

    /** Removes a transaction. */
    void close(std::uint64_t number);

    /** Marks a transaction of `pool` as ended: no request can claim it any more. A running
     * statement is not interrupted. */
    transaction_end_result mark_ended(std::uint64_t number, const std::string& pool);

    /** All open transactions, by number. */
    std::vector<open_transaction> get_open_transactions() const;

    /** When a transaction reaches its total time limit. */
    state::time_point get_deadline(std::uint64_t number) const;

    /** Removes and returns transactions that are past a limit or marked, and not in use. */
    std::vector<std::uint64_t> expire(state::time_point now);

    /** Open transactions. */
    std::size_t get_size() const { return entries_.size(); }

private:
    struct entry {
        std::string pool;
        std::string caller;
        state::time_point opened{};
        state::time_point last_used{};
        bool is_busy = true;
        bool is_ended = false;  ///< By an operator.
    };

    bool is_past_limit(const entry& value, state::time_point now) const;

    transaction_limits limits_;
    std::map<std::uint64_t, entry> entries_;
    std::uint64_t next_number_ = 1;
};

}  // namespace hornbeamhook::coordination
