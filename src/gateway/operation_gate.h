#pragma once

#include <cstdint>

#include "gateway/pending_statement.h"

namespace hornbeamhook::gateway {

/** Decides which operations of limited organisations may be sent. Loop thread only. */
class operation_gate {
public:
    operation_gate() = default;
    virtual ~operation_gate() = default;
    operation_gate(const operation_gate&) = delete;
    operation_gate& operator=(const operation_gate&) = delete;

    /** Whether the statement may be sent now. If not, it is noted as waiting, and its group is
     * dispatched when it may. */
    virtual bool allow(const pending_statement_ptr& pending, std::int64_t now) = 0;

    /** Whether a waiting statement will not be allowed within `left_ms`, by what is known of the
     * limit; more urgent statements of its organisation are allowed first. */
    virtual bool is_hopeless(const pending_statement& pending, std::int64_t left_ms,
                             std::int64_t now) const = 0;

    /** Counts a waiting statement that is refused because of the limit. */
    virtual void count_refused(const pending_statement& pending) = 0;
};

}  // namespace hornbeamhook::gateway
