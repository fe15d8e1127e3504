#include "transport/target_connection.h"

#include <libpq-fe.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <random>
#include <string_view>
#include <utility>

namespace hornbeamhook::transport {

namespace leaf = boost::leaf;

namespace {

using time_point = target_connection::time_point;
using connection_handle = std::unique_ptr<PGconn, decltype(&PQfinish)>;
using result_handle = std::unique_ptr<PGresult, decltype(&PQclear)>;

constexpr const char* exchange_id_sql = "SELECT $1";
constexpr std::string_view connection_limit_state = "53300";
constexpr std::string_view failed_transaction_state = "25P02";

// Unacknowledged data closes the connection after this time, so that a silent peer does not hold
// kernel buffers for the default of about 15 minutes.
constexpr const char* tcp_user_timeout_ms = "5000";

enum class wait_result { ready, timeout };

wait_result wait_for_socket(int socket_fd, short events, time_point deadline) {
    for (;;) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
        if (left.count() <= 0) {
            return wait_result::timeout;
        }
        pollfd entry{socket_fd, events, 0};
        constexpr std::int64_t max_wait_ms = 60'000;
        const int ready = ::poll(&entry, 1, static_cast<int>(std::min(left.count(), max_wait_ms)));
        if (ready > 0 || (ready < 0 && errno != EINTR)) {
            return wait_result::ready;
        }
    }
}

std::string trim(std::string text) {
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0) {
        text.pop_back();
    }
    return text;
}

std::string get_message(const PGconn* connection) {
    return trim(PQerrorMessage(connection));
}

bool starts_with_word(std::string_view sql, std::string_view word) {
    const std::size_t begin = sql.find_first_not_of(" \t\r\n");
    if (begin == std::string_view::npos || sql.size() - begin < word.size()) {
        return false;
    }
    sql.remove_prefix(begin);
    const bool is_equal = std::equal(word.begin(), word.end(), sql.begin(), [](char a, char b) {
        return a == std::toupper(static_cast<unsigned char>(b));
    });
    return is_equal && (sql.size() == word.size() ||
                        std::isalnum(static_cast<unsigned char>(sql[word.size()])) == 0);
}

/** Ids are unique per process and differ between processes with high probability. */
std::string make_exchange_id() {
    static const std::uint64_t process_part = [] {
        std::random_device source;
        return (static_cast<std::uint64_t>(source()) << 32U) | source();
    }();
    static std::atomic<std::uint64_t> counter = 0;
    return std::to_string(process_part) + "-" + std::to_string(++counter);
}

target_error make_connect_error(const PGconn* connection) {
    const std::string message = get_message(connection);
    target_error error{.kind = target_failure_kind::unreachable, .message = message};
    // libpq exposes the SQLSTATE of a refused start-up only as text, in verbose messages.
    if (message.find(" " + std::string(connection_limit_state) + ":") != std::string::npos) {
        error.kind = target_failure_kind::connection_limit;
        error.sqlstate = connection_limit_state;
    } else if (message.find(std::strerror(ECONNREFUSED)) != std::string::npos) {
        error.kind = target_failure_kind::refused;
    }
    return error;
}

void ignore_notice(void* /*argument*/, const PGresult* /*result*/) {}

connection_handle start_connection(const std::string& host, const std::string& port) {
    const std::array<const char*, 13> keys{"hostaddr",
                                           "port",
                                           "user",
                                           "dbname",
                                           "sslmode",
                                           "gssencmode",
                                           "application_name",
                                           "keepalives",
                                           "keepalives_idle",
                                           "keepalives_interval",
                                           "keepalives_count",
                                           "tcp_user_timeout",
                                           nullptr};
    const std::array<const char*, 13> values{host.c_str(),
                                             port.c_str(),
                                             "hornbeamhook",
                                             "hornbeamhook",
                                             "disable",
                                             "disable",
                                             "hornbeamhook",
                                             "1",
                                             "2",
                                             "1",
                                             "3",
                                             tcp_user_timeout_ms,
                                             nullptr};
    return {PQconnectStartParams(keys.data(), values.data(), 0), &PQfinish};
}

target_result convert(const PGresult* result) {
    target_result converted;
    const int columns = PQnfields(result);
    const int rows = PQntuples(result);
    for (int column = 0; column < columns; ++column) {
        converted.columns.emplace_back(PQfname(result, column));
    }
    converted.rows.reserve(static_cast<std::size_t>(rows));
    for (int row = 0; row < rows; ++row) {
        std::vector<std::optional<std::string>>& cells = converted.rows.emplace_back();
        cells.reserve(static_cast<std::size_t>(columns));
        for (int column = 0; column < columns; ++column) {
            if (PQgetisnull(result, row, column) != 0) {
                cells.emplace_back(std::nullopt);
            } else {
                cells.emplace_back(
                    std::string(PQgetvalue(result, row, column),
                                static_cast<std::size_t>(PQgetlength(result, row, column))));
            }
        }
    }
    // libpq reports the number of rows of a SELECT as affected rows too.
    auto* mutable_result = const_cast<PGresult*>(result);
    if (!std::string_view(PQcmdStatus(mutable_result)).starts_with("SELECT")) {
        const std::string_view count = PQcmdTuples(mutable_result);
        std::from_chars(count.data(), count.data() + count.size(), converted.affected);
    }
    return converted;
}

}  // namespace

struct target_connection::implementation {
    connection_handle connection{nullptr, &PQfinish};
    bool is_broken = false;

    leaf::error_id fail(target_failure_kind kind, bool was_sent, std::string message) {
        is_broken = true;
        connection.reset();
        return leaf::new_error(
            target_error{.kind = kind, .was_sent = was_sent, .message = std::move(message)});
    }

    /** Fails when the target closed the connection while it was idle. */
    leaf::result<void> check_before_sending(const std::vector<target_statement>& statements,
                                            time_point deadline);
    leaf::result<void> send(const std::vector<target_statement>& statements, const std::string& id,
                            std::size_t id_index, time_point deadline);
    bool queue(const target_statement& statement);
    leaf::result<void> flush(time_point deadline);
    /** The next result; null when the results of one statement ended. */
    leaf::result<result_handle> receive(time_point deadline);
};

namespace {

bool is_commit(const target_statement& statement) {
    return starts_with_word(statement.sql, "COMMIT") || starts_with_word(statement.sql, "END");
}

bool ends_transaction(const target_statement& statement) {
    return is_commit(statement) || starts_with_word(statement.sql, "ROLLBACK") ||
           starts_with_word(statement.sql, "ABORT");
}

/** PostgreSQL refuses DISCARD ALL when another statement ran since the synchronisation point. */
bool needs_own_synchronisation(const target_statement& statement) {
    return starts_with_word(statement.sql, "DISCARD");
}

/** Collects the results of one exchange in the order of its statements. */
class exchange_reader {
public:
    /** The exchange id was sent before the statement at `id_index`. */
    exchange_reader(const std::vector<target_statement>& statements, std::string id,
                    std::size_t id_index)
        : statements_(statements), id_(std::move(id)), id_index_(id_index) {}

    /** Takes one result; false when it does not belong to this exchange. */
    bool take(const PGresult* result) {
        if (result == nullptr) {
            current_ += has_result_ ? 1 : 0;
            has_result_ = false;
            return true;
        }
        switch (PQresultStatus(result)) {
            case PGRES_PIPELINE_SYNC:
                take_synchronisation();
                return true;
            case PGRES_FATAL_ERROR:
                take_error(result);
                return true;
            case PGRES_PIPELINE_ABORTED:
                has_result_ = true;
                return error_.has_value();
            case PGRES_TUPLES_OK:
            case PGRES_COMMAND_OK:
            case PGRES_EMPTY_QUERY:
                has_result_ = true;
                return take_success(result);
            default:
                return false;
        }
    }

    std::size_t get_syncs() const { return syncs_; }
    bool is_complete() const { return is_id_confirmed_ && results_.size() == statements_.size(); }
    const std::optional<target_error>& get_error() const { return error_; }
    bool is_id_confirmed() const { return is_id_confirmed_; }
    bool is_reset_refused() const { return is_reset_refused_; }
    std::vector<target_result> take_results() { return std::move(results_); }

private:
    void take_synchronisation() {
        ++syncs_;
        // An error at a synchronisation point counts as an answer of its own, so the count of
        // answers is set anew.
        std::size_t found = 0;
        for (std::size_t i = 0; i < statements_.size(); ++i) {
            found += needs_own_synchronisation(statements_[i]) ? 1 : 0;
            if (found == syncs_) {
                current_ = i + (id_index_ <= i ? 1 : 0);
                has_result_ = false;
                return;
            }
        }
    }

    /** Whether the answer being read is that of a reset behind other statements. */
    bool is_at_reset() const {
        return statements_.size() > 1 && needs_own_synchronisation(statements_.back()) &&
               get_statement_index() + 1 == statements_.size();
    }

    bool is_own_synchronisation_over() const {
        return syncs_ == static_cast<std::size_t>(std::count_if(
                             statements_.begin(), statements_.end(), &needs_own_synchronisation));
    }

    void take_error(const PGresult* result) {
        has_result_ = true;
        if (is_at_reset() && is_own_synchronisation_over()) {
            is_reset_refused_ = true;
            results_.emplace_back();
            return;
        }
        if (error_) {
            return;
        }
        const char* sqlstate = PQresultErrorField(result, PG_DIAG_SQLSTATE);
        const char* message = PQresultErrorField(result, PG_DIAG_MESSAGE_PRIMARY);
        set_error(sqlstate == nullptr ? "" : sqlstate,
                  message == nullptr ? trim(PQresultErrorMessage(result)) : message);
    }

    /** Index of the statement whose answer is being read. */
    std::size_t get_statement_index() const {
        return current_ > id_index_ ? current_ - 1 : current_;
    }

    void set_error(std::string sqlstate, std::string message) {
        // An error at the synchronisation point belongs to the commit of the last statement.
        std::size_t last = statements_.empty() ? 0 : statements_.size() - 1;
        last -= is_at_reset() ? 1 : 0;
        error_ = target_error{.kind = target_failure_kind::sql_error,
                              .was_sent = true,
                              .sqlstate = std::move(sqlstate),
                              .message = std::move(message),
                              .failed_statement = std::min(get_statement_index(), last)};
    }

    bool take_success(const PGresult* result) {
        target_result converted = convert(result);
        if (current_ == id_index_) {
            is_id_confirmed_ = converted.rows.size() == 1 && converted.rows[0].size() == 1 &&
                               converted.rows[0][0] == id_;
            return is_id_confirmed_;
        }
        if (get_statement_index() >= statements_.size()) {
            return false;
        }
        // A target answers COMMIT of a failed transaction with success and the tag ROLLBACK.
        const std::string_view tag = PQcmdStatus(const_cast<PGresult*>(result));
        if (tag == "ROLLBACK" && is_commit(statements_[get_statement_index()])) {
            if (!error_) {
                set_error(std::string(failed_transaction_state),
                          "the target rolled the transaction back instead of committing it");
            }
            return true;
        }
        results_.push_back(std::move(converted));
        return true;
    }

    const std::vector<target_statement>& statements_;
    const std::string id_;
    const std::size_t id_index_;
    std::vector<target_result> results_;
    std::optional<target_error> error_;
    std::size_t current_ = 0;  // Counts the exchange id too.
    std::size_t syncs_ = 0;
    bool has_result_ = false;
    bool is_id_confirmed_ = false;
    bool is_reset_refused_ = false;
};

}  // namespace

leaf::result<void> target_connection::implementation::check_before_sending(
    const std::vector<target_statement>& statements, time_point deadline) {
    if (is_broken) {
        return fail(target_failure_kind::closed, false, "the connection failed earlier");
    }
    if (std::chrono::steady_clock::now() >= deadline) {
        is_broken = true;
        connection.reset();
        return leaf::new_error(target_error{.kind = target_failure_kind::timeout,
                                            .message = "the deadline passed before sending"});
    }
    pollfd entry{PQsocket(connection.get()), POLLIN, 0};
    if (::poll(&entry, 1, 0) > 0 && PQconsumeInput(connection.get()) == 0) {
        return fail(target_failure_kind::closed, false, get_message(connection.get()));
    }
    if (PQstatus(connection.get()) != CONNECTION_OK) {
        return fail(target_failure_kind::closed, false, "the connection was closed while idle");
    }
    if (PQtransactionStatus(connection.get()) == PQTRANS_INERROR &&
        (statements.empty() || !ends_transaction(statements.front()))) {
        return leaf::new_error(
            target_error{.kind = target_failure_kind::sql_error,
                         .sqlstate = std::string(failed_transaction_state),
                         .message = "the transaction failed and must be rolled back first"});
    }
    return {};
}

bool target_connection::implementation::queue(const target_statement& statement) {
    std::vector<const char*> values;
    values.reserve(statement.parameters.size());
    for (const std::optional<std::string>& parameter : statement.parameters) {
        values.push_back(parameter ? parameter->c_str() : nullptr);
    }
    return PQsendQueryParams(connection.get(), statement.sql.c_str(),
                             static_cast<int>(values.size()), nullptr, values.data(), nullptr,
                             nullptr, 0) == 1;
}

leaf::result<void> target_connection::implementation::send(
    const std::vector<target_statement>& statements, const std::string& id, std::size_t id_index,
    time_point deadline) {
    bool is_queued = true;
    for (std::size_t i = 0; i <= statements.size(); ++i) {
        if (i == id_index) {
            is_queued = is_queued && queue({exchange_id_sql, {id}});
        }
        if (i == statements.size()) {
            break;
        }
        if (is_queued && needs_own_synchronisation(statements[i])) {
            is_queued = PQpipelineSync(connection.get()) == 1;
        }
        is_queued = is_queued && queue(statements[i]);
    }
    if (!is_queued || PQpipelineSync(connection.get()) != 1) {
        return fail(target_failure_kind::closed, true, get_message(connection.get()));
    }
    return flush(deadline);
}

leaf::result<void> target_connection::implementation::flush(time_point deadline) {
    for (;;) {
        const int state = PQflush(connection.get());
        if (state == 0) {
            return {};
        }
        if (state < 0) {
            return fail(target_failure_kind::closed, true, get_message(connection.get()));
        }
        // The target may block on its own answers, so input is consumed while output waits.
        if (wait_for_socket(PQsocket(connection.get()), POLLIN | POLLOUT, deadline) ==
            wait_result::timeout) {
            return fail(target_failure_kind::timeout, true, "the target did not read in time");
        }
        if (PQconsumeInput(connection.get()) == 0) {
            return fail(target_failure_kind::closed, true, get_message(connection.get()));
        }
    }
}

leaf::result<result_handle> target_connection::implementation::receive(time_point deadline) {
    while (PQisBusy(connection.get()) != 0) {
        if (wait_for_socket(PQsocket(connection.get()), POLLIN, deadline) == wait_result::timeout) {
            return fail(target_failure_kind::timeout, true, "no complete answer in time");
        }
        if (PQconsumeInput(connection.get()) == 0) {
            return fail(target_failure_kind::closed, true, get_message(connection.get()));
        }
    }
    result_handle result{PQgetResult(connection.get()), &PQclear};
    if (PQstatus(connection.get()) != CONNECTION_OK) {
        return fail(target_failure_kind::closed, true, get_message(connection.get()));
    }
    return result;
}

target_connection::target_connection(std::unique_ptr<implementation> value)
    : implementation_(std::move(value)) {}

target_connection::~target_connection() = default;

leaf::result<std::unique_ptr<target_connection>> target_connection::open(const std::string& address,
                                                                         time_point deadline) {
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return leaf::new_error(target_error{.kind = target_failure_kind::unreachable,
                                            .message = "address " + address + " is not ip:port"});
    }
    auto value = std::make_unique<implementation>();
    value->connection = start_connection(address.substr(0, colon), address.substr(colon + 1));
    PGconn* connection = value->connection.get();
    if (connection == nullptr) {
        return leaf::new_error(target_error{.kind = target_failure_kind::unreachable,
                                            .message = "no memory for a connection"});
    }
    PQsetErrorVerbosity(connection, PQERRORS_VERBOSE);
    PQsetNoticeReceiver(connection, ignore_notice, nullptr);
    PostgresPollingStatusType state = PGRES_POLLING_WRITING;
    while (PQstatus(connection) != CONNECTION_BAD && state != PGRES_POLLING_OK &&
           state != PGRES_POLLING_FAILED) {
        const short events = state == PGRES_POLLING_READING ? POLLIN : POLLOUT;
        if (wait_for_socket(PQsocket(connection), events, deadline) == wait_result::timeout) {
            return leaf::new_error(target_error{.kind = target_failure_kind::unreachable,
                                                .message = address + " did not accept in time"});
        }
        state = PQconnectPoll(connection);
    }
    if (state != PGRES_POLLING_OK) {
        return leaf::new_error(make_connect_error(connection));
    }
    if (PQsetnonblocking(connection, 1) != 0 || PQenterPipelineMode(connection) != 1) {
        return leaf::new_error(target_error{.kind = target_failure_kind::unreachable,
                                            .message = get_message(connection)});
    }
    return std::unique_ptr<target_connection>(new target_connection(std::move(value)));
}

leaf::result<std::vector<target_result>> target_connection::run(
    const std::vector<target_statement>& statements, time_point deadline) {
    BOOST_LEAF_CHECK(implementation_->check_before_sending(statements, deadline));
    const std::string id = make_exchange_id();
    // A failed transaction accepts nothing before the statement that ends it.
    const std::size_t id_index =
        PQtransactionStatus(implementation_->connection.get()) == PQTRANS_INERROR ? 1 : 0;
    BOOST_LEAF_CHECK(implementation_->send(statements, id, id_index, deadline));
    const std::size_t expected_syncs =
        1 + static_cast<std::size_t>(
                std::count_if(statements.begin(), statements.end(), &needs_own_synchronisation));
    exchange_reader reader(statements, id, id_index);
    while (reader.get_syncs() < expected_syncs) {
        BOOST_LEAF_AUTO(result, implementation_->receive(deadline));
        if (!reader.take(result.get())) {
            return implementation_->fail(target_failure_kind::invalid, true,
                                         "the answer does not belong to this exchange");
        }
    }
    // One more call lets libpq leave its pipeline state, or PQtransactionStatus() reports active.
    BOOST_LEAF_AUTO(rest, implementation_->receive(deadline));
    if (rest != nullptr) {
        return implementation_->fail(target_failure_kind::invalid, true,
                                     "an answer follows the end of the exchange");
    }
    if (reader.is_reset_refused()) {
        implementation_->is_broken = true;
        implementation_->connection.reset();
    }
    if (reader.get_error()) {
        if (!reader.is_id_confirmed()) {
            return implementation_->fail(
                target_failure_kind::invalid, true,
                "the exchange id was refused: " + reader.get_error()->message);
        }
        return leaf::new_error(*reader.get_error());
    }
    if (!reader.is_complete()) {
        return implementation_->fail(target_failure_kind::invalid, true,
                                     "the number of answers differs from that of the statements");
    }
    return reader.take_results();
}

transaction_state target_connection::get_transaction_state() const {
    if (implementation_->is_broken) {
        return transaction_state::unknown;
    }
    switch (PQtransactionStatus(implementation_->connection.get())) {
        case PQTRANS_IDLE:
            return transaction_state::idle;
        case PQTRANS_INTRANS:
            return transaction_state::open;
        case PQTRANS_INERROR:
            return transaction_state::failed;
        default:
            return transaction_state::unknown;
    }
}

bool target_connection::is_broken() const {
    return implementation_->is_broken;
}

}  // namespace hornbeamhook::transport
