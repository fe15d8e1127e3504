#include "proxy/audit_buffer.h"

#include <algorithm>
#include <array>
#include <utility>

#include "protocol/audit_key.h"

namespace hornbeamhook::proxy {

using nlohmann::json;

namespace {

constexpr const char* audit_table = "audit";
constexpr const char* failover_table = "failover";
constexpr const char* promotion_kind = "promotion";
constexpr const char* promotion_seen_kind = "promotion_seen";
// Phases of a promotion in order, as the fleet's audit records name them.
constexpr std::array<const char*, 5> phase_names{"detection_ms", "claim_ms", "fencing_ms",
                                                 "promotion_ms", "adoption_ms"};
/**
 * How long writes were not accepted: the sum of the phases of a promotion, from the last answer of
 * the old primary to the adoption of the new one. Null when the details name no phase.
 */
json get_gap(const json& details) {
    std::int64_t gap = 0;
    bool is_known = false;
    for (const char* phase : phase_names) {
        if (details.is_object() && details.contains(phase) && details[phase].is_number_integer()) {
            gap += details[phase].get<std::int64_t>();
            is_known = true;
        }
    }
    return is_known ? json(gap) : json();
}

}  // namespace

audit_buffer::audit_buffer(std::string vm, std::uint64_t incarnation, std::size_t capacity)
    : vm_(std::move(vm)), incarnation_(incarnation), capacity_(capacity) {}

void audit_buffer::append(audit_record record, std::int64_t at_ms) {
    const std::uint64_t sequence = next_sequence_++;
    if (records_.size() >= capacity_) {
        first_dropped_ = first_dropped_ == 0 ? sequence : first_dropped_;
        last_dropped_ = sequence;
        return;
    }
    records_.push_back({sequence, at_ms, std::move(record)});
}

const std::vector<protocol::table_write>& audit_buffer::get_batch(std::size_t limit) {
    if (batch_records_ == 0) {
        batch_records_ = std::min(limit, records_.size());
        for (std::size_t i = 0; i < batch_records_; ++i) {
            add_rows(records_[i]);
        }
    }
    return batch_;
}

void audit_buffer::add_rows(const numbered_record& item) {
    const std::string key = protocol::make_audit_key(vm_, incarnation_, item.sequence);
    json value{{"vm", vm_},
               {"incarnation", incarnation_},
               {"sequence", item.sequence},
               {"at_ms", item.at_ms},
               {"kind", item.record.kind},
               {"subject", item.record.subject},
               {"reason", item.record.reason},
               {"details", item.record.details}};
    const bool is_second_hand = item.record.kind == promotion_seen_kind;
    if (item.record.kind == promotion_kind || is_second_hand) {
        // A table of its own, by month, so that reports need not read the whole audit trail.
        json failover = value;
        failover["audit_key"] = key;
        failover["gap_ms"] = is_second_hand ? item.record.details.value("seen_gap_ms", json())
                                            : get_gap(item.record.details);
        failover["is_second_hand"] = is_second_hand;
        batch_.push_back(
            {failover_table, protocol::make_failover_key(item.at_ms, key), std::move(failover)});
    }
    batch_.push_back({audit_table, key, std::move(value)});
}

void audit_buffer::confirm(std::int64_t at_ms) {
    records_.erase(records_.begin(),
                   records_.begin() + static_cast<std::ptrdiff_t>(batch_records_));
    batch_.clear();
    batch_records_ = 0;
    if (first_dropped_ == 0 || records_.size() >= capacity_) {
        return;
    }
    json details{{"first", first_dropped_}, {"last", last_dropped_}};
    first_dropped_ = 0;
    append(
        {"audit_gap", vm_, "records were dropped because the buffer was full", std::move(details)},
        at_ms);
}

}  // namespace hornbeamhook::proxy
