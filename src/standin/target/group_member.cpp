#include "standin/target/group_member.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "protocol/target_calls.h"
#include "standin/target/event_catalogue.h"

namespace hornbeamhook::standin::target {

namespace leaf = boost::leaf;

namespace {

using std::chrono::steady_clock;

// The write-ahead log is copied into the database file after so many entries; each copy costs a few
// milliseconds, and an unbounded log slows readers down.
constexpr state::log_position checkpoint_interval = 1000;

constexpr const char* state_shut_down = "57P01";

// The only constraint that SQLite checks at the commit is a deferred foreign key.
constexpr const char* state_commit_failed = "23503";

leaf::error_id make_read_only_error() {
    return leaf::new_error(sql_error{protocol::sqlstate_read_only,
                                     "this target is not an unfenced primary; nothing was kept"});
}

}  // namespace

group_member::group_member(const target_settings& settings)
    : settings_(settings), files_(settings.data_directory) {
    terms_ = {.accepted_term = settings.initial_term,
              .accepted_claimant = "initial",
              .follow_term = settings.initial_term,
              .term_start = 0,
              .is_primary = settings.name == settings.initial_primary};
    if (files_.load(terms_, log_)) {
        transport::log_event(event_recovered, {{"target", settings_.name},
                                               {"term", std::to_string(terms_.follow_term)},
                                               {"position", std::to_string(log_.get_length())}});
    }
    files_.save_terms(terms_);
    database_path_ = files_.make_database_path(generation_);
    applier_ = rebuild(database_path_, log_.get_length());
}

group_member::~group_member() {
    applier_.reset();
    files_.remove_database(generation_);
}

state::target_status group_member::make_status() const {
    state::target_status status{.accepted_term = terms_.accepted_term,
                                .accepted_claimant = terms_.accepted_claimant,
                                .follow_term = terms_.follow_term,
                                .term_start = terms_.term_start,
                                .position = log_.get_length(),
                                .is_primary = terms_.is_unfenced_primary()};
    if (!terms_.is_primary && last_contact_) {
        status.primary_contact =
            std::chrono::floor<std::chrono::milliseconds>(steady_clock::now() - *last_contact_);
    }
    return status;
}

state::target_status group_member::get_status() const {
    const std::scoped_lock lock(mutex_);
    return make_status();
}

sql_error group_member::make_refusal() const {
    return {protocol::sqlstate_term_refused, state::to_json(make_status()).dump()};
}

void group_member::set_terms(const term_state& next) {
    if (terms_ != next) {
        files_.save_terms(next);
        terms_ = next;
    }
    is_changed_.notify_all();
}

void group_member::drop_stream() {
    if (active_stream_) {
        active_stream_->kill();
        active_stream_.reset();
    }
}

leaf::result<state::target_status> group_member::fence(state::term_number term,
                                                       const std::string& claimant) {
    const std::scoped_lock lock(mutex_);
    if (!terms_.may_fence(term, claimant)) {
        return leaf::new_error(make_refusal());
    }
    if (term > terms_.accepted_term) {
        drop_stream();
        transport::log_event(
            event_fenced,
            {{"target", settings_.name}, {"term", std::to_string(term)}, {"claimant", claimant}});
    }
    set_terms(terms_.fence(term, claimant));
    return make_status();
}

leaf::result<state::target_status> group_member::promote(state::term_number term,
                                                         const std::string& claimant) {
    const std::scoped_lock lock(mutex_);
    if (!terms_.may_promote(term, claimant)) {
        return leaf::new_error(make_refusal());
    }
    const term_state next = terms_.promote(term, log_.get_length());
    if (next != terms_) {
        drop_stream();
        transport::log_event(event_promoted, {{"target", settings_.name},
                                              {"term", std::to_string(term)},
                                              {"claimant", claimant},
                                              {"position", std::to_string(log_.get_length())}});
    }
    set_terms(next);
    return make_status();
}

std::unique_ptr<sql_connection> group_member::open_session(
    const std::shared_ptr<session_control>& control) {
    std::string path;
    {
        const std::scoped_lock lock(mutex_);
        sessions_.emplace(control->id, control);
        path = database_path_;
    }
    return std::make_unique<sql_connection>(path);
}

void group_member::close_session(const session_control& control) {
    const std::scoped_lock lock(mutex_);
    sessions_.erase(control.id);
}

std::vector<std::shared_ptr<session_control>> group_member::get_sessions() const {
    const std::scoped_lock lock(mutex_);
    std::vector<std::shared_ptr<session_control>> sessions;
    for (const auto& [id, control] : sessions_) {
        sessions.push_back(control);
    }
    return sessions;
}

void group_member::kill_sessions() {
    const std::scoped_lock lock(mutex_);
    drop_stream();
    for (const auto& [id, control] : sessions_) {
        control->kill();
    }
    writer_.wake();
}

state::target_status group_member::begin_snapshot(sql_connection& connection) const {
    const std::scoped_lock lock(mutex_);
    connection.execute_internal("BEGIN");
    // SQLite takes its snapshot at the first read.
    connection.execute_internal("SELECT 1 FROM sqlite_schema LIMIT 1");
    return make_status();
}

leaf::result<void> group_member::begin_write(session_control& control, sql_connection& connection) {
    {
        const std::scoped_lock lock(mutex_);
        if (!terms_.is_unfenced_primary()) {
            return make_read_only_error();
        }
    }
    if (!writer_.acquire([&] { return control.is_killed(); })) {
        return leaf::new_error(sql_error{state_shut_down, "the connection is being closed"});
    }
    {
        const std::scoped_lock lock(mutex_);
        control.is_writing = terms_.is_unfenced_primary() && !control.is_killed();
    }
    if (!control.is_writing) {
        writer_.release();
        return make_read_only_error();
    }
    connection.execute_internal("BEGIN IMMEDIATE");
    return {};
}

leaf::result<state::log_point> group_member::commit(session_control& control,
                                                    sql_connection& connection,
                                                    std::string statements) {
    lock_type lock(mutex_);
    if (!terms_.is_unfenced_primary() || control.is_killed()) {
        lock.unlock();
        roll_back(control, connection);
        return make_read_only_error();
    }
    auto entry = std::make_shared<const log_entry>(log_entry{.term = terms_.follow_term,
                                                             .statements = std::move(statements),
                                                             .appended_at = steady_clock::now()});
    try {
        connection.execute_internal("COMMIT");
    } catch (const std::runtime_error& error) {
        lock.unlock();
        roll_back(control, connection);
        return leaf::new_error(sql_error{state_commit_failed, error.what()});
    }
    files_.append(*entry);
    log_.push(std::move(entry));
    const state::log_point point{terms_.follow_term, log_.get_length()};
    is_changed_.notify_all();
    lock.unlock();
    checkpoint();
    control.is_writing = false;
    writer_.release();
    return point;
}

void group_member::roll_back(session_control& control, sql_connection& connection) {
    if (connection.is_in_transaction()) {
        connection.execute_internal("ROLLBACK");
    }
    if (control.is_writing.exchange(false)) {
        writer_.release();
    }
}

void group_member::checkpoint() {
    const state::log_position length = [&] {
        const std::scoped_lock lock(mutex_);
        return log_.get_length();
    }();
    if (length < last_checkpoint_ + checkpoint_interval && length >= last_checkpoint_) {
        return;
    }
    last_checkpoint_ = length;
    applier_->execute_internal("PRAGMA wal_checkpoint(PASSIVE)");
}

std::optional<stream_header> group_member::get_stream_header() const {
    const std::scoped_lock lock(mutex_);
    if (!terms_.is_unfenced_primary()) {
        return std::nullopt;
    }
    return stream_header{.sender = settings_.name,
                         .term = terms_.follow_term,
                         .claimant = terms_.accepted_claimant,
                         .term_start = terms_.term_start,
                         .length = log_.get_length(),
                         .runs = log_.get_runs()};
}

std::optional<group_member::shippable_entries> group_member::get_entries(
    state::term_number term, state::log_position from, steady_clock::time_point until) const {
    constexpr std::size_t max_entries = 256;
    const std::scoped_lock lock(mutex_);
    if (!terms_.is_unfenced_primary() || terms_.follow_term != term) {
        return std::nullopt;
    }
    shippable_entries result{.entries = {}, .length = log_.get_length(), .next_appended_at = {}};
    const auto& all = log_.get_entries();
    for (state::log_position i = from; i < all.size() && result.entries.size() < max_entries; ++i) {
        if (all[i]->appended_at > until) {
            result.next_appended_at = all[i]->appended_at;
            break;
        }
        result.entries.push_back(all[i]);
    }
    return result;
}

void group_member::wait_for_change(steady_clock::time_point deadline,
                                   state::log_position seen) const {
    lock_type lock(mutex_);
    if (log_.get_length() <= seen) {
        is_changed_.wait_until(lock, deadline);
    }
}

void group_member::wake() {
    const std::scoped_lock lock(mutex_);
    is_changed_.notify_all();
}

bool group_member::is_active(const incoming_stream& stream) const {
    return active_stream_ == stream.control && stream.header.term >= terms_.accepted_term;
}

void group_member::kill_writers() {
    for (const auto& [id, control] : sessions_) {
        if (control->is_writing) {
            control->kill();
        }
    }
    writer_.wake();
}

bool group_member::acquire_writer(const incoming_stream& stream) {
    return writer_.acquire([&] { return stream.control->is_killed(); });
}

group_member::stream_answer group_member::begin_stream(incoming_stream& stream) {
    lock_type lock(mutex_);
    if (!terms_.may_follow(stream.header.term)) {
        return {.accepted_term = terms_.accepted_term};
    }
    drop_stream();
    active_stream_ = stream.control;
    set_terms(terms_.accept_stream(stream.header.term, stream.header.claimant));
    last_contact_ = steady_clock::now();
    kill_writers();
    lock.unlock();
    if (!acquire_writer(stream)) {
        return {.accepted_term = get_status().accepted_term};
    }
    lock.lock();
    const state::log_position common =
        log_.get_common_prefix(stream.header.runs, stream.header.length);
    if (is_active(stream) && common < log_.get_length()) {
        discard_tail(lock, stream, common);
    }
    stream_answer answer{.is_accepted = is_active(stream),
                         .position = common,
                         .accepted_term = terms_.accepted_term};
    if (answer.is_accepted && common >= stream.header.term_start) {
        set_terms(terms_.follow(stream.header.term, stream.header.term_start));
    }
    lock.unlock();
    writer_.release();
    return answer;
}

void group_member::discard_tail(lock_type& lock, incoming_stream& stream,
                                state::log_position length) {
    const std::uint64_t generation = generation_ + 1;
    const std::string path = files_.make_database_path(generation);
    lock.unlock();
    std::unique_ptr<sql_connection> next = rebuild(path, length);
    lock.lock();
    if (!is_active(stream)) {
        next.reset();
        files_.remove_database(generation);
        return;
    }
    // Connections end before the state changes, so that none of them sees both states.
    for (const auto& [id, control] : sessions_) {
        control->kill();
    }
    transport::log_event(event_tail_discarded, {{"target", settings_.name},
                                                {"term", std::to_string(stream.header.term)},
                                                {"from", std::to_string(log_.get_length())},
                                                {"to", std::to_string(length)}});
    log_.truncate(length);
    files_.rewrite(log_);
    files_.remove_database(generation_);
    generation_ = generation;
    database_path_ = path;
    applier_ = std::move(next);
    last_checkpoint_ = length;
}

std::unique_ptr<sql_connection> group_member::rebuild(const std::string& path,
                                                      state::log_position length) {
    auto connection = std::make_unique<sql_connection>(path);
    connection->execute_internal("BEGIN IMMEDIATE");
    for (state::log_position i = 0; i < length; ++i) {
        apply(*connection, *log_.get_entries()[i]);
    }
    connection->execute_internal("COMMIT");
    return connection;
}

void group_member::apply(sql_connection& connection, const log_entry& entry) {
    for (const nlohmann::json& object : nlohmann::json::parse(entry.statements)) {
        sql_values parameters;
        for (const nlohmann::json& parameter : object.at("parameters")) {
            parameters.push_back(parameter.is_null() ? std::nullopt
                                                     : std::optional(parameter.get<std::string>()));
        }
        const std::string sql = object.at("sql").get<std::string>();
        const std::string failure = leaf::try_handle_all(
            [&]() -> leaf::result<std::string> {
                BOOST_LEAF_AUTO(statement, connection.prepare(sql));
                BOOST_LEAF_CHECK(connection.execute(*statement, parameters));
                return std::string();
            },
            [](const sql_error& error) { return error.sqlstate + " " + error.message; },
            [] { return std::string("unknown error"); });
        if (!failure.empty()) {
            std::string message = "cannot apply a statement: ";
            message += failure;
            message += ": ";
            message += sql;
            throw std::runtime_error(message);
        }
    }
}

bool group_member::take_heartbeat(const incoming_stream& stream) {
    const std::scoped_lock lock(mutex_);
    if (!is_active(stream)) {
        return false;
    }
    last_contact_ = steady_clock::now();
    return true;
}

void group_member::make_visible(const std::vector<std::shared_ptr<const log_entry>>& entries) {
    applier_->execute_internal("COMMIT");
    for (const std::shared_ptr<const log_entry>& entry : entries) {
        files_.append(*entry);
        log_.push(entry);
    }
}

bool group_member::append(incoming_stream& stream, state::log_position from,
                          std::vector<std::shared_ptr<const log_entry>> entries) {
    if (!take_heartbeat(stream)) {
        return false;
    }
    if (!stream.holds_writer) {
        stream.holds_writer = acquire_writer(stream);
        if (!stream.holds_writer) {
            return false;
        }
        applier_->execute_internal("BEGIN IMMEDIATE");
    }
    const state::log_position expected = get_status().position + stream.pending.size();
    if (from != expected) {
        return false;
    }
    for (std::shared_ptr<const log_entry>& entry : entries) {
        apply(*applier_, *entry);
        stream.pending.push_back(std::move(entry));
    }
    lock_type lock(mutex_);
    if (!is_active(stream)) {
        return false;
    }
    last_contact_ = steady_clock::now();
    // Positions below the start of the new term belong to the log of an older term that this
    // target may not have followed. They become visible together with the new term.
    if (expected + entries.size() < stream.header.term_start) {
        return true;
    }
    make_visible(std::exchange(stream.pending, {}));
    if (terms_.follow_term != stream.header.term) {
        set_terms(terms_.follow(stream.header.term, stream.header.term_start));
        transport::log_event(event_following, {{"target", settings_.name},
                                               {"primary", stream.header.sender},
                                               {"term", std::to_string(stream.header.term)}});
    }
    lock.unlock();
    checkpoint();
    stream.holds_writer = false;
    writer_.release();
    return true;
}

void group_member::end_stream(incoming_stream& stream) {
    stream.pending.clear();
    if (std::exchange(stream.holds_writer, false)) {
        if (applier_->is_in_transaction()) {
            applier_->execute_internal("ROLLBACK");
        }
        writer_.release();
    }
    const std::scoped_lock lock(mutex_);
    if (active_stream_ == stream.control) {
        active_stream_.reset();
    }
}

}  // namespace hornbeamhook::standin::target
