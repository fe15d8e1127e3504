#include "proxy/data_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <string_view>

namespace hornbeamhook::proxy {

namespace {

using counter_family = prometheus::Family<prometheus::Counter>;
using gauge_family = prometheus::Family<prometheus::Gauge>;
using histogram_family = prometheus::Family<prometheus::Histogram>;

counter_family& add_counter(prometheus::Registry& registry, const char* name, const char* help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

gauge_family& add_gauge(prometheus::Registry& registry, const char* name, const char* help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

const prometheus::Histogram::BucketBoundaries& get_buckets() {
    static const prometheus::Histogram::BucketBoundaries buckets{
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0};
    return buckets;
}

const char* get_kind(bool is_write) {
    return is_write ? "write" : "read";
}

}  // namespace

struct data_metrics::implementation {
    prometheus::Registry registry;
    counter_family& requests =
        add_counter(registry, "hornbeamhook_requests_total", "Finished requests of callers.");
    counter_family& reads = add_counter(registry, "hornbeamhook_reads_served_total",
                                        "Reads answered, by the role of the target.");
    counter_family& retries =
        add_counter(registry, "hornbeamhook_retries_total", "Requests sent again.");
    prometheus::Counter& target_failures =
        add_counter(registry, "hornbeamhook_target_failures_total",
                    "Exchanges with targets that failed, SQL errors included.")
            .Add({});
    counter_family& limited =
        add_counter(registry, "hornbeamhook_limited_connections_total",
                    "HTTP connections closed because their clients reached a limit.");
    histogram_family& durations = prometheus::BuildHistogram()
                                      .Name("hornbeamhook_request_duration_seconds")
                                      .Help("Time from arrival to answer at the entry.")
                                      .Register(registry);
    gauge_family& queued = add_gauge(registry, "hornbeamhook_queued_requests",
                                     "Requests that wait for a target at this home.");
    prometheus::Gauge& in_flight = add_gauge(registry, "hornbeamhook_exchanges_in_flight",
                                             "Requests that hold a place at a target.")
                                       .Add({});
    prometheus::Gauge& transactions =
        add_gauge(registry, "hornbeamhook_open_transactions", "Transactions open at this home.")
            .Add({});
    prometheus::Gauge& version = add_gauge(registry, "hornbeamhook_configuration_version",
                                           "Version of the configuration in force.")
                                     .Add({});
    prometheus::Gauge& members =
        add_gauge(registry, "hornbeamhook_live_members", "Proxies seen as live.").Add({});
    prometheus::Gauge& ready =
        add_gauge(registry, "hornbeamhook_ready", "1 when callers may be sent here.").Add({});
    prometheus::Gauge& start_time =
        add_gauge(registry, "process_start_time_seconds", "Start time since the epoch in seconds.")
            .Add({});
    gauge_family& build =
        add_gauge(registry, "hornbeamhook_build_info", "Always 1, with the version as label.");
};

data_metrics::data_metrics() : implementation_(std::make_unique<implementation>()) {
    implementation_->start_time.Set(
        std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count());
    implementation_->build.Add({{"version", HORNBEAMHOOK_VERSION}}).Set(1);
}

data_metrics::~data_metrics() = default;

void data_metrics::record(const request_sample& sample) {
    const std::string kind = get_kind(sample.is_write);
    implementation_->requests
        .Add({{"kind", kind},
              {"outcome", std::string(state::to_string(sample.outcome))},
              {"code", std::string(protocol::to_string(sample.code))}})
        .Increment();
    implementation_->durations.Add({{"kind", kind}}, get_buckets())
        .Observe(std::chrono::duration<double>(sample.latency).count());
    if (!sample.is_write && sample.was_served) {
        implementation_->reads.Add({{"role", sample.was_served_by_replica ? "replica" : "primary"}})
            .Increment();
    }
}

void data_metrics::record_retry(protocol::error_code reason) {
    implementation_->retries.Add({{"reason", std::string(protocol::to_string(reason))}})
        .Increment();
}

void data_metrics::record_target_failure() {
    implementation_->target_failures.Increment();
}

void data_metrics::record_limited_connections(const std::string& limit, std::size_t count) {
    implementation_->limited.Add({{"limit", limit}}).Increment(static_cast<double>(count));
}

std::string data_metrics::serialise(const gauge_sample& gauges) {
    implementation_->queued.Add({{"kind", "read"}}).Set(static_cast<double>(gauges.queued_reads));
    implementation_->queued.Add({{"kind", "write"}}).Set(static_cast<double>(gauges.queued_writes));
    implementation_->in_flight.Set(static_cast<double>(gauges.exchanges_in_flight));
    implementation_->transactions.Set(static_cast<double>(gauges.open_transactions));
    implementation_->version.Set(static_cast<double>(gauges.configuration_version));
    implementation_->members.Set(static_cast<double>(gauges.live_members));
    implementation_->ready.Set(gauges.is_ready ? 1 : 0);
    return prometheus::TextSerializer().Serialize(implementation_->registry.Collect());
}

}  // namespace hornbeamhook::proxy
