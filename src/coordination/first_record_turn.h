#pragma once

#include <cstdint>
#include <optional>

namespace hornbeamhook::coordination {

/**
 * Decides when a VM looks for the primary of a group that has no leadership record yet. The VMs
 * that may write the record take turns in the order of their ranks: when a whole fleet starts, a
 * search by every VM in every group opens as many connections as there are VMs times groups. Not
 * thread safe; times are of one local clock, in ms.
 */
class first_record_turn {
public:
    /** Whether the VM may search now. `rank` is its position among the VMs that may write the
     * record; empty if it may not, which also ends its wait. */
    bool is_due(std::optional<int> rank, std::int64_t now);

private:
    std::optional<std::int64_t> waiting_since_;
};

}  // namespace hornbeamhook::coordination
