#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace hornbeamhook::gateway {

/** What the limit of an organisation did at this VM since the organisation was listed. */
struct operation_counts {
    std::int64_t granted = 0;
    std::int64_t refused = 0;  ///< Over the limit.

    bool operator==(const operation_counts&) const = default;
};

/**
 * Operations by organisation for a bounded number of organisations, those with the most use; the
 * rest is summed. One that is used more than a listed one takes its place, and the counts of that
 * one go to the rest, so the rest never falls. Not thread safe.
 */
class organisation_counts {
public:
    static constexpr std::size_t max_listed = 32;

    void count_granted(const std::string& organisation) { find(organisation).granted += 1; }
    void count_refused(const std::string& organisation) { find(organisation).refused += 1; }

    const std::map<std::string, operation_counts>& get_listed() const { return listed_; }
    const operation_counts& get_rest() const { return rest_; }

private:
    /** The counts to change for one operation of the organisation. */
    operation_counts& find(const std::string& organisation);

    std::map<std::string, operation_counts> listed_;
    operation_counts rest_;
    std::map<std::string, std::int64_t> use_;  ///< Operations of organisations, listed or not.
};

/** The counts and the operations that wait now as metrics in the Prometheus text format. Pure. */
std::string format_operation_metrics(const organisation_counts& counts,
                                     const std::map<std::string, std::int64_t>& waiting);

}  // namespace hornbeamhook::gateway
