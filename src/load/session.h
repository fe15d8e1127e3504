#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "load/caller_client.h"
#include "load/history.h"
#include "load/load_settings.h"
#include "load/load_tables.h"
#include "load/progress_counters.h"
#include "load/proxy_directory.h"
#include "load/run_statistics.h"

namespace hornbeamhook::load {

/** One simulated caller: runs one operation at a time and carries its tokens between proxies. */
class session {
public:
    /** All references must outlive the session. */
    session(std::uint32_t number, const load_settings& settings, const load_tables& tables,
            caller_client& client, proxy_directory& proxies, progress_counters& progress);

    /** Runs one random operation of the workload. `scheduled` is when it should have begun. */
    void run_operation(time_point scheduled);

    history take_history() { return std::move(history_); }
    run_statistics take_statistics() { return std::move(statistics_); }

private:
    /** One request until its answer. */
    struct attempt {
        api_answer answer;
        time_point begin;
        time_point end;
        std::string details;  ///< Proxy, target and tokens.
    };

    const workload_operation& choose_operation(std::size_t& index);
    std::string make_marker();
    std::size_t choose_proxy();
    void leave_proxy(std::size_t proxy, const api_answer& answer);
    attempt send(const std::string& pool, const std::string& path, nlohmann::json body,
                 const std::string& expected_echo, bool is_in_transaction);
    void count(const api_answer& answer);
    /** Waits before a repetition; returns false when the retry timeout has passed. */
    bool wait_before_retry(time_point give_up_at, int attempts);

    operation_sample run_write(const workload_operation& operation, const std::string& pool,
                               time_point give_up_at);
    write_record make_write(const workload_operation& operation, const std::string& pool);
    bool attempt_write(const workload_operation& operation, write_record& record, bool& is_sent);
    operation_sample run_read(const workload_operation& operation, const std::string& pool,
                              time_point give_up_at);
    void record_read(const workload_operation& operation, const std::string& pool,
                     const std::string& key, const attempt& done);
    operation_sample run_transfer(const workload_operation& operation, const std::string& pool,
                                  time_point give_up_at);
    bool run_legs(const std::string& id, transaction_record& record);
    void end_transaction(const std::string& id, transaction_record& record, time_point give_up_at);

    const std::uint32_t number_;
    const load_settings& settings_;
    const load_tables& tables_;
    caller_client& client_;
    proxy_directory& proxies_;
    progress_counters& progress_;
    std::mt19937_64 random_;
    std::discrete_distribution<std::size_t> mix_;
    std::size_t own_proxy_;
    std::uint64_t next_marker_ = 0;
    std::map<std::string, std::string> tokens_;        ///< By pool.
    std::map<std::string, std::string> last_entries_;  ///< By pool: marker of the last own row.
    history history_;
    run_statistics statistics_;
};

}  // namespace hornbeamhook::load
