#include "standin/target/sql_session.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <sstream>
#include <string_view>
#include <utility>

namespace hornbeamhook::standin::target {

namespace leaf = boost::leaf;

namespace {

constexpr const char* state_failed_transaction = "25P02";
constexpr const char* state_active_transaction = "25001";
constexpr const char* state_read_only_transaction = "25006";
constexpr const char* state_no_commit = "55000";
constexpr const char* state_invalid_text = "22P02";
constexpr const char* state_shut_down = "57P01";

/** The first words of a statement in upper case, without a final semicolon. */
std::vector<std::string> get_words(const std::string& sql) {
    // Commands that are not passed to SQLite are short; a long text is another statement.
    constexpr std::size_t max_command_length = 200;
    std::string text = sql.substr(0, max_command_length);
    for (char& c : text) {
        c = c == ';' || c == ',' ? ' '
                                 : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    std::istringstream input(text);
    std::vector<std::string> words;
    for (std::string word; input >> word;) {
        words.push_back(word);
    }
    return words;
}

bool asks_for_read_only(const std::vector<std::string>& words) {
    const std::array<std::string_view, 2> pair{"READ", "ONLY"};
    return std::search(words.begin(), words.end(), pair.begin(), pair.end()) != words.end();
}

leaf::result<state::term_number> parse_term(const std::string& text) {
    state::term_number term = 0;
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), term);
    if (code != std::errc() || end != text.data() + text.size()) {
        return leaf::new_error(sql_error{state_invalid_text, "\"" + text + "\" is not a term"});
    }
    return term;
}

leaf::result<std::string> to_text(leaf::result<state::target_status> status) {
    if (!status) {
        return status.error();
    }
    return state::to_json(*status).dump();
}

}  // namespace

sql_session::sql_session(target_context& context, std::shared_ptr<session_control> control)
    : context_(context),
      control_(std::move(control)),
      connection_(context.member.open_session(control_)) {
    add_functions();
}

sql_session::~sql_session() {
    roll_back();
    connection_.reset();
    context_.member.close_session(*control_);
}

void sql_session::add_functions() {
    connection_->add_function("hornbeamhook_status", 0,
                              [this](const auto&) -> leaf::result<std::string> {
                                  return state::to_json(get_visible_status()).dump();
                              });
    connection_->add_function("hornbeamhook_last_commit", 0,
                              [this](const auto&) { return get_last_commit(); });
    connection_->add_function("hornbeamhook_fence", 2,
                              [this](const auto& arguments) -> leaf::result<std::string> {
                                  BOOST_LEAF_AUTO(term, parse_term(arguments[0]));
                                  return to_text(context_.member.fence(term, arguments[1]));
                              });
    connection_->add_function("hornbeamhook_promote", 2,
                              [this](const auto& arguments) -> leaf::result<std::string> {
                                  BOOST_LEAF_AUTO(term, parse_term(arguments[0]));
                                  return to_text(context_.member.promote(term, arguments[1]));
                              });
}

sql_session::command sql_session::classify(const std::string& sql) {
    const std::vector<std::string> words = get_words(sql);
    const std::string first = words.empty() ? "" : words[0];
    if (first == "BEGIN" || (first == "START" && words.size() > 1 && words[1] == "TRANSACTION")) {
        return asks_for_read_only(words) ? command::begin_read_only : command::begin;
    }
    if (first == "COMMIT" || first == "END") {
        return command::commit;
    }
    if ((first == "ROLLBACK" || first == "ABORT") && (words.size() < 2 || words[1] != "TO")) {
        return command::roll_back;
    }
    if (first == "DISCARD" && words.size() == 2 && words[1] == "ALL") {
        return command::discard;
    }
    return first == "SET" ? command::set : command::other;
}

void sql_session::read_setting(const std::string& sql) {
    constexpr std::string_view name = "IDLE_IN_TRANSACTION_SESSION_TIMEOUT";
    const std::vector<std::string> words = get_words(sql);
    if (block_ == block::none || words.size() != 5 || words[1] != "LOCAL" || words[2] != name) {
        return;  // Other settings have no effect on the stand-in.
    }
    int milliseconds = 0;
    const std::string& text = words[4];
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (code == std::errc() && end == text.data() + text.size() && milliseconds > 0) {
        idle_limit_ = std::chrono::milliseconds(milliseconds);
    }
}

std::optional<std::chrono::milliseconds> sql_session::get_idle_limit() const {
    return block_ == block::none ? std::nullopt : idle_limit_;
}

leaf::result<void> sql_session::check(const std::string& sql) {
    const command value = classify(sql);
    if (block_ == block::failed && value != command::commit && value != command::roll_back) {
        return leaf::new_error(sql_error{
            state_failed_transaction,
            "current transaction is aborted, commands ignored until end of transaction block"});
    }
    if (value == command::other) {
        BOOST_LEAF_CHECK(connection_->prepare(sql));
    }
    return {};
}

leaf::result<std::vector<std::string>> sql_session::describe(const std::string& sql) {
    if (classify(sql) != command::other) {
        return std::vector<std::string>();
    }
    BOOST_LEAF_AUTO(statement, connection_->prepare(sql));
    return sql_connection::get_columns(*statement);
}

leaf::result<sql_answer> sql_session::execute(const std::string& sql,
                                              const sql_values& parameters) {
    BOOST_LEAF_CHECK(check(sql));
    const command value = classify(sql);
    if (value == command::set) {
        read_setting(sql);
    }
    leaf::result<sql_answer> answer =
        value == command::other ? execute_sql(sql, parameters) : execute_command(value);
    ran_since_synchronise_ = true;
    return answer;
}

leaf::result<sql_answer> sql_session::execute_command(command value) {
    switch (value) {
        case command::begin:
        case command::begin_read_only:
            if (block_ == block::none) {
                idle_limit_.reset();
                block_ = value == command::begin ? block::read_write : block::read_only;
            }
            return sql_answer{.tag = "BEGIN"};
        case command::commit:
            if (block_ == block::failed) {
                roll_back();
                return sql_answer{.tag = "ROLLBACK"};
            }
            BOOST_LEAF_CHECK(commit());
            return sql_answer{.tag = "COMMIT"};
        case command::roll_back:
            roll_back();
            return sql_answer{.tag = "ROLLBACK"};
        case command::discard:
            if (block_ != block::none || ran_since_synchronise_) {
                return leaf::new_error(
                    sql_error{state_active_transaction,
                              "DISCARD ALL cannot run inside a transaction block or pipeline"});
            }
            last_commit_.reset();
            return sql_answer{.tag = "DISCARD ALL"};
        default:
            return sql_answer{.tag = "SET"};
    }
}

leaf::result<sql_answer> sql_session::execute_sql(const std::string& sql,
                                                  const sql_values& parameters) {
    BOOST_LEAF_AUTO(statement, connection_->prepare(sql));
    if (!statement->is_read_only) {
        BOOST_LEAF_CHECK(ensure_write());
    } else if (statement->uses_tables || statement->uses_status) {
        ensure_snapshot();
    }
    BOOST_LEAF_AUTO(answer, statement->uses_tables ? execute_in_slot(*statement, parameters)
                                                   : connection_->execute(*statement, parameters));
    if (!statement->is_read_only) {
        nlohmann::json values = nlohmann::json::array();
        for (const std::optional<std::string>& parameter : parameters) {
            values.push_back(parameter ? nlohmann::json(*parameter) : nlohmann::json());
        }
        written_.push_back({{"sql", sql}, {"parameters", std::move(values)}});
    }
    return answer;
}

leaf::result<sql_answer> sql_session::execute_in_slot(sql_connection::statement& statement,
                                                      const sql_values& parameters) {
    if (!context_.slots.acquire([this] { return control_->is_killed(); })) {
        return leaf::new_error(sql_error{state_shut_down, "the connection is being closed"});
    }
    target_counters& counters = context_.counters;
    raise_peak(counters.statements_running_peak, ++counters.statements_running);
    control_->sleep(context_.settings.statement_cost);
    leaf::result<sql_answer> answer = connection_->execute(statement, parameters);
    ++counters.statements_executed;
    --counters.statements_running;
    context_.slots.release();
    return answer;
}

leaf::result<void> sql_session::ensure_write() {
    if (block_ == block::read_only) {
        return leaf::new_error(
            sql_error{state_read_only_transaction, "cannot write in a read-only transaction"});
    }
    if (control_->is_writing) {
        return {};
    }
    end_snapshot();
    return context_.member.begin_write(*control_, *connection_);
}

void sql_session::ensure_snapshot() {
    if (!snapshot_ && !control_->is_writing) {
        snapshot_ = context_.member.begin_snapshot(*connection_);
    }
}

void sql_session::end_snapshot() {
    if (snapshot_) {
        connection_->execute_internal("COMMIT");
        snapshot_.reset();
    }
}

state::target_status sql_session::get_visible_status() {
    state::target_status status = context_.member.get_status();
    if (snapshot_) {
        status.follow_term = snapshot_->follow_term;
        status.term_start = snapshot_->term_start;
        status.position = snapshot_->position;
        status.is_primary = status.is_primary && snapshot_->is_primary;
    }
    return status;
}

leaf::result<std::string> sql_session::get_last_commit() const {
    if (control_->is_writing) {
        return leaf::new_error(
            sql_error{state_active_transaction,
                      "hornbeamhook_last_commit() needs the open transaction to be committed"});
    }
    if (!last_commit_) {
        return leaf::new_error(
            sql_error{state_no_commit, "no transaction was committed on this connection"});
    }
    return nlohmann::json{{"term", last_commit_->term}, {"position", last_commit_->position}}
        .dump();
}

leaf::result<void> sql_session::commit() {
    block_ = block::none;
    if (!control_->is_writing) {
        last_commit_ =
            snapshot_ ? snapshot_->get_log_end() : context_.member.get_status().get_log_end();
        end_snapshot();
        return {};
    }
    std::string written = std::exchange(written_, nlohmann::json::array()).dump();
    BOOST_LEAF_ASSIGN(last_commit_,
                      context_.member.commit(*control_, *connection_, std::move(written)));
    ++context_.counters.commits;
    is_answer_lost_ = context_.faults.take_commit_answer_loss();
    return {};
}

leaf::result<void> sql_session::synchronise() {
    ran_since_synchronise_ = false;
    if (block_ == block::none && control_->is_writing) {
        return commit();
    }
    if (block_ != block::read_only) {
        end_snapshot();
    }
    return {};
}

void sql_session::fail() {
    if (block_ == block::none) {
        roll_back();
        return;
    }
    context_.member.roll_back(*control_, *connection_);
    snapshot_.reset();
    written_ = nlohmann::json::array();
    block_ = block::failed;
}

void sql_session::roll_back() {
    context_.member.roll_back(*control_, *connection_);
    snapshot_.reset();
    written_ = nlohmann::json::array();
    block_ = block::none;
}

char sql_session::get_state() const {
    switch (block_) {
        case block::none:
            return 'I';
        case block::failed:
            return 'E';
        default:
            return 'T';
    }
}

}  // namespace hornbeamhook::standin::target
