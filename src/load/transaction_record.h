#pragma once

#include <cstdint>
#include <string>

#include "load/write_record.h"

namespace hornbeamhook::load {

/** One transaction that moves stock between two balances and leaves two legs with its marker. */
struct transaction_record {
    std::uint32_t session = 0;
    std::string pool;
    std::string marker;
    time_point begin;
    time_point end;
    write_outcome outcome = write_outcome::unknown;  ///< Of the commit; not_run when rolled back.
    bool has_foreign_rows = false;  ///< It saw rows that are not its own where it had written.
};

}  // namespace hornbeamhook::load
