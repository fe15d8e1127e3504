#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/peer_messenger.h"
#include "gateway/platform_protocol.h"

namespace hornbeamhook::gateway {

/** Prefixes of the keys of the product's own rows. */
inline constexpr const char* member_key_prefix = "vm/";
inline constexpr const char* group_key_prefix = "group/";

/** A member's row in the store. Thread safe. */
std::string format_member(const fleet_member& member);

/** Empty for a value that is no member's row. Thread safe. */
std::optional<fleet_member> parse_member(const std::string& vm, const std::string& value);

/** The other VMs of the fleet and what was heard from them lately. Loop thread only. */
class fleet_membership {
public:
    explicit fleet_membership(fleet_member self) : self_(std::move(self)) {}

    /** Takes the member rows of a reading; returns the names that joined and left. */
    std::pair<std::set<std::string>, std::set<std::string>> update(
        const std::vector<fleet_member>& members, bool is_self_listed, std::int64_t now);

    /** A ping with this number and the digest of these promises is sent to all members now. */
    std::int64_t begin_ping_round(std::int64_t now,
                                  const std::vector<record_promise>& promises = {});

    /** Whether every member has answered the newest ping. */
    bool is_round_complete() const;

    /** A member answered a ping. */
    void handle_pong(const peer_pong& pong, std::int64_t now);

    /**
     * The latest time t such that every member promised, to a ping sent at t or later, that the
     * record with `version` was the newest it knew. Empty when some member did not. A member that
     * knows an older record cannot change it: its conditional write would fail.
     */
    std::optional<std::int64_t> get_promised_since(const std::string& group,
                                                   std::int64_t version) const;

    /** When the ping with this number was sent; empty when that is too long ago. */
    std::optional<std::int64_t> get_ping_time(std::int64_t sequence) const;

    /** Members that answered lately. */
    std::set<std::string> get_responsive_members(std::int64_t now) const;

    /** VMs that answered lately or have just joined, and do not stop; with this one. */
    std::vector<fleet_member> get_live_members(std::int64_t now) const;

    /**
     * VMs that may hold a right: this one, the listed ones, and those that left the list so lately
     * that a right of theirs may not have ended. This VM promises nothing to a VM that left, and
     * such a VM finds itself unlisted with its next reading of the store.
     */
    std::set<std::string> get_lease_holders(std::int64_t now) const;

    /** Members that have been silent for so long that they may be removed. */
    std::set<std::string> get_removable_members(std::int64_t now) const;

    /** Control addresses of members that the store serves. */
    std::vector<transport::endpoint> get_store_relays(std::int64_t now) const;

    /** Position of this VM among the responsive ones in an order of its own for each group. */
    int get_rank(const std::string& group, std::int64_t now) const;

    const fleet_member& get_self() const { return self_; }
    const std::map<std::string, fleet_member>& get_members() const { return members_; }
    bool is_self_listed() const { return listed_since_.has_value(); }
    /** Since when this VM is listed; empty while it is not. */
    std::optional<std::int64_t> get_listed_since() const { return listed_since_; }

private:
    struct peer_state {
        std::int64_t last_pong_at = 0;
        std::int64_t answered_ping_sent_at = 0;        ///< Of the newest ping that it answered.
        std::map<std::string, std::int64_t> promises;  ///< Record versions, by group.
        std::int64_t joined_at = 0;
        bool is_store_available = false;
        bool is_stopping = false;
    };

    struct ping_round {
        std::int64_t sent_at = 0;
        std::map<std::string, std::int64_t> promises;  ///< Own record versions, by group.
    };

    fleet_member self_;
    std::map<std::string, fleet_member> members_;  ///< Without this VM.
    std::map<std::string, peer_state> peer_states_;
    std::map<std::string, std::int64_t> left_at_;  ///< When a member was first seen to be missing.
    std::map<std::int64_t, ping_round> pings_;     ///< The last ones, by number.
    std::int64_t sequence_ = 0;
    std::optional<std::int64_t> listed_since_;
};

}  // namespace hornbeamhook::gateway
