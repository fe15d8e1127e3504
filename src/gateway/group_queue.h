#pragma once

#include <cstdint>

#include "gateway/organisation_table.h"
#include "gateway/pending_statement.h"
#include "gateway/target_group.h"

namespace hornbeamhook::gateway {

// Order of the statements that wait for the targets of a group, and how long they may wait. Loop
// thread only; `now` is in ms.

/// Without answers for this long the mean answer time of a target says nothing.
inline constexpr std::int64_t answer_time_expiry_ms = 2000;

/** Maximum wait of the statement for a connection, from its arrival, in ms. */
std::int64_t get_wait_limit(const target_group& group, const pending_statement& pending,
                            std::int64_t now);

/** Whether open transactions hold all connections of this VM to the target of a statement that
 * another VM passes on. They hold them for as long as their callers want, and another home may have
 * a connection. */
bool is_every_link_held(const target_group& group, const pending_statement& pending);

/** Whether the wait behind earlier statements for the same primary is expected to exceed the wait
 * limit. False where it is not known. */
bool is_expected_wait_too_long(const target_group& group, const pending_statement& pending,
                               std::int64_t now);

/** Adds a statement to the queue, which is ordered by priority, then arrival. */
void enqueue(target_group& group, const pending_statement_ptr& pending);

/** Orders the queue by priority, then arrival. */
void arrange(target_group& group);

/** Orders the queue by coordination::fair_order. */
void arrange_fairly(target_group& group, const organisation_table& organisations, std::int64_t now);

/** Adds a statement to the queue and arranges it fairly. Returns false, and leaves the statement
 * out, if its wait at any target that may run it is expected to exceed its wait limit. */
bool enqueue_fairly(target_group& group, const pending_statement_ptr& pending,
                    const organisation_table& organisations, std::int64_t now);

}  // namespace hornbeamhook::gateway
