#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamhook::ctl {

/** One line that a gateway wrote. */
struct gateway_log_line {
    std::string
        time;  ///< What stands before the line's own fields, for example a time; or boot_ms.
    std::string vm;
    std::string event;                          ///< Name, as in docs/events/gateway.md.
    std::map<std::string, std::string> fields;  ///< Without boot_ms, vm and event.

    auto operator<=>(const gateway_log_line&) const = default;

    /** The field's value; empty without it. */
    std::string get(const std::string& field) const;
};

/** Empty for a line that no gateway wrote. Pure, thread safe. */
std::optional<gateway_log_line> parse_gateway_line(std::string_view line);

/** The lines of a log in which other text may stand. Pure, thread safe. */
std::vector<gateway_log_line> parse_gateway_log(std::string_view text);

/**
 * Tells in order what the VMs wrote about a statement, what each of them believed when it decided,
 * and the cause that follows from it. `log` holds the lines of all VMs in the order of time. Empty
 * when no line names the statement. Pure, thread safe.
 */
std::vector<std::string> explain_request(const std::vector<gateway_log_line>& log,
                                         const std::string& id);

/**
 * Tells in order how the primary of a group was suspected and replaced. Empty when no line does.
 * Pure, thread safe.
 */
std::vector<std::string> explain_promotion(const std::vector<gateway_log_line>& log,
                                           const std::string& group);

}  // namespace hornbeamhook::ctl
