#pragma once

#include <functional>
#include <memory>
#include <string>

#include "state/fleet_view.h"
#include "state/group_view.h"

namespace hornbeamhook::proxy {

/** What the data path needs of the control side; see fleet_service. Thread safe. */
class group_source {
public:
    group_source() = default;
    virtual ~group_source() = default;
    group_source(const group_source&) = delete;
    group_source& operator=(const group_source&) = delete;

    /** The newest snapshot; never null. */
    virtual std::shared_ptr<const state::fleet_view> get_view() const = 0;

    /** See fleet_service::wait_for_group(). */
    virtual std::shared_ptr<const state::group_view> wait_for_group(
        const std::string& pool, state::time_point deadline,
        const std::function<bool(const state::group_view&)>& is_satisfied) = 0;

    /** Asks for a poll round that begins after this call. */
    virtual void request_poll(const std::string& pool) = 0;

    /** An exchange with a target failed. */
    virtual void report_target_failure(const std::string& pool, const std::string& target) = 0;

    /** A home named this primary. */
    virtual void report_primary(const std::string& pool, const state::primary_view& primary) = 0;
};

}  // namespace hornbeamhook::proxy
