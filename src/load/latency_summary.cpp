#include "load/latency_summary.h"

#include <algorithm>
#include <cmath>

namespace hornbeamhook::load {

namespace {

double get_percentile(const std::vector<double>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    const auto index =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return round_to_thousandths(sorted[std::clamp<std::size_t>(index, 1, sorted.size()) - 1]);
}

}  // namespace

double round_to_thousandths(double value) {
    return std::round(value * 1000) / 1000;
}

nlohmann::json summarise_latencies(std::vector<double> values) {
    std::ranges::sort(values);
    return {{"count", values.size()},
            {"p50", get_percentile(values, 0.50)},
            {"p90", get_percentile(values, 0.90)},
            {"p99", get_percentile(values, 0.99)},
            {"max", values.empty() ? 0 : round_to_thousandths(values.back())}};
}

}  // namespace hornbeamhook::load
