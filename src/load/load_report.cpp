#include "load/load_report.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>
#include <vector>

#include "load/latency_summary.h"

namespace hornbeamhook::load {

namespace {

using float_milliseconds = std::chrono::duration<double, std::milli>;
using float_seconds = std::chrono::duration<double>;

std::string get_policy_name(const state::read_policy& policy) {
    switch (policy.policy) {
        case state::read_policy::kind::strict:
            return "strict";
        case state::read_policy::kind::max_age:
            return "max_age";
        case state::read_policy::kind::own_writes:
            break;
    }
    return "own_writes";
}

struct read_count {
    std::int64_t total = 0;
    std::int64_t by_replicas = 0;

    void add(bool is_by_replica) {
        total += 1;
        by_replicas += is_by_replica ? 1 : 0;
    }

    nlohmann::json get_share() const {
        return total == 0 ? nlohmann::json()
                          : nlohmann::json(round_to_thousandths(static_cast<double>(by_replicas) /
                                                                static_cast<double>(total)));
    }
};

void add_reads(const report_input& input, nlohmann::json& report) {
    read_count all;
    read_count not_strict;
    std::map<std::string, read_count> by_policy;
    for (const read_record& read : input.seen.reads) {
        if (read.begin < input.measured_from || read.begin >= input.measured_to) {
            continue;
        }
        all.add(read.is_by_replica);
        by_policy[get_policy_name(read.policy)].add(read.is_by_replica);
        if (read.policy.policy != state::read_policy::kind::strict) {
            not_strict.add(read.is_by_replica);
        }
    }
    report["reads_total"] = all.total;
    report["reads_by_replicas"] = all.by_replicas;
    report["replica_read_share"] = {{"all", all.get_share()},
                                    {"not_strict", not_strict.get_share()}};
    for (const auto& [policy, count] : by_policy) {
        report["replica_read_share"][policy] = count.get_share();
    }
}

void add_samples(const report_input& input, nlohmann::json& report) {
    std::map<std::string, std::vector<double>> latencies;
    std::int64_t good = 0;
    std::int64_t refused = 0;
    std::int64_t unknown = 0;
    std::int64_t late = 0;
    for (const operation_sample& sample : input.statistics.samples) {
        const bool has_ended_inside =
            sample.end >= input.measured_from && sample.end < input.measured_to;
        const bool is_good = sample.outcome == write_outcome::acknowledged;
        if (has_ended_inside) {
            good += is_good ? 1 : 0;
            late += is_good && sample.end - sample.scheduled > input.settings.deadline ? 1 : 0;
            refused += sample.outcome == write_outcome::not_run ? 1 : 0;
            unknown += sample.outcome == write_outcome::unknown ? 1 : 0;
        }
        if (is_good && sample.scheduled >= input.measured_from &&
            sample.scheduled < input.measured_to) {
            const float_milliseconds latency = sample.end - sample.scheduled;
            const workload_operation& operation = input.settings.mix.operations[sample.operation];
            latencies[operation.name].push_back(latency.count());
            latencies[operation.is_read() ? "all_reads" : "all_writes"].push_back(latency.count());
        }
    }
    const double seconds = float_seconds(input.measured_to - input.measured_from).count();
    report["measured_seconds"] = round_to_thousandths(seconds);
    report["goodput_per_second"] =
        seconds > 0 ? round_to_thousandths(static_cast<double>(good) / seconds) : 0;
    report["operations"] = {
        {"completed", good}, {"late", late}, {"refused", refused}, {"unknown", unknown}};
    report["latency_ms"] = nlohmann::json::object();
    for (auto& [name, values] : latencies) {
        report["latency_ms"][name] = summarise_latencies(std::move(values));
    }
}

/** From each loss to the first acknowledged write that began after it. */
void add_failover_gaps(const report_input& input, nlohmann::json& report) {
    nlohmann::json gaps = nlohmann::json::array();
    std::vector<double> values;
    for (const event_record& event : input.seen.events) {
        if (event.kind != event_kind::primary_lost) {
            continue;
        }
        time_point first = time_point::max();
        for (const write_record& write : input.seen.writes) {
            if (write.pool == event.pool && write.outcome == write_outcome::acknowledged &&
                write.begin >= event.effective) {
                first = std::min(first, write.end);
            }
        }
        nlohmann::json gap = nullptr;
        if (first != time_point::max()) {
            values.push_back(float_milliseconds(first - event.at).count());
            gap = round_to_thousandths(values.back());
        }
        gaps.push_back({{"pool", event.pool},
                        {"target", event.target},
                        {"label", event.label},
                        {"gap_ms", gap}});
    }
    report["failovers"] = gaps;
    report["failover_gap_ms"] =
        values.empty() ? nlohmann::json()
                       : nlohmann::json(round_to_thousandths(std::ranges::max(values)));
}

}  // namespace

nlohmann::json make_report(const report_input& input) {
    const load_settings& settings = input.settings;
    nlohmann::json report;
    report["deployment"] = settings.deployment;
    report["seed"] = settings.seed;
    report["run"] = settings.run;
    report["mode"] = settings.rate ? "open_loop" : "closed_loop";
    report["clients"] = settings.clients;
    report["rate"] = settings.rate ? nlohmann::json(*settings.rate) : nlohmann::json();
    add_reads(input, report);
    report["writes_acknowledged"] = std::ranges::count_if(
        input.seen.writes,
        [](const write_record& write) { return write.outcome == write_outcome::acknowledged; });
    report["transactions_committed"] =
        std::ranges::count_if(input.seen.transactions, [](const transaction_record& transaction) {
            return transaction.outcome == write_outcome::acknowledged;
        });
    add_samples(input, report);
    add_failover_gaps(input, report);
    report["refusals"] = input.statistics.refusals;
    report["unknowns"] = input.statistics.unknowns;
    report["messages"] = input.statistics.messages;
    report["reverted_unacknowledged_reads"] = input.checked.reverted_unacknowledged_reads;
    report["violations"] = input.checked.violations.to_json();
    report["violations_total"] = input.checked.violations.get_total();
    report["violation_examples"] = input.checked.violations.get_examples();
    return report;
}

std::string to_summary(const nlohmann::json& report) {
    std::ostringstream text;
    text << "deployment " << report.at("deployment").get<std::string>() << ", seed "
         << report.at("seed") << ", " << report.at("mode").get<std::string>() << ", "
         << report.at("clients") << " clients, measured " << report.at("measured_seconds")
         << " s\n";
    text << "goodput              " << report.at("goodput_per_second") << " operations/s\n";
    text << "reads                " << report.at("reads_total") << ", by replicas "
         << report.at("reads_by_replicas") << "\n";
    for (const auto& [policy, share] : report.at("replica_read_share").items()) {
        text << "  replica share      " << std::left << std::setw(12) << policy << " " << share
             << "\n";
    }
    text << "writes acknowledged  " << report.at("writes_acknowledged") << ", transactions "
         << report.at("transactions_committed") << "\n";
    for (const auto& [kind, values] : report.at("latency_ms").items()) {
        text << "latency ms           " << std::left << std::setw(16) << kind << " p50 "
             << values.at("p50") << " p90 " << values.at("p90") << " p99 " << values.at("p99")
             << " max " << values.at("max") << " (" << values.at("count") << ")\n";
    }
    for (const char* field : {"refusals", "unknowns"}) {
        for (const auto& [code, count] : report.at(field).items()) {
            text << std::left << std::setw(20) << field << " " << code << " " << count << " ("
                 << report.at("messages").value(code, "") << ")\n";
        }
    }
    for (const nlohmann::json& gap : report.at("failovers")) {
        text << "failover gap         " << gap.at("pool").get<std::string>() << " "
             << gap.at("label").get<std::string>() << " " << gap.at("gap_ms") << " ms\n";
    }
    for (const nlohmann::json& example : report.at("violation_examples")) {
        text << "VIOLATION " << example.get<std::string>() << "\n";
    }
    text << "violations           ";
    for (const auto& [kind, count] : report.at("violations").items()) {
        text << kind << "=" << count << " ";
    }
    text << "total=" << report.at("violations_total") << "\n";
    return text.str();
}

}  // namespace hornbeamhook::load
