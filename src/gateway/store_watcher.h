#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/bounded_log.h"
#include "gateway/platform_protocol.h"
#include "gateway/store_client.h"
#include "transport/event_loop.h"

namespace hornbeamhook::gateway {

/**
 * Keeps this VM's copy of the configuration and the listed targets, and reads the product's rows.
 * The first two are watched. The rows are polled, because a read sent at t proves that no change
 * had been announced at t, whereas a watch without an answer does not. Loop thread only.
 */
class store_watcher {
public:
    struct store_callbacks {
        std::function<void(const configuration&)> configuration_changed;
        std::function<void(const std::string& id, const std::optional<target_entry>&)>
            target_changed;
        /// All of the product's rows, from a read that was sent at `requested_at`.
        std::function<void(const std::vector<stored_row>&, std::int64_t requested_at)> rows_read;
        /// Whether this VM's leases need a read of the rows; otherwise they are read rarely.
        std::function<bool()> is_read_due;
    };

    store_watcher(transport::event_loop& loop, store_client& store,
                  const platform_protocol& platform, bounded_log& log, store_callbacks callbacks);

    void start();

    /** Adapts the interval between reads that the leases do not need to the size of the fleet. */
    void set_fleet_size(int vms);

    /** Reads the product's rows now. */
    void read_rows();

    bool has_targets() const { return has_targets_; }

    /** The configuration and the targets, as JSON, for a VM that cannot reach the store. */
    std::string format_snapshot() const;

    /** Applies the rows of another VM's snapshot that are newer than this VM's. */
    void merge_snapshot(const std::string& text);

    std::int64_t get_configuration_version() const { return configuration_version_; }

private:
    void read_table(platform_table table);
    void handle_table_read(platform_table table, const store_answer& answer);
    void watch_table(platform_table table, row_version after);
    void apply(platform_table table, const std::vector<stored_row>& rows);
    void apply_target(const std::string& id, const std::optional<target_entry>& entry);
    void remove_expired_targets();

    store_client& store_;
    const platform_protocol& platform_;
    bounded_log& log_;
    store_callbacks callbacks_;
    transport::loop_timer poll_timer_;
    transport::loop_timer removal_timer_;
    std::map<platform_table, std::map<std::string, stored_row>> rows_;  ///< Newest version, by key.
    std::map<std::string, std::int64_t> missing_since_;  ///< Targets whose entry is missing.
    std::map<platform_table, std::unique_ptr<transport::loop_timer>> retry_timers_;
    std::int64_t configuration_version_ = 0;
    std::int64_t idle_interval_ms_ = 0;  ///< Between reads that the leases do not need.
    std::int64_t rows_requested_at_ = 0;
    bool has_targets_ = false;
};

}  // namespace hornbeamhook::gateway
