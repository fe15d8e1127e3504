#pragma once

#include <cstdint>

namespace hornbeamhook::coordination {

/**
 * How long a statement may wait for a connection, in ms. For an overloaded target: what waited
 * longer would be answered after its objective, and take a slot from a statement that can still be
 * answered in time. `answer_ms` is the usual time from sending to the answer, with the queue of the
 * target itself; 0 when it is not known. Pure, thread safe.
 */
std::int64_t get_max_wait_ms(std::int64_t objective_ms, double answer_ms);

/**
 * When a statement can be expected to get one of the connections, in ms from now, behind `ahead`
 * others. A statement for which this is longer than it may wait should be refused at once, so that
 * its caller can try elsewhere. Without connections nothing is known, and the result is 0. Pure,
 * thread safe.
 */
std::int64_t get_expected_wait_ms(int ahead, int connections, double answer_ms);

}  // namespace hornbeamhook::coordination
