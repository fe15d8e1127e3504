#pragma once

#include <cstddef>

#include "load/write_record.h"

namespace hornbeamhook::load {

/** How one operation of a simulated caller ended, for the statistics. */
struct operation_sample {
    std::size_t operation = 0;  ///< Index in the workload.
    time_point scheduled;       ///< When it should have begun; latency counts from here.
    time_point end;
    write_outcome outcome = write_outcome::unknown;  ///< `acknowledged` also for answered reads.
    bool is_by_replica = false;
};

}  // namespace hornbeamhook::load
