#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace hornbeamhook::state {

/** Counts of latencies in fixed buckets, so that rows of many proxies can be added up. */
class latency_histogram {
public:
    latency_histogram();

    /** Counts one latency; what exceeds the last bound (100 s) falls into the last bucket. */
    void add(std::chrono::microseconds latency);

    /** Adds all counts of `other`. */
    void merge(const latency_histogram& other);

    /** How many latencies were counted. */
    std::uint64_t get_count() const;

    /**
     * The latency that `percent` (0 to 100) of the counted ones do not exceed: the upper bound of
     * its bucket, at most 50 % too high. 0 when nothing was counted.
     */
    std::chrono::microseconds get_percentile(double percent) const;

    bool operator==(const latency_histogram&) const = default;

    /** Counts per bucket, for rows of the table service. */
    nlohmann::json to_json() const;

    /** The inverse of to_json(). Fails with state_error. */
    static boost::leaf::result<latency_histogram> parse(const nlohmann::json& array);

private:
    std::vector<std::uint64_t> counts_;
};

}  // namespace hornbeamhook::state
