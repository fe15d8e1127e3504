#include "standin/target/wire_session.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <exception>
#include <utility>

namespace hornbeamhook::standin::target {

namespace leaf = boost::leaf;

namespace {

constexpr std::int32_t protocol_version_3 = 196608;
constexpr std::int32_t ssl_request = 80877103;
constexpr std::int32_t gss_request = 80877104;
constexpr std::size_t max_message_bytes = std::size_t{64} << 20U;
constexpr std::size_t max_start_up_bytes = 10'000;

constexpr const char* state_protocol_violation = "08P01";
constexpr const char* state_not_supported = "0A000";
constexpr const char* state_too_many_connections = "53300";
constexpr const char* state_idle_transaction = "25P03";
constexpr const char* state_unknown_statement = "26000";
constexpr const char* state_unknown_portal = "34000";
constexpr const char* state_invalid_encoding = "22021";

leaf::error_id make_violation(const std::string& message) {
    return leaf::new_error(sql_error{state_protocol_violation, message});
}

}  // namespace

std::vector<std::string> split_statements(const std::string& text) {
    std::vector<std::string> parts(1);
    char quote = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (quote == 0 && c == '-' && i + 1 < text.size() && text[i + 1] == '-') {
            i = std::min(text.find('\n', i), text.size()) - 1;
            continue;
        }
        if (quote == 0 && c == ';') {
            parts.emplace_back();
            continue;
        }
        if (quote != 0) {
            quote = c == quote ? '\0' : quote;
        } else if (c == '\'' || c == '"') {
            quote = c;
        }
        parts.back() += c;
    }
    std::erase_if(parts, [](const std::string& part) {
        return part.find_first_not_of(" \t\r\n") == std::string::npos;
    });
    return parts;
}

wire_session::wire_session(target_context& context, std::shared_ptr<session_control> control,
                           bool is_over_limit)
    : context_(context), control_(std::move(control)), is_over_limit_(is_over_limit) {}

void wire_session::run() {
    try {
        if (!start_up()) {
            return;
        }
        while (serve_one()) {
        }
    } catch (const std::exception& error) {
        writer_.clear();
        writer_.add_error({"XX000", error.what()}, true);
        flush();
    }
    sql_.reset();
}

bool wire_session::fill_input() {
    std::array<char, 16384> buffer{};
    for (;;) {
        const bool is_in_transaction = sql_ && sql_->get_state() != 'I';
        const int timeout_ms =
            is_in_transaction
                ? static_cast<int>(sql_->get_idle_limit()
                                       .value_or(context_.settings.idle_transaction_timeout)
                                       .count())
                : -1;
        pollfd entry{control_->fd, POLLIN, 0};
        const int ready = ::poll(&entry, 1, timeout_ms);
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        if (ready == 0) {
            end_idle_transaction();
            continue;
        }
        const ssize_t count = ::recv(control_->fd, buffer.data(), buffer.size(), 0);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0 || control_->is_killed()) {
            return false;
        }
        if (control_->silence_mode == session_control::silence::discard) {
            input_.clear();
            continue;
        }
        input_.append(buffer.data(), static_cast<std::size_t>(count));
        return true;
    }
}

void wire_session::end_idle_transaction() {
    sql_->roll_back();
    writer_.clear();
    writer_.add_error(
        {state_idle_transaction, "terminating connection due to idle-in-transaction timeout"},
        true);
    flush();
    // A silent connection stays open, as the peer that hides it would keep it open.
    if (control_->silence_mode == session_control::silence::none) {
        control_->kill();
    }
}

bool wire_session::read_exactly(std::size_t length, std::string& target) {
    while (input_.size() < length) {
        if (!fill_input()) {
            return false;
        }
    }
    target.assign(input_, 0, length);
    input_.erase(0, length);
    return true;
}

bool wire_session::flush() {
    const std::string& text = writer_.get_text();
    std::size_t sent = 0;
    const bool is_silent = control_->silence_mode != session_control::silence::none;
    while (!is_silent && !control_->is_killed() && sent < text.size()) {
        const ssize_t count =
            ::send(control_->fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    writer_.clear();
    return !control_->is_killed();
}

std::optional<std::string> wire_session::read_start_up_packet() {
    std::string length_text;
    if (!read_exactly(4, length_text)) {
        return std::nullopt;
    }
    const std::int32_t length = wire_reader(length_text).get_int32();
    std::string body;
    if (length < 8 || static_cast<std::size_t>(length) > max_start_up_bytes ||
        !read_exactly(static_cast<std::size_t>(length) - 4, body)) {
        return std::nullopt;
    }
    return body;
}

bool wire_session::start_up() {
    for (;;) {
        const std::optional<std::string> packet = read_start_up_packet();
        if (!packet) {
            return false;
        }
        const std::int32_t code = wire_reader(*packet).get_int32();
        if (code == ssl_request || code == gss_request) {
            ::send(control_->fd, "N", 1, MSG_NOSIGNAL);
            continue;
        }
        // A cancel request ends here too: the connection is closed without an answer.
        if (code != protocol_version_3) {
            return false;
        }
        break;
    }
    if (is_over_limit_) {
        writer_.add_error({state_too_many_connections, "sorry, too many clients already"}, true);
        flush();
        return false;
    }
    control_->sleep(context_.settings.connect_cost);
    sql_ = std::make_unique<sql_session>(context_, control_);
    writer_.add_authentication_ok();
    writer_.add_parameter("server_version", "15.0");
    writer_.add_parameter("server_encoding", "UTF8");
    writer_.add_parameter("client_encoding", "UTF8");
    writer_.add_parameter("standard_conforming_strings", "on");
    writer_.add_parameter("integer_datetimes", "on");
    writer_.add_backend_key(static_cast<std::int32_t>(control_->id), 0);
    writer_.add_ready('I');
    return flush();
}

std::optional<wire_session::message> wire_session::read_message() {
    std::string head;
    if (!read_exactly(5, head)) {
        return std::nullopt;
    }
    const std::int32_t length = wire_reader(std::string_view(head).substr(1)).get_int32();
    if (length < 4 || static_cast<std::size_t>(length) > max_message_bytes) {
        writer_.add_error({state_protocol_violation, "invalid message length"}, true);
        flush();
        return std::nullopt;
    }
    message value{.type = head[0], .body = {}};
    if (!read_exactly(static_cast<std::size_t>(length) - 4, value.body)) {
        return std::nullopt;
    }
    return value;
}

bool wire_session::serve_one() {
    const std::optional<message> value = read_message();
    return value && handle(*value) && !control_->is_killed();
}

void wire_session::report(const sql_error& error) {
    writer_.add_error(error, false);
    sql_->fail();
}

bool wire_session::handle(const message& value) {
    switch (value.type) {
        case 'X':
            return false;
        case 'S':
            handle_synchronise();
            return flush();
        case 'H':
            return flush();
        case 'Q':
            handle_query(wire_reader(value.body).get_string());
            return flush();
        default:
            break;
    }
    if (skips_to_synchronise_) {
        return true;
    }
    leaf::try_handle_all([&] { return handle_extended(value); },
                         [&](const sql_error& error) {
                             report(error);
                             skips_to_synchronise_ = true;
                         },
                         [&] {
                             report({"XX000", "internal error"});
                             skips_to_synchronise_ = true;
                         });
    return true;
}

void wire_session::handle_synchronise() {
    skips_to_synchronise_ = false;
    leaf::try_handle_all([&] { return sql_->synchronise(); },
                         [&](const sql_error& error) { writer_.add_error(error, false); },
                         [&] {
                             writer_.add_error({"XX000", "internal error"}, false);
                         });
    portals_.clear();
    if (sql_->take_answer_loss()) {
        lose_answer();
    }
    control_->sleep(context_.faults.get().answer_delay);
    writer_.add_ready(sql_->get_state());
}

void wire_session::lose_answer() {
    if (context_.faults.get().loss == answer_loss::close) {
        control_->kill();
    } else {
        control_->silence_mode = session_control::silence::discard;
    }
}

void wire_session::handle_query(const std::string& text) {
    const std::vector<std::string> statements = split_statements(text);
    if (statements.empty()) {
        writer_.add_empty('I');
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            for (const std::string& sql : statements) {
                BOOST_LEAF_CHECK(run_statement(sql, {}, false));
            }
            return {};
        },
        [&](const sql_error& error) { report(error); },
        [&] {
            report({"XX000", "internal error"});
        });
    handle_synchronise();
}

leaf::result<void> wire_session::handle_extended(const message& value) {
    wire_reader reader(value.body);
    switch (value.type) {
        case 'P':
            return parse(reader);
        case 'B':
            return bind(reader);
        case 'D':
            return describe(reader);
        case 'E':
            return execute(reader);
        case 'C':
            return close(reader);
        default:
            return make_violation("unexpected message type " +
                                  std::to_string(static_cast<int>(value.type)));
    }
}

leaf::result<void> wire_session::parse(wire_reader& reader) {
    const std::string name = reader.get_string();
    std::string sql = reader.get_string();
    if (!reader.is_valid()) {
        return make_violation("malformed Parse message");
    }
    if (!is_valid_text(sql)) {
        return leaf::new_error(sql_error{state_invalid_encoding, "the statement is not UTF-8"});
    }
    if (!name.empty() && statements_.contains(name)) {
        return leaf::new_error(
            sql_error{"42P05", "prepared statement \"" + name + "\" already exists"});
    }
    if (!split_statements(sql).empty()) {
        BOOST_LEAF_CHECK(sql_->check(sql));
    }
    statements_[name] = std::move(sql);
    writer_.add_empty('1');
    return {};
}

leaf::result<std::string> wire_session::find_statement(const std::string& name) const {
    const auto it = statements_.find(name);
    if (it == statements_.end()) {
        return leaf::new_error(sql_error{state_unknown_statement,
                                         "prepared statement \"" + name + "\" does not exist"});
    }
    return it->second;
}

leaf::result<wire_session::portal> wire_session::find_portal(const std::string& name) const {
    const auto it = portals_.find(name);
    if (it == portals_.end()) {
        return leaf::new_error(
            sql_error{state_unknown_portal, "portal \"" + name + "\" does not exist"});
    }
    return it->second;
}

leaf::result<void> wire_session::bind(wire_reader& reader) {
    const std::string name = reader.get_string();
    BOOST_LEAF_AUTO(sql, find_statement(reader.get_string()));
    bool is_text = true;
    for (std::int16_t left = reader.get_int16(); left > 0; --left) {
        is_text = reader.get_int16() == 0 && is_text;
    }
    portal value{.sql = std::move(sql), .parameters = {}};
    for (std::int16_t left = reader.get_int16(); left > 0 && reader.is_valid(); --left) {
        const std::int32_t length = reader.get_int32();
        if (length < 0) {
            value.parameters.emplace_back(std::nullopt);
            continue;
        }
        value.parameters.emplace_back(reader.get_bytes(static_cast<std::size_t>(length)));
        if (!is_valid_text(*value.parameters.back())) {
            return leaf::new_error(sql_error{state_invalid_encoding, "a parameter is not UTF-8"});
        }
    }
    for (std::int16_t left = reader.get_int16(); left > 0; --left) {
        is_text = reader.get_int16() == 0 && is_text;
    }
    if (!reader.is_valid() || !reader.is_at_end()) {
        return make_violation("malformed Bind message");
    }
    if (!is_text) {
        return leaf::new_error(sql_error{state_not_supported, "only the text format is supported"});
    }
    portals_[name] = std::move(value);
    writer_.add_empty('2');
    return {};
}

leaf::result<void> wire_session::describe(wire_reader& reader) {
    const std::string kind = reader.get_bytes(1);
    const std::string name = reader.get_string();
    if (!reader.is_valid()) {
        return make_violation("malformed Describe message");
    }
    std::string sql;
    if (kind == "S") {
        BOOST_LEAF_ASSIGN(sql, find_statement(name));
        writer_.add_parameter_description(0);
    } else {
        BOOST_LEAF_AUTO(value, find_portal(name));
        sql = std::move(value.sql);
    }
    std::vector<std::string> columns;
    if (!split_statements(sql).empty()) {
        BOOST_LEAF_ASSIGN(columns, sql_->describe(sql));
    }
    if (columns.empty()) {
        writer_.add_empty('n');
    } else {
        writer_.add_row_description(columns);
    }
    return {};
}

leaf::result<void> wire_session::execute(wire_reader& reader) {
    BOOST_LEAF_AUTO(value, find_portal(reader.get_string()));
    const std::int32_t max_rows = reader.get_int32();
    if (!reader.is_valid()) {
        return make_violation("malformed Execute message");
    }
    if (max_rows != 0) {
        return leaf::new_error(sql_error{state_not_supported, "row limits are not supported"});
    }
    if (split_statements(value.sql).empty()) {
        writer_.add_empty('I');
        return {};
    }
    return run_statement(value.sql, value.parameters, true);
}

leaf::result<void> wire_session::run_statement(const std::string& sql, const sql_values& parameters,
                                               bool is_described) {
    ++control_->statements_received;
    ++context_.counters.statements_received;
    BOOST_LEAF_AUTO(answer, sql_->execute(sql, parameters));
    if (!is_described && !answer.columns.empty()) {
        writer_.add_row_description(answer.columns);
    }
    for (const sql_values& row : answer.rows) {
        writer_.add_row(row);
    }
    writer_.add_command_complete(answer.tag);
    return {};
}

leaf::result<void> wire_session::close(wire_reader& reader) {
    const std::string kind = reader.get_bytes(1);
    const std::string name = reader.get_string();
    if (!reader.is_valid()) {
        return make_violation("malformed Close message");
    }
    if (kind == "S") {
        statements_.erase(name);
    } else {
        portals_.erase(name);
    }
    writer_.add_empty('3');
    return {};
}

}  // namespace hornbeamhook::standin::target
