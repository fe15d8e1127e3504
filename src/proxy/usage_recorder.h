#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "coordination/recent_callers.h"
#include "protocol/proxy_settings.h"

namespace hornbeamhook::proxy {

/** What happened to one request, for the usage records. */
struct usage_sample {
    std::string pool;
    std::string caller;
    bool is_read = false;
    bool was_served_by_replica = false;
    std::string refusal;  ///< Error code when it did not run, else empty.
    bool is_unknown = false;
    std::chrono::microseconds latency{0};
};

/**
 * Counts requests per pool, caller, place and hour, and writes cumulative rows to the table
 * service at coordination::get_usage_interval(). Rows are overwritten, so nothing is counted twice.
 */
class usage_recorder {
public:
    explicit usage_recorder(const protocol::proxy_settings& settings, std::uint64_t incarnation);
    ~usage_recorder();
    usage_recorder(const usage_recorder&) = delete;
    usage_recorder& operator=(const usage_recorder&) = delete;

    /** Counts one request. Thread safe, does not block on I/O. */
    void record(const usage_sample& sample);

    /** The size of the fleet, which sets the interval of writes. Thread safe. */
    void set_live_members(std::size_t count);

    /** The callers that sent requests to this entry last, with their counts since the process
     * started or since they were forgotten. Thread safe. */
    coordination::caller_snapshot get_recent_callers() const;

    /** Starts the writer thread. */
    void start();

    /** Writes what is pending once more and ends the thread. Safe to call twice. */
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace hornbeamhook::proxy
