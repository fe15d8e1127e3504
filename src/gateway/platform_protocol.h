#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/store_version.h"
#include "gateway/configuration.h"
#include "gateway/target_entry.h"
#include "transport/http_channel.h"

namespace hornbeamhook::gateway {

/** Version of a stored row, from a counter that the store increments with each transaction. */
using row_version = coordination::store_version;

/** Table of the product's rows: one per VM and one per group. */
inline constexpr const char* product_table = "hornbeamhook";

/** A row of a table in the store. */
struct stored_row {
    std::string table;
    std::string key;
    std::string value;
    row_version version = 0;
    bool is_deleted = false;

    auto operator<=>(const stored_row&) const = default;
};

/** How a store call ended. */
enum class store_outcome {
    done,
    conflict,      ///< A condition did not hold; nothing changed.
    refused,       ///< The store did not execute the call.
    history_lost,  ///< The table has to be read again before it can be watched.
    unknown,       ///< No answer; a change may still take effect.
};

/** Answer to a store call. */
struct store_answer {
    store_outcome outcome = store_outcome::unknown;
    std::vector<stored_row> rows;
    row_version version = 0;  ///< The store's newest version.
    bool has_more = false;    ///< More rows follow the last one of `rows`.
    /// Rises each time that the store is restored from an earlier copy; 0 if it is not known.
    std::int64_t era = 0;
};

/** A change of one row, conditional unless stated otherwise. */
struct row_change {
    stored_row row;                    ///< To write, or to delete when is_deleted.
    row_version expected_version = 0;  ///< 0: the row must not exist.
    bool is_conditional = true;
};

/** How long a watch may take. */
struct watch_limits {
    transport::milliseconds_count hold_ms = 0;     ///< The store answers after this at the latest.
    transport::milliseconds_count transit_ms = 0;  ///< For the call and its answer to arrive.

    auto operator<=>(const watch_limits&) const = default;
};

using store_callback = std::function<void(const store_answer&)>;

/** The tables written by the platform. */
enum class platform_table { configuration, targets };

/** Decoded rows of a platform table. */
struct platform_rows {
    std::optional<configuration> newest_configuration;
    std::map<std::string, std::optional<target_entry>> targets;  ///< Empty: invalid or deleted.
    std::vector<std::string> errors;  ///< One for each invalid row or entry.
};

/** Answer to a promotion request. */
enum class promotion_answer {
    accepted,
    not_running,  ///< The target is not running.
    refused,      ///< To be retried later.
    unknown,      ///< No answer; the promotion may still take effect.
};

/**
 * Formats store calls and promotion requests to the platform as HTTP requests and parses the
 * answers. The gateway sends them, directly or through another VM. Pure, thread safe.
 */
class platform_protocol {
public:
    virtual ~platform_protocol() = default;

    virtual transport::http_exchange_request format_read(const std::string& table,
                                                         const std::string& after) const = 0;
    virtual transport::http_exchange_request format_platform_read(
        platform_table table, const std::string& after) const = 0;
    virtual transport::http_exchange_request format_watch(platform_table table, row_version after,
                                                          const watch_limits& limits) const = 0;
    virtual transport::http_exchange_request format_change(const row_change& change) const = 0;
    virtual store_answer parse_store_answer(
        const transport::http_exchange_answer& answer) const = 0;
    virtual platform_rows decode(platform_table table,
                                 const std::vector<stored_row>& rows) const = 0;

    /** `fence` increases with each change of the holder. */
    virtual transport::http_exchange_request format_promotion(const std::string& group,
                                                              const std::string& target,
                                                              const std::string& holder,
                                                              std::int64_t fence) const = 0;
    virtual promotion_answer parse_promotion_answer(
        const transport::http_exchange_answer& answer) const = 0;
};

}  // namespace hornbeamhook::gateway
