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

/** Why a primary is replaced. */
enum class change_reason {
    none,
    lost,        ///< No responsive VM reaches it.
    leaving,     ///< It is about to shut down.
    demoted,     ///< It reports that it is not the primary.
    unfinished,  ///< A VM that began a change did not complete it.
};

/** Name used in records and logs. Thread safe. */
std::string to_string(change_reason value);

/** State reported by a target during a change. */
struct survey_report {
    bool is_primary = false;
    state::term_number term = 0;
    state::log_point received;
    state::term_number held_term = 0;  ///< Not 0 while its replication is paused.

    auto operator<=>(const survey_report&) const = default;
};

/** Inputs to a step. */
struct promotion_input {
    std::string changer;  ///< This VM and its incarnation.
    std::optional<leadership_record> record;
    std::int64_t era = 0;               ///< The store's era as of this VM's newest read.
    std::int64_t era_since = 0;         ///< When this VM first read the store in this era.
    bool has_lease = false;             ///< This VM may use the primary of the record.
    store_version revoked_version = 0;  ///< Records up to this one give no lease to this VM.
    bool is_record_fresh = false;       ///< The store was read recently.
    bool may_claim = false;             ///< This VM has been listed for longer than a lease lasts.
    bool is_established = false;        ///< It has been listed for at least max_store_outage_ms.
    bool is_loss_confirmed = false;
    bool is_primary_leaving = false;
    bool is_primary_demoted = false;
    int rank = 0;                      ///< This VM's rank for the group; delays its claim.
    std::set<std::string> candidates;  ///< Targets that may become primary: listed and not leaving.
    std::set<std::string> targets;     ///< All listed targets.
    std::set<std::string> members;     ///< VMs that must release their lease, including this one.
    std::int64_t members_requested_at = 0;  ///< When the store read that listed them was sent.
    /// Primary according to discovery, with its term, once this VM has connected to it.
    std::optional<std::pair<std::string, state::term_number>> discovered_primary;
    /// Primary of a group without a record, listed now or last; its term is 0 if not known.
    std::optional<std::pair<std::string, state::term_number>> unrecorded_primary;
    std::set<std::string> listed_primaries;  ///< Targets that discovery lists as primary.
    /// Targets that answered this VM recently, on any connection, with the position that their log
    /// had reached in the last answer that named one.
    std::map<std::string, std::optional<state::log_point>> responsive_targets;
};

/** Time passed or input changed. */
struct input_changed {};

/** The store answered a write by this VM. `version` is empty if the write was not applied. */
struct record_written {
    int write = 0;  ///< Number of the answered write.
    std::optional<std::int64_t> version;
};

/** The outcome of a write is unknown. */
struct record_unknown {
    int write = 0;
};

/** A member released its lease for the change with this version. */
struct lease_released {
    std::string vm;
    std::int64_t version = 0;
    bool is_established = false;  ///< It has been listed for at least max_store_outage_ms.
};

/** A target answered a survey; `report` is empty if the target could not be reached. */
struct report_received {
    int survey = 0;  ///< Number of the answered survey.
    std::string target;
    std::optional<survey_report> report;
};

/** A target is alive but could not report: it had no free slot, or too many connections. */
struct report_refused {
    int survey = 0;  ///< Number of the answered survey.
    std::string target;
};

/** The platform's answer to a promotion request. */
enum class promotion_outcome { accepted, not_running, refused, unknown };

/** The platform answered a promotion request. */
struct promotion_answered {
    std::int64_t fence = 0;  ///< Fence of the answered request.
    promotion_outcome outcome = promotion_outcome::unknown;
};

using promotion_event = std::variant<input_changed, record_written, record_unknown, lease_released,
                                     report_received, report_refused, promotion_answered>;

/** Write the record if the stored row still has version `expected`. */
struct write_record {
    int write = 0;  ///< Number that the answer repeats.
    leadership_record record;
    std::int64_t expected = 0;
};

/** Ask these members to release their leases. */
struct request_lease_release {
    std::set<std::string> members;
    std::int64_t version = 0;
    bool is_planned = false;
};

/** Read the store now. */
struct read_store {};

/** Ask a target for a report. */
struct request_report {
    int survey = 0;  ///< Number that the answer repeats.
    std::string target;
};

/** Demote a primary of a lower term to replica. */
struct step_down {
    std::string target;
    state::term_number term = 0;
};

/** Resume replication on a paused replica. */
struct resume_replica {
    std::string target;
};

/** Ask the platform to promote a target. `fence` increases with each change. */
struct request_promotion {
    std::string target;
    std::int64_t fence = 0;
};

/** The change completed; `duration_ms` counts from the claim. */
struct change_ended {
    change_reason reason = change_reason::none;
    leadership_record record;
    std::int64_t duration_ms = 0;
};

/** This VM gave up the change; `message` is the logged reason. */
struct change_abandoned {
    std::string message;
};

using promotion_action =
    std::variant<write_record, request_lease_release, read_store, request_report, step_down,
                 resume_replica, request_promotion, change_ended, change_abandoned>;

/** Progress of this VM in replacing the primary of one group. */
enum class promotion_phase {
    watching,
    claiming,              ///< The record announcing the change is being written.
    revoking,              ///< Other VMs are releasing their leases on the old primary.
    surveying,             ///< Targets are asked for their log positions.
    requesting_promotion,  ///< The platform is asked to promote.
    awaiting_promotion,    ///< The request was accepted; the target is not primary yet.
    recording,             ///< The record of the new primary is being written.
};

/**
 * Replaces the primary of one group. The claim is a conditional write of the leadership record, so
 * only one VM acts at a time; its row version is the fence of the promotion request. A claim has an
 * identity of its own, so that the row of an earlier claim by the same VM does not confirm it. The
 * request is sent only after each other VM has released its lease or the lease has expired. Pure:
 * no clock, no I/O. Not thread safe.
 */
class promotion {
public:
    /** Applies an event at time `now`, in ms of a local clock that counts time suspended. */
    std::vector<promotion_action> step(const promotion_input& input, const promotion_event& event,
                                       std::int64_t now);

    promotion_phase get_phase() const { return phase_; }

    /** Version of the current claim; 0 while watching or claiming. */
    std::int64_t get_claim_version() const { return claim_version_; }

private:
    using actions = std::vector<promotion_action>;

    void watch(const promotion_input& input, std::int64_t now, actions& out);
    /** Whether no other VM can have got past a claim since this VM's, if the store was restored and
     * has lost it. */
    bool is_claim_standing(const promotion_input& input, std::int64_t now) const;
    /** Writes a restored record again, so that other VMs know that no change was lost. */
    void write_restored(const promotion_input& input, std::int64_t now, actions& out);
    /** Whether the primary of a group without a record may be replaced as lost. */
    bool is_unrecorded_lost(const promotion_input& input, std::int64_t now) const;
    /** Writes the first record of a group whose primary is reached. */
    void write_first(const promotion_input& input, std::int64_t now, actions& out);
    change_reason find_reason(const promotion_input& input, std::int64_t now);
    void claim(const promotion_input& input, change_reason reason, std::int64_t now, actions& out);
    void begin_revoking(const promotion_input& input, std::int64_t version, std::int64_t now,
                        actions& out);
    void continue_revoking(const promotion_input& input, std::int64_t now, actions& out);
    void begin_survey(const promotion_input& input, std::int64_t now, actions& out);
    void continue_survey(const promotion_input& input, std::int64_t now, actions& out);
    /** The reported primary with the highest term that is not older than the record's. */
    std::optional<std::pair<std::string, state::term_number>> find_reported_primary() const;
    /**
     * Whether no target can be primary in a newer term than `target`, which reported itself primary
     * in `term`. After a promotion request, of this VM or of one whose change it took over, each
     * target that may have been promoted must have reported that it knows no newer term.
     */
    bool is_newest_primary(const promotion_input& input, const std::string& target,
                           state::term_number term) const;
    bool is_candidate(const promotion_input& input, const std::string& target) const;
    std::optional<std::string> choose_candidate(const promotion_input& input) const;
    /** The end of the log that the target has received, by its report. Without one, a position that
     * its log had reached if it is alive. */
    std::optional<state::log_point> get_received(const promotion_input& input,
                                                 const std::string& target) const;
    void send_promotion_request(const std::string& target, std::int64_t now, actions& out);
    void continue_recording(std::int64_t now, actions& out);
    void continue_awaiting(const promotion_input& input, std::int64_t now, actions& out);
    void record(const std::string& target, state::term_number term, std::int64_t now, actions& out);
    void abandon(std::string message, actions& out);
    void handle_written(const promotion_input& input, const record_written& event, std::int64_t now,
                        actions& out);
    void handle_report(const promotion_input& input, const report_received& event, std::int64_t now,
                       actions& out);
    void handle_refused_report(const report_refused& event, std::int64_t now, actions& out);
    /** Whether a target that is known to be alive has not reported and may still be waited for. */
    bool is_awaiting_live_target(const promotion_input& input, std::int64_t now) const;
    bool may_await_live_targets(std::int64_t now) const;
    void handle_promotion_answer(const promotion_input& input, const promotion_answered& event,
                                 std::int64_t now, actions& out);

    promotion_phase phase_ = promotion_phase::watching;
    change_reason reason_ = change_reason::none;
    change_reason pending_reason_ = change_reason::none;
    std::int64_t pending_since_ = 0;
    std::int64_t observed_version_ = 0;  ///< Of the newest record; gives the age of a change.
    std::int64_t observed_since_ = 0;
    leadership_record old_;
    leadership_record next_;
    std::string claim_id_;  ///< Identifies the last claim; it is stored as the record's changer.
    std::int64_t claim_era_ = 0;
    std::int64_t claim_sent_at_ = 0;  ///< The claim may have been applied any time after this.
    std::int64_t claim_version_ = 0;  ///< Of the record that this VM's next write replaces.
    std::int64_t fence_ = 0;          ///< Of the promotion requests of this claim.
    std::int64_t claimed_at_ = 0;     ///< When this VM learned that the claim was applied.
    std::int64_t phase_since_ = 0;
    std::int64_t stepped_at_ = 0;  ///< Steps follow each other quickly unless the VM is suspended.
    /// When an established member last released its lease for this claim; empty before the first.
    std::optional<std::int64_t> established_released_at_;
    std::int64_t sent_at_ = 0;  ///< When the last messages of the current phase were sent.
    std::set<std::string> waiting_;
    std::set<std::string> refused_by_;   ///< Targets that refused a report in this survey.
    std::set<std::string> released_by_;  ///< Members that answered the current claim.
    std::map<std::string, std::optional<survey_report>> reports_;
    std::set<std::string> excluded_;  ///< Targets reported as not running by the platform.
    std::string chosen_;
    state::term_number superseded_term_ = 0;  ///< A new primary has a term above this one.
    bool is_request_outstanding_ = false;
    bool is_report_outstanding_ = false;  ///< Of the target that is to become primary.
    bool may_be_promoted_ = false;    ///< A promotion may have been requested since the old record.
    std::int64_t record_due_at_ = 0;  ///< Next attempt to write the record of the new primary.
    std::int64_t ended_version_ = 0;  ///< Of the last record that this VM wrote.
    std::int64_t read_requested_at_ = 0;    ///< When this VM last asked for a read of the store.
    std::int64_t restored_written_at_ = 0;  ///< Last attempt to write a restored record again.
    int write_ = 0;   ///< Number of the last write; answers to earlier writes are ignored.
    int survey_ = 0;  ///< Number of the last survey; answers to earlier surveys are ignored.
};

}  // namespace hornbeamhook::coordination
