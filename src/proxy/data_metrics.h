#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "protocol/error_code.h"
#include "state/outcome.h"

namespace hornbeamhook::proxy {

/** One finished request of a caller, for the metrics. */
struct request_sample {
    bool is_write = false;
    state::outcome outcome = state::outcome::not_run;
    protocol::error_code code = protocol::error_code::ok;
    std::chrono::microseconds latency{0};
    bool was_served = false;  ///< A target answered it.
    bool was_served_by_replica = false;
};

/** Values read from the services when the metrics are scraped. */
struct gauge_sample {
    std::size_t queued_reads = 0;
    std::size_t queued_writes = 0;
    std::size_t exchanges_in_flight = 0;
    std::size_t open_transactions = 0;
    std::uint64_t configuration_version = 0;
    std::size_t live_members = 0;
    bool is_ready = false;
};

/** Metrics of the data path in the Prometheus text format. Label values come from fixed sets, so
 * their number is bounded. Thread safe. */
class data_metrics {
public:
    data_metrics();
    ~data_metrics();
    data_metrics(const data_metrics&) = delete;
    data_metrics& operator=(const data_metrics&) = delete;

    /** Counts a finished request. */
    void record(const request_sample& sample);

    /** Counts a repeated send. `reason` is the code of the previous answer. */
    void record_retry(protocol::error_code reason);

    /** Counts an exchange with a target that failed. */
    void record_target_failure();

    /** Counts connections that were closed for a limit; `limit` is from a fixed set. */
    void record_limited_connections(const std::string& limit, std::size_t count);

    /** Sets the gauges and returns the whole text. */
    std::string serialise(const gauge_sample& gauges);

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace hornbeamhook::proxy
