#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/bounded_log.h"
#include "gateway/change_propagation.h"
#include "gateway/peer_message.h"
#include "gateway/platform_protocol.h"
#include "gateway/store_client.h"
#include "gateway/table_copy.h"
#include "transport/event_loop.h"

namespace hornbeamhook::gateway {

/**
 * Keeps this VM's copy of the configuration, the listed targets and the product's rows. The first
 * two are watched. The rows are polled, because a read sent at t proves that no change had been
 * announced at t, whereas a watch without an answer does not. In a large fleet one VM
 * does this for all, and the others compare their copies with those of a hub. Loop thread only.
 */
class store_watcher {
public:
    struct store_callbacks {
        std::function<void(const configuration&)> configuration_changed;
        std::function<void(const std::string& id, const std::optional<target_entry>&)>
            target_changed;
        /// All of the product's rows, from a read that was sent at `requested_at`.
        std::function<void(const std::vector<stored_row>&, std::int64_t requested_at)> rows_read;
        /// The product's rows have not changed since the last call of `rows_read`, as seen by a
        /// read that was sent at `requested_at`.
        std::function<void(std::int64_t requested_at)> rows_confirmed;
        /// Whether this VM's leases need a read of the rows; otherwise they are read rarely.
        std::function<bool()> is_read_due;
    };

    /** How this VM learns of changes in the store. */
    enum class source {
        store,      ///< It watches the tables and reads the rows when a lease needs it.
        reader,     ///< As above, and it reads the rows often, for the whole fleet.
        other_hub,  ///< From the reader; it reads the rows for its place when they are old.
        hub,        ///< From a hub of its place; it reads the rows only when a lease needs it.
    };

    store_watcher(transport::event_loop& loop, store_client& store,
                  const platform_protocol& platform, bounded_log& log, store_callbacks callbacks);

    void start();

    /** Adapts the interval between reads that the leases do not need to the size of the fleet. */
    void set_fleet_size(int vms);

    /** Chooses between the store and a hub; watches end or begin accordingly. */
    void set_source(source value);
    /**
     * Whether this VM notices within a few seconds that its watch of the configuration hears
     * nothing any more, on behalf of the fleet. True until set.
     */
    void set_confirming(bool value);

    /** Whether changes are learned from another VM. */
    bool is_following() const { return source_ == source::hub || source_ == source::other_hub; }

    /** Reads the product's rows now. */
    void read_rows();

    /** The product's row with this key in this VM's copy; empty without one. */
    std::optional<stored_row> find_row(const std::string& key) const { return rows_.find(key); }

    /** The store's era that this VM's copy of the product's rows reflects. */
    std::int64_t get_rows_era() const { return coordination::get_era(rows_.get_read_version()); }

    /** Digests of this VM's copies, to compare with a hub's. */
    table_digests get_digests() const;

    /** Time since the newest read that this VM's copy of the rows reflects was sent; empty before
     * the first one. */
    std::optional<std::int64_t> get_rows_age(std::int64_t now) const;

    /** A hub holds the same rows, from a read that was sent at `requested_at` or later. */
    void confirm_rows(std::int64_t requested_at);

    /** What another VM lacks: `request` holds the newest version that it has of each table, and the
     * version of the store that its copy reflects unless it needs the whole list of rows. */
    std::string format_updates(const std::string& request) const;

    /** Body for a request of updates from a hub with these digests. */
    std::string format_update_request(const table_digests& digests) const;

    /** Applies a hub's answer to an update request that was sent at `sent_at`. */
    void apply_updates(const std::string& text, std::int64_t sent_at);

    bool has_targets() const { return has_targets_; }

    /** The configuration and the targets, as JSON, for a VM that cannot reach the store. */
    std::string format_snapshot() const;

    /** Applies the rows of another VM's snapshot that are newer than this VM's. */
    void merge_snapshot(const std::string& text);

    std::int64_t get_configuration_version() const { return configuration_version_; }

private:
    using page_request =
        std::function<transport::http_exchange_request(const std::string& after_key)>;

    /** Reads all pages of a table and passes their rows to `done` with the version of the first
     * page, so that no row that was written after it is taken for removed. Passes the answer
     * that failed, if one does. `earlier` holds the pages that were read before. */
    void read_pages(const page_request& request, const store_callback& done,
                    const store_answer& earlier = {});
    void handle_rows_read(const store_answer& answer, std::int64_t requested_at);
    std::int64_t get_read_interval() const;
    void read_table(platform_table table);
    void handle_table_read(platform_table table, const store_answer& answer,
                           std::int64_t requested_at);
    /** False if the answer is from before the store was last restored. The first answer after a
     * restore makes this VM read the tables again that it watches. */
    bool accept_era(const std::string& table, const table_copy& copy, const store_answer& answer);
    /** Logs rows of the store that the copy does not accept although they differ. */
    void check_ignored_rows(const std::string& table, const table_copy& copy,
                            const std::vector<stored_row>& rows);
    void watch_table(platform_table table, row_version after);
    /** Whether this VM watches the table itself. The first hubs of all places watch the
     * configuration, because a lost answer to a single watch would delay it by the length of the
     * watch. */
    bool is_watching(platform_table table) const;
    void request_changes(platform_table table, row_version after);
    watch_limits get_watch_limits(platform_table table) const;
    const watch_schedule& get_targets_schedule() const;
    void retry_table(platform_table table);
    void apply(platform_table table, const std::vector<stored_row>& newer);
    /** Applies a hub's changes of the table that an update answer names `field`; returns the newer
     * rows. */
    std::vector<stored_row> apply_changes(const std::string& field, table_copy& table,
                                          const table_changes& changes);
    void apply_target(const std::string& id, const std::optional<target_entry>& entry);
    void remove_expired_targets();

    store_client& store_;
    const platform_protocol& platform_;
    bounded_log& log_;
    store_callbacks callbacks_;
    transport::loop_timer poll_timer_;
    transport::loop_timer removal_timer_;
    std::map<platform_table, table_copy> tables_;
    table_copy rows_;  ///< The product's rows.
    /// Tables, by the name in update requests, whose copy differed from the hub's after its
    /// changes.
    std::set<std::string> incomplete_tables_;
    source source_ = source::store;
    bool is_confirming_ = true;
    /// Number of the newest watch of each table; answers to earlier ones are ignored.
    std::map<platform_table, std::int64_t> watch_numbers_;
    std::set<platform_table> open_watches_;  ///< Tables whose newest watch is not answered yet.
    std::set<platform_table> watched_;       ///< Tables with a read or watch in progress.
    std::set<platform_table> failed_reads_;  ///< Tables whose last read failed.
    std::int64_t rows_confirmed_at_ = 0;     ///< Send time of the newest read; 0 before the first.
    std::map<std::string, std::int64_t> missing_since_;  ///< Targets whose entry is missing.
    std::map<platform_table, std::unique_ptr<transport::loop_timer>> retry_timers_;
    std::int64_t configuration_version_ = 0;
    std::int64_t idle_interval_ms_ = 0;  ///< Between reads that the leases do not need.
    std::int64_t rows_requested_at_ = 0;
    std::int64_t store_era_ = 0;  ///< The latest one seen; 0 before the first.
    bool has_targets_ = false;
};

}  // namespace hornbeamhook::gateway
