#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/limit_accountant.h"
#include "coordination/limit_client.h"
#include "gateway/operation_gate.h"
#include "gateway/organisation_counts.h"
#include "gateway/organisation_table.h"
#include "gateway/peer_message.h"

namespace hornbeamhook::gateway {

/** What limit_exchange needs from its owner. */
struct limit_exchange_owner {
    /** The organisation in the newest configuration; null if there is none. */
    std::function<const organisation*(const std::string&)> find_organisation;
    std::function<void(const std::string& vm, const peer_message&)> send;
    /** Retries the queued statements of a group. */
    std::function<void(const std::string& group)> dispatch;
};

/**
 * Asks the accountants for operations of limited organisations and is an accountant itself.
 * Without I/O: the owner sends the messages and calls tick(). Loop thread only.
 */
class limit_exchange : public operation_gate {
public:
    /** `terms` holds the tolerance; the rate and burst come from the organisations. `process`
     * differs between processes of this VM and is not 0. */
    limit_exchange(const std::string& vm, std::uint64_t process,
                   const coordination::limit_terms& terms, std::int64_t now,
                   limit_exchange_owner owner);

    /** Sets the VMs that may be accountants and the number of listed VMs, 0 while this VM is not
     * listed. */
    void set_members(const std::vector<std::string>& live, std::int64_t listed, std::int64_t now);
    /** Sends what is due. Call every limit_tick_ms. */
    void tick(std::int64_t now);
    /** Answers another VM, or this one. */
    void handle(const coordination::limit_request& request, std::int64_t now);
    void handle(const coordination::limit_answer& answer, std::int64_t now);

    bool allow(const pending_statement_ptr& pending, std::int64_t now) override;
    bool is_hopeless(const pending_statement& pending, std::int64_t left_ms,
                     std::int64_t now) const override;
    void count_refused(const pending_statement& pending) override;

    /** Operations by organisation in the Prometheus text format. */
    std::string format_metrics() const;

private:
    /// The organisations are divided, so that no single VM answers for all of them.
    static constexpr std::size_t shard_count = 4;

    struct shard {
        std::unique_ptr<coordination::limit_client> client;
        std::unique_ptr<coordination::limit_accountant> accountant;
    };

    static std::size_t get_shard(const std::string& organisation);
    std::optional<coordination::limit_bucket> find_bucket(const std::string& organisation) const;
    void poll(shard& value, std::int64_t now);
    void report_waiting(const std::string& organisation, std::int64_t now);
    /** Gives grants to waiting statements, best priority first, and notes their groups. */
    void hand_out(const std::string& organisation, std::int64_t now);

    void dispatch_granted();

    std::string vm_;
    coordination::limit_timing timing_;
    coordination::limit_terms terms_;
    limit_exchange_owner owner_;
    std::array<shard, shard_count> shards_;
    /// By organisation. The engine owns the statements, and its end must end their sessions.
    std::map<std::string, std::vector<std::weak_ptr<pending_statement>>> waiting_;
    organisation_counts counts_;
    std::set<std::string> granted_groups_;  ///< Groups whose queues hold statements with grants.
    /// While the engine asks about a statement its queues must not be dispatched.
    bool is_asked_ = false;
};

/// Between calls of limit_exchange::tick().
inline constexpr std::int64_t limit_tick_ms = 20;

}  // namespace hornbeamhook::gateway
