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

/** Key prefixes in the product's table. */
inline constexpr const char* member_key_prefix = "vm/";
inline constexpr const char* group_key_prefix = "group/";

/** Formats the value of a member's row in the store. Thread safe. */
std::string format_member(const fleet_member& member);

/** Empty when the value is not a valid member row. Thread safe. */
std::optional<fleet_member> parse_member(const std::string& vm, const std::string& value);

/** The other VMs of the fleet and the state they last reported. Loop thread only. */
class fleet_membership {
public:
    explicit fleet_membership(fleet_member self) : self_(std::move(self)) {}

    /** Applies the member rows read from the store; returns the VMs that joined and left. */
    std::pair<std::set<std::string>, std::set<std::string>> update(
        const std::vector<fleet_member>& members, bool is_self_listed, std::int64_t now);

    /** Registers a ping that is sent to all members now with the digest of `promises`; returns its
     * sequence number. */
    std::int64_t begin_ping_round(std::int64_t now,
                                  const std::vector<record_promise>& promises = {});

    /** Whether every member has answered the newest ping. */
    bool is_round_complete() const;

    /** Updates the state of the member that answered a ping. */
    void handle_pong(const peer_pong& pong, std::int64_t now);

    /** Records a message from the member itself. */
    void handle_heard(const std::string& vm, bool is_stopping, std::int64_t now);

    /**
     * Records a message of a process that is not listed. It may hold a lease from a list that this
     * VM has not read, so promoters have to wait for it.
     */
    void handle_unlisted(const std::string& vm, std::int64_t incarnation,
                         const transport::endpoint& address, std::int64_t now);

    /** Records that the member's process has ended as planned. */
    void handle_departure(const departure_notice& notice);

    /** Records that this VM asks the store to remove the member from the list. */
    void handle_removal_request(const std::string& vm);

    /**
     * Members that may keep this VM's promises after it has ended: those that it does not remove. A
     * removed member could otherwise extend its leases although no promoter waits for it any more.
     */
    std::vector<fleet_member> get_departure_receivers() const;

    /** Records whether the store serves the member. */
    void set_store_available(const std::string& vm, bool is_available);

    /** Applies a hub's report on the members of a place, made at `as_of` or later. */
    void apply_report(const place_report& report, std::int64_t as_of);

    /**
     * This VM's report on its own place, as a hub that the members send requests to. While
     * `may_report_silence` is false, not all of them know this hub yet, and only members that the
     * previous hub reported are silent.
     */
    place_report get_place_report(bool may_report_silence, std::int64_t now) const;

    /**
     * The latest time t such that every member, answering a ping sent at t or later, promised that
     * it knows no record newer than `version`; the promises of members that ended as planned stay
     * valid. Empty when some member did not promise or all have ended, or while this VM is not
     * listed: then promoters do not wait for it. A member that knows an older record cannot change
     * it, because its conditional write would fail.
     */
    std::optional<std::int64_t> get_promised_since(const std::string& group,
                                                   std::int64_t version) const;

    /** When the ping with this sequence number was sent; empty for pings no longer kept. */
    std::optional<std::int64_t> get_ping_time(std::int64_t sequence) const;

    /** Members that answered a ping recently and have not ended. */
    std::set<std::string> get_responsive_members(std::int64_t now) const;

    /** VMs that answered recently or have just joined and are not stopping, including this one. */
    std::vector<fleet_member> get_live_members(std::int64_t now) const;

    /**
     * VMs that may hold a lease: this one, the listed ones, and those removed from the list or
     * heard while unlisted so recently that their lease may not have expired; not those that ended
     * as planned. This VM makes no promises to an unlisted VM, and a removed VM learns that it is
     * unlisted when it next reads the store.
     */
    std::set<std::string> get_lease_holders(std::int64_t now) const;

    /**
     * Members that have not answered for longer than the removal timeout. Empty while this VM hears
     * from few members, because then its own connection has failed, and until it is established: a
     * member that does not know it may extend its lease by promises of others.
     */
    std::set<std::string> get_removable_members(std::int64_t now) const;

    /** Control addresses of responsive members for which the store is available. */
    std::vector<transport::endpoint> get_store_relays(std::int64_t now) const;

    /** Rank of this VM among the responsive ones by rendezvous weight for the group. */
    int get_rank(const std::string& group, std::int64_t now) const;

    /** Whether this VM is among those that confirm for the fleet that the store is still heard. */
    bool is_confirming(std::int64_t now) const;

    /** Whether the row is of this process, whichever of its registrations. */
    bool is_self(const fleet_member& member) const;

    const fleet_member& get_self() const { return self_; }
    const std::map<std::string, fleet_member>& get_members() const { return members_; }
    /** Where the VM receives messages, listed or not; empty for one that is not known. */
    std::optional<transport::endpoint> find_peer_address(const std::string& vm) const;
    /** The listed process of this VM; null if the VM is unlisted or listed with another process. */
    const fleet_member* find_member(const std::string& vm, std::int64_t incarnation) const;
    bool is_self_listed() const { return listed_since_.has_value(); }
    /** Whether this VM has been listed so long that every VM with a lease knows it. */
    bool is_established(std::int64_t now) const;
    /** When this VM was first seen in the member list; empty while it is not listed. */
    std::optional<std::int64_t> get_listed_since() const { return listed_since_; }

private:
    struct peer_state {
        std::int64_t last_pong_at = 0;  ///< Of an answer, or of a report that the VM is alive.
        std::int64_t heard_at = 0;      ///< Of the last message from the VM itself.
        std::int64_t answered_ping_sent_at = 0;
        std::map<std::string, std::int64_t> promises;  ///< Record versions, by group.
        std::int64_t joined_at = 0;
        bool is_store_available = false;
        bool is_stopping = false;
        bool has_ended = false;             ///< Its promises stay valid; it answers no more pings.
        bool is_removal_requested = false;  ///< By this VM.
    };

    /** A process that sends messages although it is not listed. */
    struct unlisted_process {
        std::int64_t incarnation = 0;
        transport::endpoint address;
        std::int64_t heard_at = 0;
    };

    struct ping_round {
        std::int64_t sent_at = 0;
        std::map<std::string, std::int64_t> promises;  ///< Own record versions, by group.
    };

    fleet_member self_;
    std::map<std::string, fleet_member> members_;  ///< Excludes this VM.
    std::map<std::string, peer_state> peer_states_;
    std::map<std::string, std::int64_t> left_at_;  ///< When a member was found removed.
    std::map<std::string, unlisted_process> unlisted_;
    std::map<std::string, std::int64_t> ended_incarnations_;  ///< Last that ended as planned.
    std::map<std::int64_t, ping_round> pings_;                ///< Recent pings, by sequence number.
    std::int64_t sequence_ = 0;
    std::optional<std::int64_t> listed_since_;
};

}  // namespace hornbeamhook::gateway
