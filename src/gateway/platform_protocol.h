#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/configuration.h"
#include "gateway/target_entry.h"
#include "transport/http_channel.h"

namespace hornbeamhook::gateway {

/** Version of a stored row, from one counter that grows with each transaction of the store. */
using row_version = std::int64_t;

/** Table of the product's own rows: one per VM and one per group. */
inline constexpr const char* product_table = "hornbeamhook";

/** A row of the product's own tables. */
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
    conflict,      ///< A condition did not hold; nothing was changed.
    refused,       ///< The store did nothing.
    history_lost,  ///< A watch has to start from a new reading.
    unknown,       ///< No answer; a change may take effect later.
};

/** Answer to a store call. */
struct store_answer {
    store_outcome outcome = store_outcome::unknown;
    std::vector<stored_row> rows;
    row_version version = 0;  ///< The store's newest version.
};

/** A conditional change of one row. */
struct row_change {
    stored_row row;                    ///< Written, or deleted when is_deleted.
    row_version expected_version = 0;  ///< 0: the row must not exist.
    bool is_conditional = true;
};

using store_callback = std::function<void(const store_answer&)>;

/** The tables that the platform writes. */
enum class platform_table { configuration, targets };

/** A configuration row or a target's entry, decoded. */
struct platform_rows {
    std::optional<configuration> newest_configuration;
    std::map<std::string, std::optional<target_entry>> targets;  ///< Empty: unusable or deleted.
    std::vector<std::string> errors;                             ///< One for each unusable row.
};

/** Answer to a call that orders a promotion. */
enum class promotion_answer {
    accepted,
    not_running,  ///< The chosen target does not run.
    refused,      ///< Try again later.
    unknown,      ///< No answer; the promotion may take effect.
};

/**
 * Formats the calls to the platform's store and duties as HTTP requests and reads the answers. The
 * product sends them, directly or through another VM. Pure, thread safe.
 */
class platform_protocol {
public:
    virtual ~platform_protocol() = default;

    virtual transport::http_exchange_request format_read(const std::string& table,
                                                         const std::string& after) const = 0;
    virtual transport::http_exchange_request format_platform_read(
        platform_table table, const std::string& after) const = 0;
    virtual transport::http_exchange_request format_watch(platform_table table,
                                                          row_version after) const = 0;
    virtual transport::http_exchange_request format_change(const row_change& change) const = 0;
    virtual store_answer parse_store_answer(
        const transport::http_exchange_answer& answer) const = 0;
    virtual platform_rows decode(platform_table table,
                                 const std::vector<stored_row>& rows) const = 0;

    /** `fence` grows with each change of the holder. */
    virtual transport::http_exchange_request format_promotion(const std::string& group,
                                                              const std::string& target,
                                                              const std::string& holder,
                                                              std::int64_t fence) const = 0;
    virtual promotion_answer parse_promotion_answer(
        const transport::http_exchange_answer& answer) const = 0;
};

}  // namespace hornbeamhook::gateway
