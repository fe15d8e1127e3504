#include "gateway/caller_session.h"

#include <utility>

#include "gateway/caller_authorisation.h"
#include "gateway/session_engine.h"

namespace hornbeamhook::gateway {

namespace {

/// What a message to a target may be longer than the caller's: the required position, and the name
/// of a prepared statement.
constexpr std::size_t max_added_bytes = 128;
/// Names, values and shapes of a session. Each statement on a connection that another session has
/// used sends them again.
constexpr std::size_t max_session_bytes = std::size_t{256} * 1024;
/// A session of another VM holds the values of one session and what stays prepared on the
/// connection.
constexpr std::size_t max_peer_session_bytes = std::size_t{1024} * 1024;
constexpr std::size_t entry_overhead_bytes = 128;  ///< Memory of an entry beside its texts.
/// Input behind the outstanding statement. It is read without a pause, so that the end of the
/// connection is noticed.
constexpr std::size_t max_waiting_input_bytes = 2 * max_message_bytes;
/// A caller that leaves more answers unread is disconnected.
constexpr std::size_t max_unread_output_bytes = 4U << 20;
constexpr std::size_t max_session_entries = 1000;  ///< Values and statements of a caller.
/// Part of the route's timeout after which an unanswered statement of a transaction is given up. As
/// it can still be rolled back, the caller is told so and has time to repeat the transaction.
constexpr double statement_timeout_fraction = 0.75;
constexpr std::int64_t default_statement_timeout_ms = 5000;  ///< For routes without a timeout.
/// Callers start a session at once, and give up after 2 s.
constexpr std::int64_t start_limit_ms = 10'000;
/// The largest message takes 42 s at 200 kbit/s.
constexpr std::int64_t message_limit_ms = 60'000;
/// Answers of which the caller takes nothing for this long are discarded.
constexpr std::int64_t unread_limit_ms = 30'000;
constexpr std::size_t session_overhead_bytes = 2048;  ///< Memory of a session without texts.
/// A statement is kept for a retry, formatted for its target and queued to it.
constexpr std::size_t statement_copies = 3;
/// What a session that is closed for its memory may leave queued to a target.
constexpr std::size_t max_left_unsent_bytes = std::size_t{64} * 1024;

std::size_t get_entry_bytes(const std::string& name, const std::string& text) {
    return name.size() + text.size() + entry_overhead_bytes;
}

}  // namespace

caller_session::caller_session(session_engine& engine,
                               std::shared_ptr<transport::tcp_stream> stream, session_origin origin)
    : engine_(engine),
      stream_(std::move(stream)),
      lines_(max_message_bytes),
      origin_(origin),
      held_bytes_(origin == session_origin::peer ? max_peer_session_bytes : max_session_bytes) {}

void caller_session::start() {
    last_active_at_ = transport::get_boot_time();
    holder_ = engine_.get_caller_limits().add(weak_from_this(), origin_);
    if (!holder_) {
        abort();
        return;
    }
    stream_->start(transport::make_weak_events<caller_session>(
        weak_from_this(), nullptr, &caller_session::receive, &caller_session::end_stream));
}

void caller_session::end_stream(bool is_refused) {
    static_cast<void>(is_refused);
    close();
}

void caller_session::receive(std::string_view bytes) {
    if (is_closed_) {
        return;
    }
    lines_.append(bytes);
    handle_lines();
    count_input();
    count_held_bytes();
}

void caller_session::count_held_bytes() {
    if (is_closed_ || !holder_) {
        return;
    }
    const caller_statement* statement = pending_            ? &pending_->statement
                                        : pinned_statement_ ? &*pinned_statement_
                                                            : nullptr;
    const std::size_t statement_bytes =
        statement == nullptr ? 0 : statement->text.size() + statement->argument.size();
    engine_.get_caller_limits().update(
        *holder_, session_overhead_bytes + lines_.get_capacity() + held_bytes_.get_used() +
                      statement_copies * statement_bytes + stream_->get_queue_memory());
}

void caller_session::count_input() {
    if (is_closed_) {
        return;
    }
    const std::size_t buffered = lines_.get_buffered_bytes();
    const bool is_within_limit = engine_.get_input_bytes().replace(counted_input_bytes_, buffered);
    if (is_within_limit) {
        counted_input_bytes_ = buffered;
    }
    if (is_busy_ && buffered > max_waiting_input_bytes) {
        reject_input("too much input behind an outstanding statement", failure_code::too_big);
    } else if (!is_within_limit) {
        reject_input("this VM buffers too much input", failure_code::busy);
    }
}

void caller_session::handle_lines() {
    // The engine may reply while a line is handled, so the loop must not be re-entered.
    if (is_handling_) {
        return;
    }
    is_handling_ = true;
    const std::shared_ptr<caller_session> self = shared_from_this();
    while (!is_busy_ && !is_closed_) {
        const std::optional<std::string_view> line = lines_.take_line();
        if (!line) {
            break;
        }
        message_begun_at_ = 0;
        handle_line(*line);
    }
    is_handling_ = false;
    if (is_closed_) {
        release_buffers();
        return;
    }
    lines_.release_returned();
    if (is_busy_ || lines_.get_buffered_bytes() == 0) {
        message_begun_at_ = 0;
    } else if (message_begun_at_ == 0) {
        message_begun_at_ = transport::get_boot_time();
    }
    if (lines_.is_overlong()) {
        engine_.log_bad_input(caller_, "line exceeds the length limit");
        stream_->write(
            engine_.get_protocol().format_failure({failure_code::too_big, {}, "line too long"}));
        close();
    }
}

void caller_session::handle_line(std::string_view line) {
    if (origin_ == session_origin::peer) {
        handle(engine_.get_protocol().parse_relay_line(line));
    } else {
        handle(engine_.get_protocol().parse_caller_line(line));
    }
}

void caller_session::reject_input(const std::string& reason, failure_code code) {
    engine_.log_bad_input(caller_, reason);
    stream_->write(engine_.get_protocol().format_failure({code, {}, reason}));
    close();
}

void caller_session::handle(const relay_message& message) {
    if (const auto* start = std::get_if<relay_start>(&message)) {
        handle_relay_start(*start);
    } else if (std::holds_alternative<session_end>(message)) {
        close();
    } else if (const auto* bad = std::get_if<malformed_message>(&message)) {
        reject_input(bad->reason);
    } else if (phase_ == phase::starting) {
        reject_input("statement before the start of a session");
    } else if (const auto* limits = std::get_if<relay_limits>(&message)) {
        limits_ = *limits;
    } else {
        handle_relayed(std::get<relayed_statement>(message));
    }
}

void caller_session::handle_relay_start(const relay_start& start) {
    if (phase_ != phase::starting) {
        reject_input("second start of a session");
        return;
    }
    relay_ = start;
    caller_ = "peer";
    phase_ = phase::idle;
    last_active_at_ = transport::get_boot_time();
    stream_->write(engine_.get_protocol().format_ready({}));
}

void caller_session::handle_relayed(const relayed_statement& relayed) {
    const bool is_begin = relayed.statement.kind == statement_kind::begin ||
                          relayed.statement.kind == statement_kind::begin_read;
    if (is_begin && phase_ != phase::idle) {
        // The following statements would run outside the transaction that the other VM opened.
        reject_input("a transaction is open");
        return;
    }
    // A transaction waits for the position sent with its BEGIN.
    if (phase_ == phase::idle) {
        required_position_ = relayed.required_position;
    }
    is_busy_ = true;
    last_active_at_ = transport::get_boot_time();
    handle_statement(relayed.statement);
}

std::optional<route> caller_session::get_route() const {
    if (origin_ == session_origin::peer) {
        route result;
        result.group = relay_.group;
        result.priority = limits_.priority;
        return result;
    }
    const route* found = engine_.find_route(database_);
    return found == nullptr ? std::nullopt : std::optional(*found);
}

void caller_session::handle(const caller_message& message) {
    if (const auto* start = std::get_if<session_start>(&message)) {
        handle_start(*start);
    } else if (std::holds_alternative<session_end>(message)) {
        close();
    } else if (const auto* bad = std::get_if<malformed_message>(&message)) {
        reject_input(bad->reason);
    } else if (phase_ == phase::starting) {
        engine_.log_bad_input(caller_, "statement before session start");
        close();
    } else if (!authorise()) {
        end_unauthorised();
    } else {
        is_busy_ = true;
        last_active_at_ = transport::get_boot_time();
        handle_statement(std::get<caller_statement>(message));
    }
}

bool caller_session::authorise() {
    if (!engine_.identifies_callers()) {
        return true;
    }
    const route* used = engine_.find_route(database_);
    if (used == nullptr) {
        return true;  // A database that was removed is reported as such.
    }
    if (phase_ == phase::open_transaction) {
        return review_caller(engine_.get_organisations(), key_, used, &organisation_) ==
               authorisation_change::none;
    }
    std::optional<std::string> found =
        find_callers_organisation(engine_.get_organisations(), key_, *used);
    if (!found) {
        return false;
    }
    organisation_ = *std::move(found);
    return true;
}

void caller_session::end_unauthorised() {
    engine_.log_bad_input(caller_, "its key identifies no organisation");
    stream_->write(
        engine_.get_protocol().format_failure({failure_code::unauthorised, {}, "unknown key"}));
    close();
}

void caller_session::review_authorisation() {
    if (is_closed_ || origin_ == session_origin::peer || phase_ == phase::starting) {
        return;
    }
    const bool is_running = phase_ == phase::open_transaction || pending_;
    switch (review_caller(engine_.get_organisations(), key_, engine_.find_route(database_),
                          is_running ? &organisation_ : nullptr)) {
        case authorisation_change::none:
            return;
        case authorisation_change::moved:
            handle_move();
            return;
        case authorisation_change::revoked:
            handle_revocation();
            return;
        case authorisation_change::route_dropped:
            handle_dropped_route();
            return;
    }
}

void caller_session::handle_move() {
    if (!pending_) {
        handle_revocation();  // The transaction can't go on for another organisation.
        return;
    }
    const pending_statement_ptr pending = pending_;
    if (pending->attempts > 0) {
        ends_after_answer_ = pending->begin.has_value();
        engine_.withdraw(pending, failure_code::busy, "its key has moved to another organisation");
        return;
    }
    pending->is_settled = true;
    const caller_statement statement = std::move(pending->statement);
    pending_ = nullptr;
    if (authorise()) {
        submit(statement);
    }
}

void caller_session::handle_revocation() {
    if (pinned_statement_) {
        ends_after_answer_ = true;
    } else if (pending_ && pending_->attempts > 0) {
        ends_after_answer_ = true;
        engine_.withdraw(pending_statement_ptr(pending_), failure_code::unauthorised,
                         "its key was revoked");
    } else if (is_busy_) {
        end_unauthorised();
    } else {
        // An answer to nothing would confuse the caller.
        close();
    }
}

void caller_session::handle_dropped_route() {
    if (pinned_statement_) {
        ends_after_answer_ = true;
    } else if (const pending_statement_ptr pending = pending_) {
        ends_after_answer_ = pending->begin && pending->attempts > 0;
        engine_.withdraw(pending, failure_code::unknown_database, "no such database");
    } else if (phase_ == phase::open_transaction || phase_ == phase::deferred_transaction) {
        drop_link();
        phase_ = phase::failed_transaction;
    }
}

void caller_session::handle_start(const session_start& start) {
    if (phase_ != phase::starting) {
        engine_.log_bad_input(caller_, "session already started");
        close();
        return;
    }
    database_ = start.database;
    if (engine_.identifies_callers()) {
        key_ = make_key_digest(start.caller);
        const organisation* found = engine_.get_organisations().find_by_key(*key_);
        caller_ = found == nullptr ? "unidentified" : found->name;
    } else {
        caller_ = start.caller;
    }
    if (engine_.find_route(database_) == nullptr) {
        stream_->write(engine_.get_protocol().format_failure(
            {engine_.is_configured() ? failure_code::unknown_database : failure_code::busy,
             {},
             engine_.is_configured() ? "no such database" : "no configuration yet"}));
        close();
        return;
    }
    if (!authorise()) {
        end_unauthorised();
        return;
    }
    phase_ = phase::idle;
    last_active_at_ = transport::get_boot_time();
    stream_->write(engine_.get_protocol().format_ready({}));
}

void caller_session::handle_statement(const caller_statement& statement) {
    const bool may_grow =
        statement.kind != statement_kind::write && statement.kind != statement_kind::commit;
    if (may_grow &&
        statement.id.size() + statement.text.size() + max_added_bytes > max_message_bytes) {
        reply_failure(failure_code::too_big, "the statement is too long");
        const bool is_last =
            statement.kind == statement_kind::read || statement.kind == statement_kind::execute;
        if (origin_ == session_origin::peer && !is_last) {
            // The other VM has sent a statement behind it, which must not run.
            close();
        }
        return;
    }
    switch (statement.kind) {
        case statement_kind::unknown:
            reply_failure(failure_code::malformed, "unknown statement");
            return;
        case statement_kind::begin:
        case statement_kind::begin_read:
            handle_begin(statement);
            return;
        case statement_kind::rollback:
            handle_rollback();
            return;
        case statement_kind::commit:
            handle_commit(statement);
            return;
        case statement_kind::set_value:
        case statement_kind::prepare:
        case statement_kind::close_prepared:
        case statement_kind::reset:
            handle_local(statement);
            return;
        case statement_kind::read:
        case statement_kind::write:
        case statement_kind::execute:
            handle_data(statement);
            return;
    }
}

void caller_session::handle_begin(const caller_statement& statement) {
    if (phase_ != phase::idle) {
        reply_failure(failure_code::malformed, "a transaction is open");
        return;
    }
    const std::optional<route> found = get_route();
    if (!found) {
        reply_failure(failure_code::unknown_database, "no such database");
        return;
    }
    route_ = *found;
    begin_ = statement;
    transaction_began_at_ = last_active_at_;
    phase_ = phase::deferred_transaction;
    reply_completion();
}

void caller_session::handle_rollback() {
    if (phase_ == phase::idle) {
        reply_failure(failure_code::malformed, "no transaction is open");
        return;
    }
    drop_link();
    phase_ = phase::idle;
    reply_completion();
}

void caller_session::handle_commit(const caller_statement& statement) {
    switch (phase_) {
        case phase::deferred_transaction:
            submit(statement);
            return;
        case phase::open_transaction:
            run_pinned(statement);
            return;
        case phase::failed_transaction:
            drop_link();
            phase_ = phase::idle;
            reply_failure(failure_code::aborted, "the transaction had failed");
            return;
        case phase::starting:
        case phase::idle:
            reply_failure(failure_code::malformed, "no transaction is open");
            return;
    }
}

void caller_session::handle_local(const caller_statement& statement) {
    if (phase_ == phase::failed_transaction) {
        reply_failure(failure_code::malformed, "the transaction has failed");
        return;
    }
    if (!hold_entry(statement)) {
        return;
    }
    if (statement.kind == statement_kind::set_value) {
        values_[statement.name] = statement.argument;
    } else if (statement.kind == statement_kind::prepare) {
        prepared_[statement.name] = {statement.is_write_prepared, statement.argument};
    } else if (statement.kind == statement_kind::reset) {
        values_.clear();
        prepared_.clear();
    } else {
        prepared_.erase(statement.name);
    }
    reply_completion();
}

bool caller_session::hold_entry(const caller_statement& statement) {
    std::size_t removed = 0;
    if (statement.kind == statement_kind::reset) {
        removed = held_bytes_.get_used();
    } else if (statement.kind == statement_kind::set_value) {
        const auto entry = values_.find(statement.name);
        removed = entry == values_.end() ? 0 : get_entry_bytes(statement.name, entry->second);
    } else if (const auto* entry = find_prepared(statement.name)) {
        removed = get_entry_bytes(statement.name, entry->shape);
    }
    const bool is_adding =
        statement.kind == statement_kind::set_value || statement.kind == statement_kind::prepare;
    const std::size_t added = is_adding ? get_entry_bytes(statement.name, statement.argument) : 0;
    const bool has_too_many = origin_ == session_origin::caller && is_adding && removed == 0 &&
                              values_.size() + prepared_.size() >= max_session_entries;
    if (has_too_many || !held_bytes_.replace(removed, added)) {
        refuse_entry(failure_code::too_big,
                     "the values and prepared statements of the session are too large");
        return false;
    }
    if (!engine_.get_session_bytes().replace(removed, added)) {
        held_bytes_.release(added);
        static_cast<void>(held_bytes_.replace(0, removed));
        refuse_entry(failure_code::busy,
                     "the values and prepared statements of this VM's sessions are too large");
        return false;
    }
    return true;
}

void caller_session::refuse_entry(failure_code code, const std::string& reason) {
    engine_.log_bad_input(caller_, reason);
    reply_failure(code, reason);
    if (origin_ == session_origin::peer) {
        // The other VM has sent the statement that needs the entry behind it, which must not run.
        close();
    }
}

void caller_session::handle_data(const caller_statement& statement) {
    if (phase_ == phase::failed_transaction) {
        reply_failure(failure_code::malformed, "the transaction has failed");
        return;
    }
    if (statement.kind == statement_kind::execute && !prepared_.contains(statement.name)) {
        if (phase_ != phase::idle) {
            drop_link();
            phase_ = phase::failed_transaction;
        }
        reply_failure(failure_code::unknown_prepared, statement.name);
        return;
    }
    if (phase_ == phase::open_transaction) {
        run_pinned(statement);
    } else {
        submit(statement);
    }
}

void caller_session::submit(const caller_statement& statement) {
    std::optional<route> found = phase_ == phase::idle ? get_route() : std::nullopt;
    if (!found && phase_ == phase::idle) {
        reply_failure(failure_code::unknown_database, "no such database");
        return;
    }
    const auto pending = std::make_shared<pending_statement>();
    pending->organisation = origin_ == session_origin::peer ? limits_.organisation : organisation_;
    pending->session = shared_from_this();
    pending->statement = statement;
    pending->arrived_at = last_active_at_;
    pending->last_commit_position = last_commit_position_;
    const bool is_read = !is_writing(statement) && statement.kind != statement_kind::commit;
    if (phase_ == phase::deferred_transaction) {
        pending->begin = begin_;
        pending->target_route = route_;
        pending->operation_started_at = transaction_began_at_;
        pending->needs_primary =
            route_.policy == read_policy::primary || begin_->kind != statement_kind::begin_read;
    } else {
        pending->target_route = *std::move(found);
        pending->operation_started_at = last_active_at_;
        pending->needs_primary = pending->target_route.policy == read_policy::primary || !is_read;
        pending->is_idempotent = is_read;
    }
    if (origin_ == session_origin::peer) {
        pending->target = relay_.target;
        pending->required_position = required_position_;
        pending->wait_ms = limits_.wait_ms;
        pending->needs_primary = !required_position_;
        pending->is_idempotent = false;
    }
    pending_ = pending;
    engine_.submit(pending);
}

bool caller_session::is_writing(const caller_statement& statement) const {
    if (statement.kind == statement_kind::execute) {
        const coordination::statement_definition* prepared = find_prepared(statement.name);
        return prepared != nullptr && prepared->is_write;
    }
    return statement.kind == statement_kind::write;
}

void caller_session::complete(const pending_statement_ptr& pending, const target_answer& answer,
                              const std::shared_ptr<target_link>& link) {
    if (pending != pending_ || is_closed_) {
        return;
    }
    pending_ = nullptr;
    if (pending->begin && link) {
        const bool is_commit = pending->statement.kind == statement_kind::commit;
        if (answer.ready.state == transaction_state::open && !is_commit) {
            link_ = link;
            link_->set_pinned(true);
            organisation_ = pending->organisation;
            pinned_term_ = engine_.get_term(route_.group);
            phase_ = phase::open_transaction;
        } else {
            // Statements that were sent ahead must not run outside of the transaction.
            phase_ = is_commit ? phase::idle : phase::failed_transaction;
        }
    }
    update_last_commit(pending->statement, answer);
    reply_answer(answer, answer.failure
                             ? engine_.get_protocol().format_failure(*answer.failure)
                             : engine_.get_protocol().format_completion(answer.completion->proof));
}

void caller_session::refuse(const pending_statement_ptr& pending, const target_failure& failure) {
    if (pending != pending_ || is_closed_) {
        return;
    }
    pending_ = nullptr;
    if (origin_ == session_origin::peer && !is_not_run(failure.code)) {
        // Closing reports a lost answer; the other VM knows whether the statement may be repeated.
        close();
        return;
    }
    if (pending->begin) {
        phase_ = pending->statement.kind == statement_kind::commit ? phase::idle
                                                                   : phase::failed_transaction;
    }
    reply_failure(failure.code, failure.text);
}

void caller_session::run_pinned(const caller_statement& statement) {
    if (!link_ || !link_->is_open()) {
        link_ = nullptr;
        phase_ = statement.kind == statement_kind::commit ? phase::idle : phase::failed_transaction;
        reply_failure(failure_code::aborted, "the connection of the transaction was lost");
        return;
    }
    pinned_statement_ = statement;
    pinned_sent_at_ = last_active_at_;
    const std::weak_ptr<caller_session> weak = weak_from_this();
    const auto may_send = [weak] {
        const auto self = weak.lock();
        return self && !self->ends_after_answer_;
    };
    engine_.send(*this, link_, statement, std::nullopt, std::nullopt, may_send,
                 [weak, statement](const target_answer& answer) {
                     if (const auto self = weak.lock()) {
                         self->finish_pinned(statement, answer);
                     }
                 });
}

void caller_session::finish_pinned(const caller_statement& statement, const target_answer& answer) {
    const std::shared_ptr<target_link> link = link_;
    if (!pinned_statement_ || is_closed_) {
        return;
    }
    pinned_statement_.reset();
    const bool is_commit = statement.kind == statement_kind::commit;
    const bool is_superseded =
        is_commit && begin_->kind == statement_kind::begin &&
        !engine_.may_acknowledge_commit(route_.group, link->get_target(), pinned_term_);
    if (!answer.was_sent) {
        // The transaction cannot go on without the state that its session asked for.
        drop_link();
        phase_ = is_commit ? phase::idle : phase::failed_transaction;
        reply_failure(failure_code::aborted, answer.failure->text);
        return;
    }
    if (answer.is_lost || is_superseded) {
        drop_link();
        phase_ = is_commit ? phase::idle : phase::failed_transaction;
        engine_.log_lost_answer(*this, statement, link->get_target(), is_commit);
        reply_failure(is_commit ? failure_code::in_doubt : failure_code::aborted,
                      "no answer from the target");
        return;
    }
    if (answer.failure && answer.failure->code == failure_code::unknown_prepared) {
        link->get_session_state().invalidate();
    }
    const bool is_promise = answer.failure && (is_not_run(answer.failure->code) ||
                                               answer.failure->code == failure_code::aborted);
    if (answer.ready.state == transaction_state::open && !is_promise && !is_commit) {
        phase_ = phase::open_transaction;
    } else {
        // Only COMMIT ends the transaction, regardless of the target's answer.
        phase_ = is_commit ? phase::idle : phase::failed_transaction;
        drop_link();
    }
    update_last_commit(statement, answer);
    reply_answer(answer, answer.completion
                             ? engine_.get_protocol().format_completion(answer.completion->proof)
                             : engine_.get_protocol().format_failure(
                                   answer.failure.value_or(target_failure{failure_code::failed})));
}

void caller_session::update_last_commit(const caller_statement& statement,
                                        const target_answer& answer) {
    const bool is_read_only = begin_ && begin_->kind == statement_kind::begin_read;
    const bool is_commit = (statement.kind == statement_kind::commit && !is_read_only) ||
                           (phase_ == phase::idle && is_writing(statement));
    if (is_commit && answer.completion && answer.ready.position) {
        last_commit_position_ =
            std::max(last_commit_position_.value_or(state::log_point{}), *answer.ready.position);
    }
}

void caller_session::drop_link() {
    if (!link_) {
        return;
    }
    const std::shared_ptr<target_link> link = std::exchange(link_, nullptr);
    engine_.release_pinned(link);
}

const coordination::statement_definition* caller_session::find_prepared(
    const std::string& name) const {
    const auto entry = prepared_.find(name);
    return entry == prepared_.end() ? nullptr : &entry->second;
}

transaction_state caller_session::get_wire_state() const {
    switch (phase_) {
        case phase::deferred_transaction:
        case phase::open_transaction:
            return transaction_state::open;
        case phase::failed_transaction:
            return transaction_state::failed;
        case phase::starting:
        case phase::idle:
            return transaction_state::idle;
    }
    return transaction_state::idle;
}

void caller_session::reply_completion() {
    reply(engine_.get_protocol().format_completion({}) +
          engine_.get_protocol().format_ready({get_wire_state(), std::nullopt}));
}

void caller_session::reply_failure(failure_code code, const std::string& text) {
    reply(engine_.get_protocol().format_failure({code, {}, text}) +
          engine_.get_protocol().format_ready({get_wire_state(), std::nullopt}));
}

void caller_session::reply_answer(const target_answer& answer, const std::string& result) {
    std::string message;
    for (const std::string& row : answer.rows) {
        message += engine_.get_protocol().format_row(row);
    }
    message += result;
    message += engine_.get_protocol().format_ready({get_wire_state(), answer.ready.position});
    reply(std::move(message));
}

void caller_session::reply(std::string message) {
    is_busy_ = false;
    last_active_at_ = transport::get_boot_time();
    stream_->write(std::move(message));
    if (ends_after_answer_) {
        close();
        return;
    }
    if (stream_->get_queued_bytes() > max_unread_output_bytes) {
        engine_.log_bad_input(caller_, "unread answers exceed the output limit");
        abort();
        return;
    }
    // What has arrived is answered first: another VM sends set-up and statement together.
    if (engine_.is_stopping() && lines_.get_buffered_bytes() == 0 && close_if_idle()) {
        return;
    }
    handle_lines();
    count_held_bytes();
}

bool caller_session::close_if_idle() {
    if (is_closed_) {
        return true;
    }
    if (is_busy_ || (phase_ != phase::idle && phase_ != phase::starting)) {
        return false;
    }
    close();
    return true;
}

void caller_session::abort() {
    if (is_closed_) {
        return;
    }
    const pending_statement_ptr pending = pending_;
    stream_->reset();
    close();
    if (!pending) {
        return;
    }
    // The rest of a long statement would stay in memory until its target takes it.
    for (const std::weak_ptr<target_link>& entry : std::vector(pending->outstanding_links)) {
        const std::shared_ptr<target_link> link = entry.lock();
        if (link && !link->is_pinned() && link->get_unsent_bytes() > max_left_unsent_bytes) {
            link->close("its caller has left");
        }
    }
}

void caller_session::release_buffers() {
    lines_.clear();
    values_.clear();
    prepared_.clear();
}

coordination::session_rest caller_session::get_rest() const {
    if (is_busy_) {
        return coordination::session_rest::none;
    }
    return phase_ == phase::starting ? coordination::session_rest::unstarted
           : phase_ == phase::idle   ? coordination::session_rest::idle
                                     : coordination::session_rest::none;
}

std::string caller_session::find_overdue_exchange(std::int64_t now) {
    const std::size_t unread = stream_->get_queued_bytes();
    const bool is_taking = unread == 0 || unread < last_unread_bytes_;
    last_unread_bytes_ = unread;
    if (unread == 0) {
        unread_since_ = 0;
    } else if (is_taking || unread_since_ == 0) {
        unread_since_ = now;
    }
    if (unread_since_ != 0 && now - unread_since_ >= unread_limit_ms) {
        return "its answers were not read in time";
    }
    if (message_begun_at_ != 0 && now - message_begun_at_ >= message_limit_ms) {
        return "its message was not completed in time";
    }
    if (phase_ == phase::starting && now - last_active_at_ >= start_limit_ms) {
        return "it has not started in time";
    }
    return {};
}

void caller_session::close() {
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    const std::shared_ptr<caller_session> self = shared_from_this();
    if (pending_) {
        pending_->is_settled = true;
        // It stays in the queue until the next round of dispatch, or until its target has answered.
        pending_->statement.text = {};
        pending_->statement.argument = {};
        pending_ = nullptr;
    }
    if (holder_) {
        engine_.get_caller_limits().remove(*holder_);
    }
    if (!is_handling_) {
        release_buffers();
    }
    pinned_statement_.reset();
    drop_link();
    const bool has_unread = stream_->is_open() && stream_->get_queued_bytes() > 0;
    stream_->close();
    if (has_unread) {
        engine_.get_caller_limits().add_closing(stream_, origin_);
    }
    engine_.get_session_bytes().release(held_bytes_.get_used());
    engine_.get_input_bytes().release(counted_input_bytes_);
    engine_.remove_session(*this);
}

bool caller_session::is_overdue(std::int64_t now, std::int64_t transaction_idle_ms) const {
    if (!pinned_statement_) {
        return !is_busy_ && phase_ == phase::open_transaction && transaction_idle_ms > 0 &&
               now - last_active_at_ >= transaction_idle_ms;
    }
    const std::int64_t timeout =
        route_.timeout_ms > 0 ? route_.timeout_ms : default_statement_timeout_ms;
    const bool is_commit = pinned_statement_->kind == statement_kind::commit;
    const auto limit =
        is_commit
            ? timeout
            : static_cast<std::int64_t>(static_cast<double>(timeout) * statement_timeout_fraction);
    return now - pinned_sent_at_ >= limit;
}

void caller_session::enforce_time_limit(std::int64_t now, std::int64_t transaction_idle_ms) {
    if (!is_overdue(now, transaction_idle_ms)) {
        return;
    }
    if (pinned_statement_) {
        // Leads to finish_pinned() with a lost answer.
        const std::shared_ptr<target_link> link = link_;
        link->close("no answer in time");
    } else {
        drop_link();
        phase_ = phase::failed_transaction;
    }
}

void caller_session::answer_outstanding() {
    if (pinned_statement_) {
        // Leads to finish_pinned() with a lost answer.
        const std::shared_ptr<target_link> link = link_;
        link->close("this VM stops");
    } else if (pending_) {
        const pending_statement_ptr pending = pending_;  // The refusal clears pending_.
        engine_.refuse_for_stop(pending);
    }
}

}  // namespace hornbeamhook::gateway
