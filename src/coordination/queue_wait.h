#pragma once

#include <cstdint>

namespace hornbeamhook::coordination {

/**
 * Longest time that a statement may wait for a connection, in ms. At an overloaded target a
 * statement that waited longer would be answered after its objective, and take a slot from one that
 * can still be answered in time. `answer_ms` is the usual time from sending to the answer,
 * including the queue of the target itself; 0 when it is not known. Pure, thread safe.
 */
std::int64_t get_max_wait_ms(std::int64_t objective_ms, double answer_ms);

/**
 * Expected time until a statement behind `ahead` others gets one of the connections, in ms, with a
 * margin for answers that take longer than usual. If this
 * is longer than it may wait, it should be refused at once, so that its caller can try elsewhere.
 * Without connections nothing is known, and the result is 0. Pure, thread safe.
 */
std::int64_t get_expected_wait_ms(int ahead, int connections, double answer_ms);

/**
 * How long a statement waits while this VM knows of no target that may run it, in ms. A VM that
 * lost a primary or its lease refuses it early, because another VM may still serve it. A VM that
 * has started `since_start_ms` ago and knows no primary yet usually learns of it within 100 ms, and
 * when the whole fleet restarts all other VMs are in the same state. Pure, thread safe.
 */
std::int64_t get_not_runnable_wait_ms(std::int64_t objective_ms, bool is_primary_known,
                                      std::int64_t since_start_ms);

}  // namespace hornbeamhook::coordination
