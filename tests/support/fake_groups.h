#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "proxy/group_source.h"

namespace hornbeamhook::tests {

/** A group source whose views the test sets. Thread safe. */
class fake_groups : public proxy::group_source {
public:
    std::shared_ptr<const state::fleet_view> get_view() const override {
        const std::scoped_lock lock(mutex_);
        return view_;
    }

    std::shared_ptr<const state::group_view> wait_for_group(
        const std::string& pool, state::time_point deadline,
        const std::function<bool(const state::group_view&)>& is_satisfied) override {
        while (true) {
            std::shared_ptr<const state::fleet_view> view;
            {
                const std::scoped_lock lock(mutex_);
                view = view_;
            }
            const auto group = view->polled_groups.find(pool);
            if (group == view->polled_groups.end()) {
                return nullptr;
            }
            if (is_satisfied(*group->second) || std::chrono::steady_clock::now() >= deadline) {
                return group->second;
            }
            std::unique_lock lock(mutex_);
            changed_.wait_until(lock, deadline, [&] { return view_ != view; });
        }
    }

    void request_poll(const std::string& /*pool*/) override {
        const std::scoped_lock lock(mutex_);
        ++polls_;
    }

    void report_target_failure(const std::string& /*pool*/, const std::string& target) override {
        const std::scoped_lock lock(mutex_);
        failures_.push_back(target);
    }

    void report_primary(const std::string& pool, const state::primary_view& primary) override {
        set([&](state::fleet_view& view) { view.primaries[pool] = primary; });
    }

    /** Publishes a changed copy of the view. */
    void set(const std::function<void(state::fleet_view&)>& change) {
        {
            const std::scoped_lock lock(mutex_);
            auto next = std::make_shared<state::fleet_view>(*view_);
            change(*next);
            view_ = next;
        }
        changed_.notify_all();
    }

    /** Publishes a changed copy of one group's view. */
    void set_group(const std::string& pool, const std::function<void(state::group_view&)>& change) {
        set([&](state::fleet_view& view) {
            std::shared_ptr<const state::group_view>& group = view.polled_groups[pool];
            auto next = group ? std::make_shared<state::group_view>(*group)
                              : std::make_shared<state::group_view>();
            change(*next);
            group = next;
        });
    }

    std::vector<std::string> get_failures() const {
        const std::scoped_lock lock(mutex_);
        return failures_;
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::shared_ptr<const state::fleet_view> view_ = std::make_shared<const state::fleet_view>();
    int polls_ = 0;
    std::vector<std::string> failures_;
};

}  // namespace hornbeamhook::tests
