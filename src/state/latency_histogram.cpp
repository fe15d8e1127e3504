#include "state/latency_histogram.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

#include "state/state_error.h"

namespace hornbeamhook::state {

namespace leaf = boost::leaf;
using std::chrono::microseconds;

namespace {

// Six buckets per factor of ten, from 100 us to 100 s; no bound is over 50 % above the one before.
constexpr std::array<double, 6> steps{1, 1.5, 2.2, 3.2, 4.7, 7};
constexpr int decades = 6;
constexpr std::int64_t first_bound_us = 100;
constexpr std::size_t bucket_count = steps.size() * decades + 1;

std::vector<std::int64_t> make_bounds() {
    std::vector<std::int64_t> bounds;
    double scale = first_bound_us;
    for (int decade = 0; decade < decades; ++decade, scale *= 10) {
        for (const double step : steps) {
            bounds.push_back(std::llround(step * scale));
        }
    }
    bounds.push_back(std::llround(scale));
    return bounds;
}

const std::vector<std::int64_t>& get_bounds() {
    static const std::vector<std::int64_t> bounds = make_bounds();
    return bounds;
}

}  // namespace

latency_histogram::latency_histogram() : counts_(bucket_count, 0) {}

void latency_histogram::add(microseconds latency) {
    const std::vector<std::int64_t>& bounds = get_bounds();
    const auto bound = std::lower_bound(bounds.begin(), bounds.end(), latency.count());
    const auto bucket = std::min<std::size_t>(bound - bounds.begin(), bucket_count - 1);
    ++counts_[bucket];
}

void latency_histogram::merge(const latency_histogram& other) {
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        counts_[i] += other.counts_[i];
    }
}

std::uint64_t latency_histogram::get_count() const {
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

microseconds latency_histogram::get_percentile(double percent) const {
    const std::uint64_t count = get_count();
    if (count == 0) {
        return microseconds(0);
    }
    const double share = std::clamp(percent, 0.0, 100.0) / 100.0;
    const auto rank = std::max<std::uint64_t>(
        1, static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count))));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < counts_.size(); ++i) {
        seen += counts_[i];
        if (seen >= rank) {
            return microseconds(get_bounds()[i]);
        }
    }
    return microseconds(get_bounds().back());
}

nlohmann::json latency_histogram::to_json() const {
    return counts_;
}

leaf::result<latency_histogram> latency_histogram::parse(const nlohmann::json& array) {
    latency_histogram result;
    const bool is_valid = array.is_array() && array.size() == bucket_count &&
                          std::all_of(array.begin(), array.end(), [](const nlohmann::json& item) {
                              return item.is_number_unsigned();
                          });
    if (!is_valid) {
        return leaf::new_error(state_error{
            "latency", "latency: not a histogram; allowed: an array of " +
                           std::to_string(bucket_count) + " integers that are not negative"});
    }
    result.counts_ = array.get<std::vector<std::uint64_t>>();
    return result;
}

}  // namespace hornbeamhook::state
