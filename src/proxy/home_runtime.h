#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "protocol/execute_message.h"
#include "protocol/proxy_settings.h"
#include "proxy/acknowledgement_relay.h"
#include "proxy/data_metrics.h"
#include "proxy/execution.h"
#include "proxy/group_source.h"
#include "proxy/group_waiter.h"
#include "proxy/target_lane.h"
#include "proxy/target_session.h"
#include "transport/worker_pool.h"

namespace hornbeamhook::proxy {

/** Sends the answer of a home; called exactly once. */
using execute_responder = std::function<void(protocol::execute_answer)>;

/** The queues and the limit of one target at this home. */
struct lane_usage {
    std::string target;  ///< "pool/target".
    std::size_t queued_reads = 0;
    std::size_t queued_writes = 0;
    std::size_t queued_transactions = 0;
    int in_flight = 0;   ///< Requests and transactions that hold a place.
    int read_limit = 0;  ///< Reads that may hold a place.
    int write_limit = 0;
    int transaction_limit = 0;

    bool operator==(const lane_usage&) const = default;
};

/** What the home's services share: lanes, threads, checks and the wait for acknowledgements. */
class home_runtime {
public:
    /** The references must outlive this. */
    home_runtime(const protocol::proxy_settings& settings, std::uint64_t incarnation,
                 group_source& groups, session_source& sessions, data_metrics& metrics);
    ~home_runtime();
    home_runtime(const home_runtime&) = delete;
    home_runtime& operator=(const home_runtime&) = delete;

    /** Ends the threads. Safe to call twice. */
    void stop();

    /** The target of a request, or why this home does not serve it. Thread safe. */
    std::optional<protocol::execute_answer> check(const protocol::execute_request& request,
                                                  state::target_description& target) const;

    /** The lane of a target. Thread safe. */
    std::shared_ptr<target_lane> get_lane(const std::string& pool,
                                          const state::target_description& target);

    /** Starts what the lane allows. Thread safe. */
    void dispatch(const std::shared_ptr<target_lane>& lane);

    /** Refuses waiting requests past their deadline, and waiting writes and transactions at a
     * primary that this home cannot reach. Thread safe. */
    void expire_queues(state::time_point now);

    /**
     * Turns an execution into the answer, after the group acknowledged it where needed. Thread
     * safe, does not block.
     */
    void answer(const protocol::execute_request& request, execution result,
                state::time_point deadline, execute_responder respond);

    /** Time to keep between a commit and the deadline, for the group's acknowledgement. Without
     * it a write that waited long would end as `unknown` rather than `not_run`. Thread safe. */
    std::chrono::milliseconds get_acknowledgement_reserve(const std::string& pool);

    /** Reports a failed exchange to the control side and to the pool of connections. */
    void report_failure(const protocol::execute_request& request, const execution& result);

    /** An answer that nothing ran. The caller of this function has to prove it. */
    protocol::execute_answer make_refusal(const protocol::execute_request& request,
                                          protocol::error_code code, std::string message) const;

    /** The answer to an exchange id that was seen before: the first copy may be running, so it is
     * `unknown`. Thread safe. */
    protocol::execute_answer make_duplicate_answer(const protocol::execute_request& request) const;

    /** New requests are refused from now on. Thread safe. */
    void begin_drain() { is_draining_ = true; }

    /** Sums over all lanes. Thread safe. */
    void add_gauges(gauge_sample& gauges);

    /** The lanes of all targets, by name. Thread safe. */
    std::vector<lane_usage> get_lane_usage();

    group_source& get_groups() { return groups_; }
    session_source& get_sessions() { return sessions_; }
    executor& get_executor() { return executor_; }
    group_waiter& get_waiter() { return waiter_; }
    transport::worker_pool& get_transaction_workers() { return transaction_workers_; }
    std::uint64_t get_incarnation() const { return incarnation_; }
    const protocol::proxy_settings& get_settings() const { return settings_; }

private:
    bool is_home(const state::fleet_view& view, const protocol::execute_request& request) const;
    void hand_over(const std::string& pool, protocol::execute_answer done,
                   state::time_point deadline, const execute_responder& respond);
    void record_acknowledgement(const std::string& pool, std::chrono::microseconds duration);

    const protocol::proxy_settings& settings_;
    const std::uint64_t incarnation_;
    group_source& groups_;
    session_source& sessions_;
    data_metrics& metrics_;
    executor executor_;
    acknowledgement_relay relay_;
    std::atomic<bool> is_draining_ = false;
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<target_lane>> lanes_;
    std::map<std::string, std::chrono::microseconds> acknowledgement_times_;  ///< Smoothed.
    transport::worker_pool workers_;
    transport::worker_pool transaction_workers_;
    group_waiter waiter_;
};

}  // namespace hornbeamhook::proxy
