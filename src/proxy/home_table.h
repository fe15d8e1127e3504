#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "protocol/proxy_settings.h"
#include "state/configuration.h"
#include "state/copy_on_write.h"
#include "state/member.h"

namespace hornbeamhook::proxy {

/** The home proxies of every target, kept up to date at the cost of what changed. Not thread safe.
 */
class home_table {
public:
    using home_map = state::copy_on_write<std::map<std::string, std::vector<state::member>>>;
    using member_list = state::copy_on_write<std::vector<state::member>>;

    /** With the fixed split every live member is a home of every target. */
    home_table(protocol::connection_layout layout, std::size_t homes_per_target);

    /** Computes the homes for these live members, which are ordered by vm. */
    void update(std::shared_ptr<const state::configuration> config,
                const std::vector<state::member>& live);

    /** Homes of "pool/target", best first, as of the last update(). */
    const home_map& get_homes() const { return homes_; }

    /** The live members of the last update(). */
    const member_list& get_live() const { return live_; }

    /** Per target of the pool, the homes that poll the group. The pool must be part of the last
     * update(). */
    std::vector<std::vector<state::member>> find_pollers(const state::pool_description& pool) const;

private:
    const bool is_split_;
    const std::size_t homes_per_target_;
    home_map homes_;
    member_list live_;
    std::shared_ptr<const state::configuration> config_;
};

}  // namespace hornbeamhook::proxy
