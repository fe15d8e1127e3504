#pragma once

#include <vector>

#include "load/answer_record.h"
#include "load/event_record.h"
#include "load/read_record.h"
#include "load/transaction_record.h"
#include "load/write_record.h"

namespace hornbeamhook::load {

/** Everything the simulated callers saw. */
struct history {
    std::vector<write_record> writes;
    std::vector<read_record> reads;
    std::vector<transaction_record> transactions;
    std::vector<answer_record> answers;
    std::vector<event_record> events;

    /** Appends the records of another history. */
    void append(history other);
};

}  // namespace hornbeamhook::load
