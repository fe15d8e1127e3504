#include "coordination/promotion.h"

#include <algorithm>
#include <utility>

namespace hornbeamhook::coordination {

namespace {

/// Members answer within two inter-region trips; the next repeat makes up for a lost datagram.
constexpr std::int64_t resend_interval_ms = 80;
/// A report needs a free slot on the target and at most two inter-region trips.
constexpr std::int64_t survey_timeout_ms = 300;
/// How long a survey waits for the report of a target that is alive but busy; without that report
/// acknowledged commits may be lost. After the wait for a silent member it still ends before
/// request_deadline_ms.
constexpr std::int64_t live_target_timeout_ms = 2000;
/// How long a change waits for a replica to catch up with an old primary that still reports.
constexpr std::int64_t catch_up_timeout_ms = 600;
/// A promotion requested before this change was claimed has taken effect after this time.
constexpr std::int64_t promotion_effect_ms = 2000;
/// Interval between reports of a target that discovery does not list as primary yet; each report
/// takes a slot and is billed.
constexpr std::int64_t unlisted_report_interval_ms = 250;
/// The same while a report is outstanding, which a busy target may delay.
constexpr std::int64_t unanswered_report_interval_ms = 400;
/// An accepted promotion takes up to 1 s; after this time it is requested again.
constexpr std::int64_t promotion_timeout_ms = 2500;
/// Latest time after the claim was sent for a promotion request, because another VM may take over
/// afterwards.
constexpr std::int64_t request_deadline_ms = 4500;
/// Age at which another VM's change is taken over: request_deadline_ms plus the longest time that a
/// request may be in flight.
constexpr std::int64_t takeover_timeout_ms = 6500;
/// Delay between claims of VMs with consecutive ranks, so that one succeeds without a conflict.
constexpr std::int64_t rank_delay_ms = 120;
/// Between attempts to write a restored record again; a write takes 40 ms.
constexpr std::int64_t restored_write_interval_ms = 400;
/// Between reads of the store that a change waits for; a read takes 40 ms.
constexpr std::int64_t read_interval_ms = 250;
/// Before the record of a new primary is written again after a failed attempt.
constexpr std::int64_t record_retry_ms = 200;

}  // namespace

std::string to_string(change_reason value) {
    switch (value) {
        case change_reason::none:
            return "none";
        case change_reason::lost:
            return "lost";
        case change_reason::leaving:
            return "leaving";
        case change_reason::demoted:
            return "demoted";
        case change_reason::unfinished:
            return "unfinished";
    }
    return "none";
}

std::vector<promotion_action> promotion::step(const promotion_input& input,
                                              const promotion_event& event, std::int64_t now) {
    actions out;
    if (phase_ == promotion_phase::surveying && now - stepped_at_ > survey_timeout_ms) {
        // This VM was suspended and has asked nobody meanwhile.
        phase_since_ += now - stepped_at_;
    }
    stepped_at_ = now;
    if (input.record && input.record->version != observed_version_) {
        observed_version_ = input.record->version;
        observed_since_ = now;
    }
    if (const auto* written = std::get_if<record_written>(&event)) {
        handle_written(input, *written, now, out);
    } else if (const auto* unknown = std::get_if<record_unknown>(&event)) {
        // The next store read shows whether the write was applied.
        if (phase_ == promotion_phase::claiming && unknown->write == write_) {
            sent_at_ = 0;
        } else if (phase_ == promotion_phase::recording && unknown->write == write_) {
            record_due_at_ = now + record_retry_ms;
        }
    } else if (const auto* released = std::get_if<lease_released>(&event)) {
        if (released->version == claim_version_) {
            released_by_.insert(released->vm);
            waiting_.erase(released->vm);
            if (released->is_established) {
                established_released_at_ = now;
            }
        }
    } else if (const auto* report = std::get_if<report_received>(&event)) {
        handle_report(input, *report, now, out);
    } else if (const auto* refused = std::get_if<report_refused>(&event)) {
        handle_refused_report(*refused, now, out);
    } else if (const auto* answer = std::get_if<promotion_answered>(&event)) {
        handle_promotion_answer(input, *answer, now, out);
    }
    const bool is_overtaken =
        claim_version_ != 0 && input.record && input.record->version > claim_version_;
    if (is_overtaken) {
        const bool is_own = phase_ == promotion_phase::recording &&
                            input.record->target == next_.target &&
                            input.record->term == next_.term && !input.record->is_changing();
        if (is_own) {
            out.emplace_back(change_ended{reason_, *input.record, now - claimed_at_});
            abandon({}, out);
            return out;
        }
        if (!input.record->is_restored() || !is_claim_standing(input, now)) {
            abandon(input.record->is_restored() ? "the store was restored during the change"
                                                : "another VM took over the change",
                    out);
            return out;
        }
        // The claim is lost, but each lease was released or has expired, and other VMs take over a
        // restored record only after the deadline of this VM's request.
        claim_version_ = input.record->version;
        claim_era_ = input.era;
        next_.era = claim_era_;
        record_due_at_ = std::min(record_due_at_, now);
    }
    switch (phase_) {
        case promotion_phase::watching:
            watch(input, now, out);
            break;
        case promotion_phase::claiming:
            if (sent_at_ == 0 && input.record && input.record->changer == claim_id_ &&
                !input.record->is_restored()) {
                begin_revoking(input, input.record->version, now, out);
            } else if (sent_at_ == 0 && now - phase_since_ > lease_duration_ms) {
                abandon("no store read confirmed the claim", out);
            }
            break;
        case promotion_phase::revoking:
            continue_revoking(input, now, out);
            break;
        case promotion_phase::surveying:
            continue_survey(input, now, out);
            break;
        case promotion_phase::requesting_promotion:
            if (!is_request_outstanding_ && now - sent_at_ >= resend_interval_ms) {
                send_promotion_request(chosen_, now, out);
            }
            break;
        case promotion_phase::awaiting_promotion:
            continue_awaiting(input, now, out);
            break;
        case promotion_phase::recording:
            continue_recording(now, out);
            break;
    }
    return out;
}

void promotion::continue_recording(std::int64_t now, actions& out) {
    if (now - claim_sent_at_ > takeover_timeout_ms) {
        abandon("the new primary could not be written to the store", out);
        return;
    }
    if (now >= record_due_at_) {
        record_due_at_ = now + lease_duration_ms;
        out.emplace_back(write_record{++write_, next_, claim_version_});
    }
}

bool promotion::is_claim_standing(const promotion_input& input, std::int64_t now) const {
    switch (phase_) {
        case promotion_phase::requesting_promotion:
        case promotion_phase::awaiting_promotion:
            return true;
        case promotion_phase::recording:
            // The record may have been written and replaced by another claim before the restore.
            // Such a claim waits for this VM's answer or for the end of a lease.
            return now - phase_since_ < lease_duration_ms && input.revoked_version < claim_version_;
        case promotion_phase::watching:
        case promotion_phase::claiming:
        case promotion_phase::revoking:
        case promotion_phase::surveying:
            break;
    }
    return false;
}

void promotion::write_restored(const promotion_input& input, std::int64_t now, actions& out) {
    const bool is_turn = now - observed_since_ >= input.rank * rank_delay_ms;
    const bool is_due = restored_written_at_ < observed_since_ ||
                        now - restored_written_at_ >= restored_write_interval_ms;
    if (is_turn && is_due) {
        restored_written_at_ = now;
        out.emplace_back(write_record{++write_,
                                      {input.record->target, input.record->term, {}, 0, input.era},
                                      input.record->version});
    }
}

void promotion::watch(const promotion_input& input, std::int64_t now, actions& out) {
    if (input.record && input.record->is_restored() && input.has_lease) {
        write_restored(input, now, out);
        return;
    }
    if (!input.may_claim || !input.is_record_fresh) {
        pending_reason_ = change_reason::none;
        return;
    }
    if (input.record && input.record->version < ended_version_) {
        // The read that returns this VM's own record has not completed.
        return;
    }
    const change_reason reason = find_reason(input, now);
    if (!input.record && reason == change_reason::none) {
        pending_reason_ = change_reason::none;
        write_first(input, now, out);
        return;
    }
    if (reason != pending_reason_) {
        pending_reason_ = reason;
        pending_since_ = now;
    }
    if (reason != change_reason::none && now - pending_since_ >= input.rank * rank_delay_ms) {
        claim(input, reason, now, out);
    }
}

void promotion::write_first(const promotion_input& input, std::int64_t now, actions& out) {
    // A superseded primary is listed as primary for a while. Its record may have been lost with the
    // store.
    if (!input.discovered_primary || input.listed_primaries.size() > 1) {
        pending_since_ = now;
    } else if (now - pending_since_ >= input.rank * rank_delay_ms &&
               now - sent_at_ > lease_duration_ms) {
        sent_at_ = now;
        out.emplace_back(write_record{
            ++write_,
            {input.discovered_primary->first, input.discovered_primary->second, {}, 0, input.era},
            0});
    }
}

bool promotion::is_unrecorded_lost(const promotion_input& input, std::int64_t now) const {
    // The store may have been restored to a copy without the row of a claim whose promotion is
    // still to be requested.
    return input.is_loss_confirmed && input.unrecorded_primary &&
           input.listed_primaries.size() <= 1 && now - input.era_since > takeover_timeout_ms &&
           now - sent_at_ > lease_duration_ms;
}

change_reason promotion::find_reason(const promotion_input& input, std::int64_t now) {
    if (input.record && (input.record->is_changing() || input.record->is_restored())) {
        return now - observed_since_ > takeover_timeout_ms ? change_reason::unfinished
                                                           : change_reason::none;
    }
    std::set<std::string> others = input.candidates;
    if (input.record || input.unrecorded_primary) {
        others.erase(input.record ? input.record->target : input.unrecorded_primary->first);
    }
    if (others.empty()) {
        return change_reason::none;
    }
    if (!input.record) {
        return is_unrecorded_lost(input, now) ? change_reason::lost : change_reason::none;
    }
    if (input.is_loss_confirmed) {
        return change_reason::lost;
    }
    if (input.is_primary_demoted) {
        return change_reason::demoted;
    }
    return input.is_primary_leaving ? change_reason::leaving : change_reason::none;
}

void promotion::claim(const promotion_input& input, change_reason reason, std::int64_t now,
                      actions& out) {
    phase_ = promotion_phase::claiming;
    phase_since_ = now;
    sent_at_ = now;
    reason_ = reason;
    old_ = input.record ? *input.record
                        : leadership_record{input.unrecorded_primary->first,
                                            input.unrecorded_primary->second,
                                            {},
                                            0,
                                            input.era};
    excluded_.clear();
    // The record of an earlier change may be lost with the store.
    may_be_promoted_ = !input.record || old_.is_changing() || old_.is_restored();
    ++write_;
    claim_id_ = input.changer + '/' + std::to_string(write_);
    claim_era_ = input.era;
    claim_sent_at_ = now;
    out.emplace_back(
        write_record{write_, {old_.target, old_.term, claim_id_, 0, claim_era_}, old_.version});
}

void promotion::handle_written(const promotion_input& input, const record_written& event,
                               std::int64_t now, actions& out) {
    if (event.write != write_) {
        return;
    }
    if (phase_ == promotion_phase::claiming) {
        if (event.version && get_era(*event.version) == claim_era_) {
            begin_revoking(input, *event.version, now, out);
        } else if (event.version) {
            abandon("the store was restored before the claim", out);
        } else {
            abandon("another VM changed the record before the claim", out);
        }
    } else if (phase_ == promotion_phase::recording) {
        if (event.version) {
            leadership_record ended = next_;
            ended.version = *event.version;
            ended_version_ = *event.version;
            out.emplace_back(change_ended{reason_, ended, now - claimed_at_});
            abandon({}, out);
        } else {
            record_due_at_ = now + record_retry_ms;
        }
    }
}

void promotion::begin_revoking(const promotion_input& input, std::int64_t version, std::int64_t now,
                               actions& out) {
    phase_ = promotion_phase::revoking;
    claim_version_ = version;
    fence_ = version;
    claimed_at_ = now;
    established_released_at_.reset();
    phase_since_ = now;
    sent_at_ = 0;
    waiting_ = input.members;
    released_by_.clear();
    continue_revoking(input, now, out);
}

void promotion::continue_revoking(const promotion_input& input, std::int64_t now, actions& out) {
    // A member that cannot read the store may not know VMs that joined recently, so their silence
    // does not end its lease. It knows each established VM, and its lease expires after one of them
    // has stopped sending it promises.
    const std::int64_t waiting_since =
        input.is_established ? claimed_at_ : established_released_at_.value_or(claimed_at_);
    // A VM may have joined shortly before the claim. One that joins later sees the claim in the
    // store read that lists it.
    const bool is_list_complete = input.members_requested_at >= claimed_at_;
    for (const std::string& vm : input.members) {
        if (!released_by_.contains(vm)) {
            waiting_.insert(vm);
        }
    }
    if (waiting_.empty() && is_list_complete) {
        begin_survey(input, now, out);
        return;
    }
    if (now - waiting_since >= lease_duration_ms + clock_drift_margin_ms) {
        if (!input.is_established && !established_released_at_) {
            abandon("this VM joined recently and no established member answered", out);
            return;
        }
        // If the store was restored while a lease was still valid, that lease may go on although
        // its VM does not answer. This VM then reads a restored record.
        if (waiting_.empty() || input.members_requested_at >= waiting_since + lease_duration_ms) {
            begin_survey(input, now, out);
            return;
        }
        if (now - read_requested_at_ >= read_interval_ms) {
            read_requested_at_ = now;
            out.emplace_back(read_store{});
        }
    }
    if (!waiting_.empty() && now - sent_at_ >= resend_interval_ms) {
        sent_at_ = now;
        out.emplace_back(
            request_lease_release{waiting_, claim_version_, reason_ == change_reason::leaving});
    }
}

void promotion::begin_survey(const promotion_input& input, std::int64_t now, actions& out) {
    if (phase_ != promotion_phase::surveying) {
        phase_ = promotion_phase::surveying;
        phase_since_ = now;
    }
    sent_at_ = now;
    reports_.clear();
    refused_by_.clear();
    ++survey_;
    waiting_ = input.targets;
    for (const std::string& target : waiting_) {
        out.emplace_back(request_report{survey_, target});
    }
}

bool promotion::may_await_live_targets(std::int64_t now) const {
    return now - phase_since_ < live_target_timeout_ms;
}

bool promotion::is_awaiting_live_target(const promotion_input& input, std::int64_t now) const {
    return may_await_live_targets(now) &&
           std::any_of(waiting_.begin(), waiting_.end(), [&](const std::string& target) {
               return refused_by_.contains(target) || input.responsive_targets.contains(target);
           });
}

void promotion::handle_refused_report(const report_refused& event, std::int64_t now, actions& out) {
    if (event.survey != survey_) {
        return;
    }
    is_report_outstanding_ = false;
    if (phase_ != promotion_phase::surveying) {
        return;
    }
    refused_by_.insert(event.target);
    if (may_await_live_targets(now)) {
        out.emplace_back(request_report{survey_, event.target});
    }
}

void promotion::handle_report(const promotion_input& input, const report_received& event,
                              std::int64_t now, actions& out) {
    if (event.survey != survey_) {
        return;
    }
    if (phase_ == promotion_phase::surveying) {
        if (!event.report && input.responsive_targets.contains(event.target)) {
            // The request was held up or its answer was lost.
            handle_refused_report({event.survey, event.target}, now, out);
            return;
        }
        waiting_.erase(event.target);
        reports_[event.target] = event.report;
        return;
    }
    is_report_outstanding_ = false;
    if (phase_ != promotion_phase::awaiting_promotion || !event.report) {
        return;
    }
    // The platform may change nothing if the chosen target is already the newest primary; its term
    // then stays the same.
    const bool has_taken_effect =
        event.report->term > superseded_term_ || now - phase_since_ >= promotion_effect_ms;
    if (event.report->is_primary && event.report->term > old_.term && has_taken_effect) {
        record(event.target, event.report->term, now, out);
    }
}

std::optional<std::pair<std::string, state::term_number>> promotion::find_reported_primary() const {
    std::optional<std::pair<std::string, state::term_number>> result;
    for (const auto& [target, report] : reports_) {
        // A primary of an older term was superseded without having noticed it.
        const bool is_current =
            report && report->is_primary &&
            (report->term > old_.term || (report->term == old_.term && target == old_.target));
        if (is_current && (!result || report->term > result->second)) {
            result = {target, report->term};
        }
    }
    return result;
}

void promotion::continue_survey(const promotion_input& input, std::int64_t now, actions& out) {
    // A survey that is cut short by the deadline promotes nothing; the VM that takes over has time
    // to hear each live target.
    const bool is_complete = waiting_.empty() || (now - sent_at_ >= survey_timeout_ms &&
                                                  !is_awaiting_live_target(input, now));
    if (!is_complete && now - claim_sent_at_ <= request_deadline_ms) {
        return;
    }
    if (now - claim_sent_at_ > request_deadline_ms) {
        abandon("no target could be promoted before the deadline", out);
        return;
    }
    if (old_.term == 0) {
        // The claim was of no record, and this VM had not reached the primary.
        for (const auto& [target, report] : reports_) {
            old_.term = std::max(old_.term, report ? report->term : 0);
        }
    }
    const auto primary = find_reported_primary();
    const bool is_old = primary && primary->first == old_.target && primary->second == old_.term;
    const bool is_usable = primary && input.candidates.contains(primary->first) &&
                           !(is_old && reason_ == change_reason::leaving) &&
                           is_newest_primary(input, primary->first, primary->second);
    if (is_usable) {
        record(primary->first, primary->second, now, out);
        return;
    }
    // A promotion of the reported primary supersedes any other that may have been requested.
    const std::optional<std::string> best =
        primary && is_candidate(input, primary->first) ? primary->first : choose_candidate(input);
    if (!best) {
        begin_survey(input, now, out);
        return;
    }
    // Wait until no commit would be lost, for a limited time.
    const auto old_report = reports_.find(old_.target);
    const bool is_behind = old_report != reports_.end() && old_report->second &&
                           old_report->second->received > get_received(input, *best);
    if (is_behind && now - phase_since_ < catch_up_timeout_ms) {
        begin_survey(input, now, out);
        return;
    }
    const auto best_report = reports_.find(*best);
    if (best_report != reports_.end() && best_report->second &&
        best_report->second->held_term != 0) {
        out.emplace_back(resume_replica{*best});
    }
    phase_ = promotion_phase::requesting_promotion;
    phase_since_ = now;
    superseded_term_ = primary ? std::max(primary->second, old_.term) : old_.term;
    send_promotion_request(*best, now, out);
}

bool promotion::is_newest_primary(const promotion_input& input, const std::string& target,
                                  state::term_number term) const {
    if (!may_be_promoted_) {
        return true;
    }
    const bool is_effect_visible = sent_at_ - claimed_at_ >= promotion_effect_ms;
    return is_effect_visible &&
           std::all_of(input.targets.begin(), input.targets.end(), [&](const std::string& other) {
               // No change of this record requests the promotion of its old primary.
               if (other == old_.target && target != old_.target) {
                   return true;
               }
               const auto report = reports_.find(other);
               return report != reports_.end() && report->second && report->second->term <= term;
           });
}

bool promotion::is_candidate(const promotion_input& input, const std::string& target) const {
    return input.candidates.contains(target) && !excluded_.contains(target) &&
           target != old_.target;
}

std::optional<std::string> promotion::choose_candidate(const promotion_input& input) const {
    std::optional<std::string> best;
    std::optional<state::log_point> most_received;
    for (const std::string& target : input.targets) {
        const std::optional<state::log_point> received = get_received(input, target);
        if (received && is_candidate(input, target) && received > most_received) {
            best = target;
            most_received = received;
        }
    }
    return best;
}

std::optional<state::log_point> promotion::get_received(const promotion_input& input,
                                                        const std::string& target) const {
    const auto report = reports_.find(target);
    if (report != reports_.end() && report->second) {
        return report->second->received;
    }
    const auto responsive = input.responsive_targets.find(target);
    return responsive == input.responsive_targets.end() ? std::nullopt : responsive->second;
}

void promotion::send_promotion_request(const std::string& target, std::int64_t now, actions& out) {
    if (now - claim_sent_at_ > request_deadline_ms) {
        abandon("the deadline for the promotion request has passed", out);
        return;
    }
    chosen_ = target;
    sent_at_ = now;
    is_request_outstanding_ = true;
    may_be_promoted_ = true;
    out.emplace_back(request_promotion{target, fence_});
}

void promotion::handle_promotion_answer(const promotion_input& input,
                                        const promotion_answered& event, std::int64_t now,
                                        actions& out) {
    if (event.fence != fence_) {
        return;
    }
    is_request_outstanding_ = false;
    if (phase_ != promotion_phase::requesting_promotion) {
        return;
    }
    switch (event.outcome) {
        case promotion_outcome::accepted:
            phase_ = promotion_phase::awaiting_promotion;
            phase_since_ = now;
            is_report_outstanding_ = false;
            sent_at_ = now;
            // Writes in flight to the old primary must not commit there.
            out.emplace_back(step_down{old_.target, old_.term + 1});
            return;
        case promotion_outcome::not_running:
            excluded_.insert(chosen_);
            begin_survey(input, now, out);
            return;
        case promotion_outcome::refused:
        case promotion_outcome::unknown:
            return;
    }
}

void promotion::continue_awaiting(const promotion_input& input, std::int64_t now, actions& out) {
    if (now - phase_since_ > promotion_timeout_ms) {
        if (now - claim_sent_at_ > request_deadline_ms) {
            abandon("the promoted target did not become primary in time", out);
            return;
        }
        begin_survey(input, now, out);
        return;
    }
    const bool is_listed = input.listed_primaries.contains(chosen_);
    const std::int64_t interval_ms = is_report_outstanding_ ? unanswered_report_interval_ms
                                     : is_listed            ? resend_interval_ms
                                                            : unlisted_report_interval_ms;
    if (now - sent_at_ >= interval_ms) {
        sent_at_ = now;
        is_report_outstanding_ = true;
        out.emplace_back(request_report{survey_, chosen_});
    }
}

void promotion::record(const std::string& target, state::term_number term, std::int64_t now,
                       actions& out) {
    phase_ = promotion_phase::recording;
    phase_since_ = now;
    record_due_at_ = now;
    next_ = {target, term, {}, 0, claim_era_};
    continue_recording(now, out);
}

void promotion::abandon(std::string message, actions& out) {
    phase_ = promotion_phase::watching;
    pending_reason_ = change_reason::none;
    claim_version_ = 0;
    sent_at_ = 0;
    waiting_.clear();
    reports_.clear();
    if (!message.empty()) {
        out.emplace_back(change_abandoned{std::move(message)});
    }
}

}  // namespace hornbeamhook::coordination
