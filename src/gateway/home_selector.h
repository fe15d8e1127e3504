#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "gateway/home_plan.h"

namespace hornbeamhook::gateway {

/**
 * Which homes this VM should use for its statements, by how they answered. Loop thread only; all
 * times are boot times in ms.
 */
class home_selector {
public:
    explicit home_selector(std::string vm) : vm_(std::move(vm)) {}

    /**
     * The home for a new statement at the target: the first one in this VM's order that answers,
     * or else one that is silent; empty when all rest or are in `avoided`.
     */
    std::string select(const home_plan& plan, const std::string& target,
                       const std::set<std::string>& avoided, std::int64_t now) const;

    /** Whether the VM is a home that does not rest. */
    bool may_use(const home_plan& plan, const std::string& home, std::int64_t now) const;

    /** Whether all homes rest, so that only a direct connection is left. */
    bool is_every_home_backing_off(const home_plan& plan, std::int64_t now) const;

    /** Whether statements have waited for long and nothing was heard meanwhile. */
    bool is_unresponsive(const std::string& home, std::int64_t now) const;

    /** The connection to the home failed. */
    void back_off(const std::string& home, std::int64_t now);

    /** The home answered a statement. */
    void handle_answer(const std::string& home, std::int64_t now);

    /** Forgets which statements wait; call before add_waiting() for each of them. */
    void clear_waiting();

    /** A statement sent to the home at `since` has no answer. */
    void add_waiting(const std::string& home, std::int64_t since);

private:
    struct home_state {
        std::int64_t last_answer_at = 0;
        std::int64_t waiting_since = 0;  ///< Oldest unanswered statement after it; 0 without one.
        std::int64_t backoff_until = 0;
    };

    bool is_backing_off(const std::string& home, std::int64_t now) const;

    std::string vm_;
    std::map<std::string, home_state> home_states_;
};

}  // namespace hornbeamhook::gateway
