#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "gateway/home_plan.h"

namespace hornbeamhook::gateway {

/**
 * Selects the home that runs a statement of this VM, based on how the homes have answered. Loop
 * thread only; all times are boot times in ms.
 */
class home_selector {
public:
    explicit home_selector(std::string vm) : vm_(std::move(vm)) {}

    /**
     * The home for a new statement: the first responsive one in the order of preference of the
     * organisation, or of this VM if it is empty, or else an unresponsive one; empty when all are
     * backing off or in `avoided`.
     */
    std::string select(const home_plan& plan, const std::string& target,
                       const std::string& organisation, const std::set<std::string>& avoided,
                       std::int64_t now) const;

    /** Whether the VM is a home and is not backing off. */
    bool may_use(const home_plan& plan, const std::string& home, std::int64_t now) const;

    /** Whether all homes are backing off, so that only a direct connection is left. */
    bool is_every_home_backing_off(const home_plan& plan, std::int64_t now) const;

    /** Whether the home has left statements unanswered for too long without any answer since. */
    bool is_unresponsive(const std::string& home, std::int64_t now) const;

    /** Excludes the home for a while because the connection to it failed. */
    void back_off(const std::string& home, std::int64_t now);

    /** Records that the home answered a statement. */
    void handle_answer(const std::string& home, std::int64_t now);

    /** Clears the waiting statements, before add_waiting() is called for each of them. */
    void clear_waiting();

    /** Adds a statement that was sent to the home at `since` and has no answer yet. */
    void add_waiting(const std::string& home, std::int64_t since);

private:
    struct home_state {
        std::int64_t last_answer_at = 0;
        std::int64_t waiting_since = 0;  ///< Oldest statement unanswered since then; 0 if none.
        std::int64_t backoff_until = 0;
    };

    bool is_backing_off(const std::string& home, std::int64_t now) const;

    std::string vm_;
    std::map<std::string, home_state> home_states_;
};

}  // namespace hornbeamhook::gateway
