#pragma once

#include "proxy/fleet_service.h"
#include "proxy/group_source.h"

namespace hornbeamhook::proxy {

/** The group source of a real fleet. */
class fleet_group_source : public group_source {
public:
    /** `fleet` must outlive this. */
    explicit fleet_group_source(fleet_service& fleet) : fleet_(fleet) {}

    std::shared_ptr<const state::fleet_view> get_view() const override { return fleet_.get_view(); }

    std::shared_ptr<const state::group_view> wait_for_group(
        const std::string& pool, state::time_point deadline,
        const std::function<bool(const state::group_view&)>& is_satisfied) override {
        return fleet_.wait_for_group(pool, deadline, is_satisfied);
    }

    void request_poll(const std::string& pool) override { fleet_.request_poll(pool); }

    void report_target_failure(const std::string& pool, const std::string& target) override {
        fleet_.report_target_failure(pool, target);
    }

    void report_primary(const std::string& pool, const state::primary_view& primary) override {
        fleet_.report_primary(pool, primary);
    }

private:
    fleet_service& fleet_;
};

}  // namespace hornbeamhook::proxy
