#include "proxy/audit_buffer.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <utility>

namespace hornbeamhook::proxy {

using nlohmann::json;

namespace {

constexpr const char* audit_table = "audit";
constexpr const char* failover_table = "failover";
constexpr const char* promotion_kind = "promotion";
constexpr std::size_t time_digits = 13;
constexpr std::size_t sequence_digits = 12;

std::string pad(std::uint64_t number, std::size_t width) {
    const std::string digits = std::to_string(number);
    return digits.size() < width ? std::string(width - digits.size(), '0') + digits : digits;
}

/** Time from the first to the last of the recorded steps, or null when there are none. */
json get_gap(const json& details) {
    if (!details.is_object() || !details.contains("times") || !details["times"].is_object()) {
        return nullptr;
    }
    std::vector<double> times;
    for (const auto& [name, value] : details["times"].items()) {
        if (value.is_number()) {
            times.push_back(value.get<double>());
        }
    }
    if (times.empty()) {
        return nullptr;
    }
    const auto [first, last] = std::minmax_element(times.begin(), times.end());
    return *last - *first;
}

}  // namespace

std::string make_audit_key(const std::string& vm, std::uint64_t incarnation,
                           std::uint64_t sequence) {
    return vm + "/" + pad(incarnation, time_digits) + "/" + pad(sequence, sequence_digits);
}

std::string get_month(std::int64_t at_ms) {
    const std::time_t seconds = at_ms / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 16> text{};
    std::strftime(text.data(), text.size(), "%Y-%m", &parts);
    return text.data();
}

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
    const std::string key = make_audit_key(vm_, incarnation_, item.sequence);
    json value{{"vm", vm_},
               {"incarnation", incarnation_},
               {"sequence", item.sequence},
               {"at_ms", item.at_ms},
               {"kind", item.record.kind},
               {"subject", item.record.subject},
               {"reason", item.record.reason},
               {"details", item.record.details}};
    if (item.record.kind == promotion_kind) {
        // A table of its own, by month, so that reports need not read the whole audit trail.
        json failover = value;
        failover["audit_key"] = key;
        failover["gap_ms"] = get_gap(item.record.details);
        batch_.push_back({failover_table,
                          get_month(item.at_ms) + "/" + pad(item.at_ms, time_digits) + "/" + key,
                          std::move(failover)});
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
