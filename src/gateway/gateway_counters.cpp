#include "gateway/gateway_counters.h"

#include <prometheus/text_serializer.h>

#include <utility>

namespace hornbeamhook::gateway {

namespace {

/// From the time of a local read to the longest statement timeout in use.
const prometheus::Histogram::BucketBoundaries statement_buckets{0.005, 0.01, 0.02, 0.05, 0.1,
                                                                0.2,   0.4,  0.8,  2.0};

prometheus::Counter& add_counter(prometheus::Registry& registry, const std::string& name,
                                 const std::string& help, const prometheus::Labels& labels = {}) {
    return prometheus::BuildCounter()
        .Name("hornbeamhook_gateway_" + name)
        .Help(help)
        .Register(registry)
        .Add(labels);
}

}  // namespace

gateway_counters::gateway_counters() : gateway_counters(std::make_shared<prometheus::Registry>()) {}

gateway_counters::gateway_counters(std::shared_ptr<prometheus::Registry> registry)
    : reads_at_replicas(
          add_counter(*registry, "reads_total", "Reads sent to targets", {{"role", "replica"}})),
      reads_at_primaries(
          add_counter(*registry, "reads_total", "Reads sent to targets", {{"role", "primary"}})),
      writes(add_counter(*registry, "writes_total", "Writes and transactions sent to primaries")),
      refusals(add_counter(*registry, "refusals_total", "Statements that were refused")),
      retries(add_counter(*registry, "retries_total", "Statements sent again after a refusal")),
      hedges(add_counter(*registry, "hedges_total", "Reads sent to a second target")),
      lost_answers(add_counter(*registry, "lost_answers_total", "Answers that never came")),
      opened_links(add_counter(*registry, "opened_links_total", "Connections to targets")),
      setup_failures(add_counter(*registry, "setup_failures_total",
                                 "Set-up statements that a target refused")),
      store_calls(add_counter(*registry, "store_calls_total", "Calls to the platform's store")),
      peer_messages(add_counter(*registry, "peer_messages_total", "Datagrams sent to other VMs")),
      promotions(add_counter(*registry, "promotions_total", "Changes of primary by this VM")),
      limited_sessions(add_counter(*registry, "limited_sessions_total",
                                   "Sessions closed because of what they hold")),
      refused_connections(add_counter(*registry, "refused_connections_total",
                                      "Connections closed because all others are in use")),
      statement_seconds(prometheus::BuildHistogram()
                            .Name("hornbeamhook_gateway_statement_seconds")
                            .Help("Time from a statement's arrival to its answer")
                            .Register(*registry)
                            .Add({}, statement_buckets)),
      registry_(std::move(registry)) {}

std::string gateway_counters::format() const {
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace hornbeamhook::gateway
