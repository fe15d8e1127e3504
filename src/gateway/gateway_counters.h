#pragma once

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace hornbeamhook::gateway {

/** Counters and histograms of one gateway process. Thread safe. */
class gateway_counters {
public:
    gateway_counters();

    /** All metrics in the Prometheus text format. */
    std::string format() const;

    prometheus::Counter& reads_at_replicas;
    prometheus::Counter& reads_at_primaries;
    prometheus::Counter& writes;
    prometheus::Counter& refusals;
    prometheus::Counter& retries;
    prometheus::Counter& hedges;
    prometheus::Counter& lost_answers;
    prometheus::Counter& opened_links;
    prometheus::Counter& setup_failures;
    prometheus::Counter& store_calls;
    prometheus::Counter& peer_messages;
    prometheus::Counter& promotions;
    prometheus::Counter& limited_sessions;
    prometheus::Counter& refused_connections;
    prometheus::Histogram& statement_seconds;

private:
    explicit gateway_counters(std::shared_ptr<prometheus::Registry> registry);

    std::shared_ptr<prometheus::Registry> registry_;
};

}  // namespace hornbeamhook::gateway
