#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "protocol/table_client.h"
#include "proxy/audit_log.h"

namespace hornbeamhook::proxy {

/**
 * Numbers audit records and holds them until they are written. A record that does not fit uses up
 * its number, so that the gap stays visible; a record of kind "audit_gap" names the missing range.
 * Not thread safe.
 */
class audit_buffer {
public:
    /** `vm` and `incarnation` prefix the row keys; at most `capacity` records are held. */
    audit_buffer(std::string vm, std::uint64_t incarnation, std::size_t capacity);

    /** Numbers and holds a record; `at_ms` is the wall clock. */
    void append(audit_record record, std::int64_t at_ms);

    /**
     * The oldest records as rows, at most `limit`. The same rows are returned until confirm(), so
     * that a repeated write cannot double a record.
     */
    const std::vector<protocol::table_write>& get_batch(std::size_t limit);

    /** The rows of the last get_batch() are stored. */
    void confirm(std::int64_t at_ms);

    /** Whether nothing is held. */
    bool is_empty() const { return records_.empty(); }

private:
    struct numbered_record {
        std::uint64_t sequence = 0;
        std::int64_t at_ms = 0;
        audit_record record;
    };

    void add_rows(const numbered_record& item);

    std::string vm_;
    std::uint64_t incarnation_;
    std::size_t capacity_;
    std::uint64_t next_sequence_ = 1;
    std::deque<numbered_record> records_;
    std::vector<protocol::table_write> batch_;
    std::size_t batch_records_ = 0;
    std::uint64_t first_dropped_ = 0;
    std::uint64_t last_dropped_ = 0;
};

}  // namespace hornbeamhook::proxy
