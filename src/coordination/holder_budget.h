#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace hornbeamhook::coordination {

/** Numbers holders in the order of their arrival. */
using holder_number = std::uint64_t;

/**
 * Bytes that connections hold against one limit, and which of them has to go when it is exceeded.
 * Not thread safe.
 */
class holder_budget {
public:
    explicit holder_budget(std::size_t limit_bytes) : limit_bytes_(limit_bytes) {}

    void set_limit(std::size_t limit_bytes) { limit_bytes_ = limit_bytes; }

    /** Sets what a holder, known or new, holds now. */
    void update(holder_number holder, std::size_t bytes);
    void remove(holder_number holder);

    /**
     * The holder of the most bytes while the limit is exceeded; empty otherwise. Among equal ones
     * the newest, so that a crowd pays before those that it has joined.
     */
    std::optional<holder_number> find_payer() const;

    std::size_t get_used() const { return used_bytes_; }

private:
    std::size_t limit_bytes_;
    std::size_t used_bytes_ = 0;
    std::map<holder_number, std::size_t> bytes_of_;
    std::set<std::pair<std::size_t, holder_number>> by_bytes_;
};

}  // namespace hornbeamhook::coordination
