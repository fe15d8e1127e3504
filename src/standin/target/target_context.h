#pragma once

#include "standin/target/fault_state.h"
#include "standin/target/fifo_gate.h"
#include "standin/target/group_member.h"
#include "standin/target/target_counters.h"
#include "standin/target/target_settings.h"

namespace hornbeamhook::standin::target {

/** What all threads of one target share. */
struct target_context {
    explicit target_context(target_settings value)
        : settings(std::move(value)),
          faults(settings.replication_lag),
          member(settings),
          slots(settings.slots) {}

    const target_settings settings;
    fault_state faults;
    group_member member;
    fifo_gate slots;
    target_counters counters;
};

}  // namespace hornbeamhook::standin::target
