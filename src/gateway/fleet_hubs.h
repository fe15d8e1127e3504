#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/peer_message.h"
#include "gateway/peer_messenger.h"

namespace hornbeamhook::gateway {

/** Fleets of this size or more exchange state through hubs instead of between all VMs. */
inline constexpr int min_hub_fleet_size = 16;

/** Between requests to hubs. */
inline constexpr std::int64_t hub_request_interval_ms = 350;

/**
 * Chooses the VMs that collect the state of a large fleet. Each place has two hubs. The VMs of a
 * place ask their hubs for the members' state, log positions and the versions of the stored rows;
 * hubs ask the hubs of the other places. One hub, the reader, reads the store for the fleet; the
 * first hubs of the other places follow it, and the VMs of a place follow the first hub of theirs.
 * All of this is advisory: what a VM learns carries its age, and two VMs that choose different hubs
 * only send more messages. Loop thread only.
 */
class fleet_hubs {
public:
    explicit fleet_hubs(fleet_member self) : self_(std::move(self)) {}

    /** Chooses hubs among the live members, which include this VM. */
    void update(const std::vector<fleet_member>& live, int fleet_size, bool is_store_available,
                std::int64_t now);

    /** Whether the fleet is large enough for hubs. */
    bool is_enabled() const { return is_enabled_; }
    /** Whether this VM is a hub of its place. */
    bool is_hub() const { return hub_since_ != 0; }
    /** Whether this VM has been a hub for long enough to have heard from each live member. */
    bool may_report_silence(std::int64_t now) const;
    /** Whether this VM is the first hub of its place. */
    bool is_first_hub() const { return is_hub() && own_hubs_.front() == self_.vm; }
    /** Whether this VM reads the store for the fleet. */
    bool is_reader() const { return reader_ == self_.vm; }

    /** VMs to send the next request to, besides those that this VM has to ask for positions. */
    std::vector<std::string> get_hubs() const;

    /** Registers a request that is sent to `vms` now; returns its sequence number. */
    std::int64_t begin_request(const std::vector<std::string>& vms, std::int64_t now);
    /** When the request with this number was sent; empty for requests no longer kept. */
    std::optional<std::int64_t> get_request_time(std::int64_t sequence) const;
    /** Records an answer to a request. */
    void handle_answer(const std::string& vm, bool is_store_available, std::int64_t now);
    /** The hub whose copies of the stored tables this VM follows; empty if none answers. */
    std::optional<std::string> find_upstream(std::int64_t now) const;

    /** Keeps another place's report that was made at `as_of`. */
    void handle_report(const place_report& report, std::int64_t as_of);
    /** Recent reports about other places, with their age. */
    std::vector<place_report> get_reports(std::int64_t now) const;

private:
    struct kept_report {
        place_report report;
        std::int64_t as_of = 0;
    };

    struct hub_contact {
        std::int64_t waiting_since = 0;  ///< First request without an answer since; 0 if none.
        std::int64_t answered_at = 0;
        std::int64_t backoff_until = 0;
        bool is_store_available = true;
    };

    bool is_reached(const std::string& vm, std::int64_t now) const;

    std::vector<std::string> choose(const std::vector<fleet_member>& live, const std::string& place,
                                    std::int64_t now) const;

    fleet_member self_;
    bool is_enabled_ = false;
    std::string reader_;          ///< As far as this VM knows; only hubs need to know.
    std::int64_t hub_since_ = 0;  ///< 0 while this VM is not a hub.
    std::vector<std::string> own_hubs_;
    std::vector<std::string> remote_hubs_;
    std::map<std::string, hub_contact> contacts_;
    std::map<std::string, kept_report> reports_;  ///< By place.
    std::map<std::int64_t, std::int64_t> requests_;
    std::int64_t sequence_ = 0;
};

}  // namespace hornbeamhook::gateway
