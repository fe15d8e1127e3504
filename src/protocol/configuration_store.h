#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/configuration_log.h"
#include "protocol/protocol_error.h"
#include "protocol/table_client.h"
#include "state/configuration.h"

namespace hornbeamhook::protocol {

/** The head of the configuration log. */
struct configuration_head {
    std::uint64_t version = 0;                 ///< 0 when no change was made yet.
    std::optional<std::uint64_t> row_version;  ///< Version of the head row, empty when absent.

    bool operator==(const configuration_head&) const = default;
};

/** Result of committing a change, with the newest configuration that was read. */
struct committed_change {
    coordination::commit_result result;
    state::configuration config;
};

/**
 * The configuration log in the platform's table service. Blocking. Thread safe.
 *
 * All functions fail with table_error when the store does not answer, and with protocol_error when
 * the log in the store is malformed.
 */
class configuration_store {
public:
    /** `client` must outlive this. */
    explicit configuration_store(table_client& client);

    /** The head of the log: one read. */
    boost::leaf::result<configuration_head> get_head();

    /** The changes after version `after`, in order, up to and including `head`. */
    boost::leaf::result<std::vector<state::configuration_change>> get_changes(std::uint64_t after,
                                                                              std::uint64_t head);

    /** The newest snapshot, or an empty configuration when there is none that can be read. */
    boost::leaf::result<state::configuration> get_snapshot();

    /** The newest configuration: snapshot and the changes after it. */
    boost::leaf::result<state::configuration> load();

    /**
     * Commits `draft`, starting from the configuration `current`, and gives up at `deadline`.
     * `audit` rows are written in the same table transaction, with the version added to each value.
     * Retries when other objects changed; never applies the change twice. Writes a snapshot when
     * the last one is 100 changes old.
     */
    committed_change commit(const state::configuration& current,
                            const coordination::change_draft& draft,
                            const std::vector<table_write>& audit,
                            std::chrono::steady_clock::time_point deadline);

    /** The change with this id after version `after`, or empty when it is not in the log. */
    boost::leaf::result<std::optional<state::configuration_change>> find_change(
        const std::string& change_id, std::uint64_t after);

    /** Stores a snapshot if the newest one is at least 100 changes old. */
    boost::leaf::result<void> write_snapshot_if_due(const state::configuration& config);

private:
    coordination::commit_event read_log(const coordination::read_log& action);
    coordination::commit_event send_commit(const coordination::send_commit& action,
                                           const std::vector<table_write>& audit);

    table_client& client_;
};

}  // namespace hornbeamhook::protocol
