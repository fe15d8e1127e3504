#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "coordination/transaction_registry.h"
#include "proxy/exchange_log.h"
#include "proxy/home_runtime.h"

namespace hornbeamhook::proxy {

/** An open transaction with the target that it holds a connection of. */
struct transaction_state {
    coordination::open_transaction transaction;
    std::string target;
    bool is_write = true;
};

/** What became of an operator's wish to end a transaction. */
struct ended_transaction {
    coordination::transaction_end_result end = coordination::transaction_end_result::gone;
    transaction_state was;  ///< Unless it is gone.
};

/**
 * Open transactions at their home. Each pins one connection until it ends; when this process dies,
 * its connections close and the targets roll back.
 */
class transaction_service {
public:
    /** `runtime` must outlive this. */
    explicit transaction_service(home_runtime& runtime);

    /** Rolls back what is open. */
    ~transaction_service();
    transaction_service(const transaction_service&) = delete;
    transaction_service& operator=(const transaction_service&) = delete;

    /** Serves a request of a transaction; answers from any thread. Thread safe, does not block on a
     * target. */
    void handle(protocol::execute_request request, execute_responder respond);

    /** Rolls back transactions past their idle or total time. Thread safe. */
    void expire(state::time_point now);

    /** Open transactions. Thread safe. */
    std::size_t get_open() const;

    /** All open transactions. Thread safe. */
    std::vector<transaction_state> get_transactions() const;

    /**
     * Rolls back a transaction of `pool` for an operator; one with a running statement when that
     * statement has ended. A running commit is not interrupted. Thread safe.
     */
    ended_transaction end(std::uint64_t number, const std::string& pool);

private:
    /** A place of the lane, held from the begin of a transaction to its end. */
    struct held_place {
        std::shared_ptr<target_lane> lane;
        lane_place place;
    };

    using begin_function = std::function<void(const held_place&)>;

    struct pinned {
        std::unique_ptr<target_session> session;
        held_place held;
        state::target_description target;
        bool is_write = true;
    };

    void run(const protocol::execute_request& request, state::time_point deadline,
             const execute_responder& respond);
    void begin(const protocol::execute_request& request, const state::target_description& target,
               const held_place& held, state::time_point deadline,
               const execute_responder& respond);
    void begin_read(const protocol::execute_request& request,
                    const state::target_description& target, state::time_point arrival,
                    state::time_point deadline, const execute_responder& respond);
    void open(const protocol::execute_request& request, const state::target_description& target,
              const coordination::required_points& required, const held_place& held,
              state::time_point deadline, const execute_responder& respond);
    void run_statements(const protocol::execute_request& request, state::time_point deadline,
                        const execute_responder& respond);
    void commit(const protocol::execute_request& request, state::time_point deadline,
                const execute_responder& respond);
    void rollback(const protocol::execute_request& request, state::time_point deadline,
                  const execute_responder& respond);
    std::shared_ptr<pinned> claim(const protocol::execute_request& request,
                                  const execute_responder& respond);
    void close(std::uint64_t number);
    void wait_for_place(const protocol::execute_request& request,
                        const state::target_description& target, state::time_point deadline,
                        const execute_responder& respond, begin_function start);
    void give_up_place(const held_place& held);
    void end_place(const held_place& held);
    transaction_state make_state(const coordination::open_transaction& transaction) const;
    bool ensure_key_table(const protocol::execute_request& request,
                          const state::target_description& target, state::time_point deadline);

    home_runtime& runtime_;
    exchange_log exchanges_;
    mutable std::mutex mutex_;
    coordination::transaction_registry registry_;
    std::map<std::uint64_t, std::shared_ptr<pinned>> pinned_;
    std::set<std::string> pools_with_table_;
};

}  // namespace hornbeamhook::proxy
