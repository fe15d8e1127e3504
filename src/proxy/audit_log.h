#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "protocol/proxy_settings.h"

namespace hornbeamhook::proxy {

/** One entry of the audit trail. */
struct audit_record {
    std::string kind;     ///< For example "promotion", "drain", "home_change", "access_denied".
    std::string subject;  ///< Pool, target, VM or caller it concerns.
    std::string reason;   ///< One sentence.
    nlohmann::json details = nlohmann::json::object();  ///< Observations, times, before and after.
};

/**
 * Appends audit records to the platform's table service, numbered per process; buffers up to
 * 10,000 while the store is down. A number that is missing in the table marks a gap.
 */
class audit_log {
public:
    audit_log(const protocol::proxy_settings& settings, std::uint64_t incarnation);
    ~audit_log();
    audit_log(const audit_log&) = delete;
    audit_log& operator=(const audit_log&) = delete;

    /** Queues a record. Thread safe, does not block on I/O. */
    void append(audit_record record);

    /** Starts the writer thread. */
    void start();

    /** Tries once more to write what is pending, then ends the thread. Safe to call twice. */
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace hornbeamhook::proxy
