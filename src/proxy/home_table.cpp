#include "proxy/home_table.h"

#include <utility>

#include "coordination/home_assignment.h"

namespace hornbeamhook::proxy {

using state::member;

home_table::home_table(protocol::connection_layout layout, std::size_t homes_per_target)
    : is_split_(layout == protocol::connection_layout::fixed_split),
      homes_per_target_(homes_per_target) {}

void home_table::update(std::shared_ptr<const state::configuration> config,
                        const std::vector<member>& live) {
    const std::size_t count = is_split_ ? live.size() : homes_per_target_;
    const coordination::member_change change = coordination::compare_members(live_.get(), live);
    std::map<std::string, std::vector<member>> next;
    for (const auto& [name, pool] : config->pools) {
        const state::pool_description* before = config_ ? config_->find_pool(name) : nullptr;
        for (const state::target_description& target : pool.targets) {
            const std::string key = name + "/" + target.name;
            const state::target_description* old =
                before == nullptr ? nullptr : before->find_target(target.name);
            const bool is_known = !is_split_ && old != nullptr && old->place == target.place &&
                                  old->data_center == target.data_center && homes_.contains(key);
            next.emplace(key, is_known ? coordination::update_homes(name, target, homes_.at(key),
                                                                    change, live, count)
                                       : coordination::get_homes(name, target, live, count));
        }
    }
    homes_ = std::move(next);
    live_ = live;
    config_ = std::move(config);
}

std::vector<std::vector<member>> home_table::find_pollers(
    const state::pool_description& pool) const {
    std::vector<std::vector<member>> pollers;
    for (const state::target_description& target : pool.targets) {
        pollers.push_back(homes_.at(pool.name + "/" + target.name));
        // With the fixed split every proxy is listed, but a few pollers suffice.
        if (pollers.back().size() > homes_per_target_) {
            pollers.back().resize(homes_per_target_);
        }
    }
    return pollers;
}

}  // namespace hornbeamhook::proxy
