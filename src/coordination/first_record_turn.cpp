#include "coordination/first_record_turn.h"

namespace hornbeamhook::coordination {

namespace {

/// A connection to the primary, the write, and the read by which the next VM learns of it.
constexpr std::int64_t turn_ms = 400;

}  // namespace

bool first_record_turn::is_due(std::optional<int> rank, std::int64_t now) {
    if (!rank) {
        waiting_since_.reset();
        return false;
    }
    waiting_since_ = waiting_since_.value_or(now);
    return now - *waiting_since_ >= *rank * turn_ms;
}

}  // namespace hornbeamhook::coordination
