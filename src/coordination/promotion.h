#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "coordination/primary_lease.h"
#include "state/log_point.h"

namespace hornbeamhook::coordination {

/** Why a primary is to be replaced. */
enum class change_reason {
    none,
    lost,        ///< No VM that answers reaches it.
    leaving,     ///< It shuts down soon.
    demoted,     ///< It answers that it is not the primary.
    unfinished,  ///< A VM that began a change did not end it.
};

/** The name of a reason in records and logs. Thread safe. */
std::string to_string(change_reason value);

/** What a target said of itself during a change. */
struct survey_report {
    bool is_primary = false;
    state::term_number term = 0;
    state::log_point received;
    state::term_number held_term = 0;  ///< Not 0 while it is kept from receiving.

    auto operator<=>(const survey_report&) const = default;
};

/** What the VM knows when a step is taken. */
struct promotion_facts {
    std::string changer;  ///< This VM and its incarnation.
    std::optional<leadership_record> record;
    bool is_record_fresh = false;  ///< The store was read lately.
    bool may_claim = false;        ///< This VM is listed for longer than a right lasts.
    bool is_established = false;   ///< It is listed for longer than promises replace the store.
    bool is_loss_confirmed = false;
    bool is_primary_leaving = false;
    bool is_primary_demoted = false;
    int rank = 0;                       ///< Of this VM for the group; delays its claim.
    std::set<std::string> candidates;   ///< Targets that may lead: listed and not leaving.
    std::set<std::string> targets;      ///< All listed targets.
    std::set<std::string> members;      ///< VMs that have to give up their right; this one too.
    std::int64_t members_asked_at = 0;  ///< When the reading that lists them was sent.
    /// Listed as primary by discovery, with its term once this VM has connected to it.
    std::optional<std::pair<std::string, state::term_number>> discovered_primary;
    std::set<std::string> listed_primaries;  ///< Targets that call themselves primary.
};

/** Time passed or facts changed. */
struct facts_changed {};

/** The store answered a write of this VM: `version` is empty when the write was not applied. */
struct record_written {
    int write = 0;  ///< Number of the write that it answers.
    std::optional<std::int64_t> version;
};

/** It is not known whether a write was applied. */
struct record_unknown {
    int write = 0;
};

/** A member gave up its right for the change with this version. */
struct lease_released {
    std::string vm;
    std::int64_t version = 0;
};

/** A target answered a survey; empty when it could not be asked. */
struct report_received {
    int survey = 0;  ///< Number of the survey that it answers.
    std::string target;
    std::optional<survey_report> report;
};

/** How the platform answered a request. */
enum class promotion_outcome { accepted, not_running, refused, unknown };

/** The platform answered a request to promote. */
struct promotion_answered {
    std::int64_t fence = 0;  ///< Of the request.
    promotion_outcome outcome = promotion_outcome::unknown;
};

using promotion_event = std::variant<facts_changed, record_written, record_unknown, lease_released,
                                     report_received, promotion_answered>;

/** Write the record if the stored row still has the version `expected`. */
struct write_record {
    int write = 0;  ///< Its answer carries the same number.
    leadership_record record;
    std::int64_t expected = 0;
};

/** Tell these members to give up their right. */
struct request_lease_release {
    std::set<std::string> members;
    std::int64_t version = 0;
    bool is_planned = false;
};

/** Ask a target for a report. */
struct request_report {
    int survey = 0;  ///< The answer carries the same number.
    std::string target;
};

/** Make a primary of a lower term a replica. */
struct step_down {
    std::string target;
    state::term_number term = 0;
};

/** Let a held replica receive again. */
struct resume_replica {
    std::string target;
};

/** Order the platform to promote. `fence` grows with each change. */
struct request_promotion {
    std::string target;
    std::int64_t fence = 0;
};

/** The change ended; `duration_ms` from the claim. */
struct change_ended {
    change_reason reason = change_reason::none;
    leadership_record record;
    std::int64_t duration_ms = 0;
};

/** The change was left to others, with the reason for the log. */
struct change_abandoned {
    std::string message;
};

using promotion_action =
    std::variant<write_record, request_lease_release, request_report, step_down, resume_replica,
                 request_promotion, change_ended, change_abandoned>;

/** Where this VM stands with replacing the primary of one group. */
enum class promotion_phase {
    watching,
    claiming,              ///< The record that announces the change is being written.
    revoking,              ///< Other VMs give up their right to the old primary.
    surveying,             ///< Targets are asked for their positions.
    requesting_promotion,  ///< The platform is asked to promote.
    awaiting_promotion,    ///< The request was accepted; the target does not lead yet.
    recording,             ///< The record of the new primary is being written.
};

/**
 * Replaces the primary of one group. The claim is a conditional write of the leadership record, so
 * one VM acts at a time; its row version is the fence of the request. Every other VM has given up
 * its right, or the right has expired, before the request is sent. Pure: no clock, no I/O. Not
 * thread safe.
 */
class promotion {
public:
    /** Applies an event at local time `now`, in ms of a clock that counts suspensions. */
    std::vector<promotion_action> step(const promotion_facts& facts, const promotion_event& event,
                                       std::int64_t now);

    promotion_phase get_phase() const { return phase_; }

    /** Version of the claim under way; 0 while watching or claiming. */
    std::int64_t get_claim_version() const { return claim_version_; }

private:
    using actions = std::vector<promotion_action>;

    void watch(const promotion_facts& facts, std::int64_t now, actions& out);
    change_reason find_reason(const promotion_facts& facts, std::int64_t now);
    void claim(const promotion_facts& facts, change_reason reason, std::int64_t now, actions& out);
    void begin_revoking(const promotion_facts& facts, std::int64_t version, std::int64_t now,
                        actions& out);
    void continue_revoking(const promotion_facts& facts, std::int64_t now, actions& out);
    void begin_survey(const promotion_facts& facts, std::int64_t now, actions& out);
    void continue_survey(const promotion_facts& facts, std::int64_t now, actions& out);
    std::optional<std::string> choose_candidate(const promotion_facts& facts) const;
    void send_promotion_request(const std::string& target, std::int64_t now, actions& out);
    void continue_awaiting(const promotion_facts& facts, std::int64_t now, actions& out);
    void record(const std::string& target, state::term_number term, std::int64_t now, actions& out);
    void abandon(std::string message, actions& out);
    void handle_written(const promotion_facts& facts, const record_written& event, std::int64_t now,
                        actions& out);
    void handle_report(const report_received& event, std::int64_t now, actions& out);
    void handle_promotion_answer(const promotion_facts& facts, const promotion_answered& event,
                                 std::int64_t now, actions& out);

    promotion_phase phase_ = promotion_phase::watching;
    change_reason reason_ = change_reason::none;
    change_reason pending_reason_ = change_reason::none;
    std::int64_t pending_since_ = 0;
    std::int64_t observed_version_ = 0;  ///< Of the newest record, to tell how old a change is.
    std::int64_t observed_since_ = 0;
    leadership_record old_;
    leadership_record next_;
    std::int64_t claim_version_ = 0;
    std::int64_t claimed_at_ = 0;
    std::int64_t phase_since_ = 0;
    std::int64_t last_released_at_ = 0;  ///< When a member last gave up its right.
    std::int64_t sent_at_ = 0;           ///< Of the last messages of the present phase.
    std::set<std::string> waiting_;
    std::set<std::string> released_by_;  ///< Members that answered the present claim.
    std::map<std::string, std::optional<survey_report>> reports_;
    std::set<std::string> excluded_;  ///< Targets that the platform did not find running.
    std::string chosen_;
    bool is_request_outstanding_ = false;
    int write_attempts_ = 0;
    std::int64_t ended_version_ = 0;  ///< Of the record that this VM wrote last.
    int write_ = 0;   ///< Number of the last write; answers to earlier ones are ignored.
    int survey_ = 0;  ///< Number of the last survey; answers to earlier ones are ignored.
};

}  // namespace hornbeamhook::coordination
