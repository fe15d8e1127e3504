#include "protocol/execute_message.h"

#include <array>
#include <limits>
#include <utility>

#include "protocol/statement_codec.h"
#include "state/json_reader.h"

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t max_counter = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t max_deadline_ms = 600'000;
/// A reader takes 64 KiB, and a byte that is not UTF-8 is written as three.
constexpr std::size_t max_message_bytes = 16U << 10U;

constexpr std::array<std::pair<execute_operation, const char*>, 7> operation_names{{
    {execute_operation::statements, "statements"},
    {execute_operation::begin, "begin"},
    {execute_operation::transaction_statements, "transaction_statements"},
    {execute_operation::commit, "commit"},
    {execute_operation::rollback, "rollback"},
    {execute_operation::resolve_commit, "resolve_commit"},
    {execute_operation::await_acknowledgement, "await_acknowledgement"},
}};

constexpr std::array<std::pair<state::read_policy::kind, const char*>, 3> policy_names{{
    {state::read_policy::kind::own_writes, "own_writes"},
    {state::read_policy::kind::max_age, "max_age"},
    {state::read_policy::kind::strict, "strict"},
}};

template <typename Value, std::size_t Size>
const char* get_name(const std::array<std::pair<Value, const char*>, Size>& names, Value value) {
    for (const auto& [candidate, name] : names) {
        if (candidate == value) {
            return name;
        }
    }
    return names.front().second;
}

template <typename Value, std::size_t Size>
Value read_name(state::json_reader& reader, const char* field,
                const std::array<std::pair<Value, const char*>, Size>& names) {
    std::set<std::string> allowed;
    for (const auto& [value, name] : names) {
        allowed.insert(name);
    }
    const std::string text = reader.get_choice(field, allowed);
    for (const auto& [value, name] : names) {
        if (text == name) {
            return value;
        }
    }
    return names.front().first;
}

std::string dump(const nlohmann::json& object) {
    // Cells may hold bytes that are not UTF-8; JSON cannot carry them.
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

std::string to_text(const execute_request& request) {
    return dump({{"exchange_id", request.exchange_id},
                 {"operation", get_name(operation_names, request.operation)},
                 {"pool", request.pool},
                 {"target", request.target},
                 {"caller", request.caller},
                 {"is_write", request.is_write},
                 {"statements", to_json(request.statements)},
                 {"policy", get_name(policy_names, request.policy.policy)},
                 {"max_age_ms", request.policy.max_age.count()},
                 {"must_be_fresh", request.must_be_fresh},
                 {"term", request.required.term},
                 {"position", request.required.position},
                 {"idempotency_key", request.idempotency_key},
                 {"digest", request.digest},
                 {"deadline_ms", request.deadline.count()},
                 {"incarnation", request.incarnation},
                 {"transaction", request.transaction}});
}

leaf::result<execute_request> parse_execute_request(std::string_view text) {
    BOOST_LEAF_AUTO(object, state::parse_json(text, "execute"));
    state::json_reader reader(object, "execute");
    execute_request request;
    request.exchange_id = reader.get_string("exchange_id");
    request.operation = read_name(reader, "operation", operation_names);
    request.pool = reader.get_string("pool");
    request.target = reader.get_string("target");
    request.caller = reader.get_string("caller");
    request.is_write = reader.get_boolean("is_write");
    const nlohmann::json* statements = reader.get_array("statements");
    if (statements != nullptr && !statements->empty()) {
        request.statements = read_statements(reader, "statements");
    }
    request.policy.policy = read_name(reader, "policy", policy_names);
    request.policy.max_age = milliseconds(reader.get_integer("max_age_ms", 0, max_counter));
    request.must_be_fresh = reader.get_boolean("must_be_fresh");
    request.required.term = reader.get_integer("term", 0, max_counter);
    request.required.position = reader.get_integer("position", 0, max_counter);
    request.idempotency_key = reader.get_string("idempotency_key");
    request.digest = reader.get_string("digest");
    request.deadline = milliseconds(reader.get_integer("deadline_ms", 0, max_deadline_ms));
    request.incarnation = reader.get_integer("incarnation", 0, max_counter);
    request.transaction = reader.get_integer("transaction", 0, max_counter);
    BOOST_LEAF_CHECK(reader.finish());
    return request;
}

std::string to_text(const execute_answer& answer) {
    nlohmann::json object{{"exchange_id", answer.exchange_id},
                          {"outcome", state::to_string(answer.outcome)},
                          {"code", to_string(answer.code)},
                          {"message", answer.message.substr(0, max_message_bytes)},
                          {"was_sent", answer.was_sent},
                          {"is_behind", answer.is_behind},
                          {"results", to_json(answer.results)},
                          {"term", answer.point.term},
                          {"position", answer.point.position},
                          {"target", answer.target},
                          {"is_primary", answer.is_primary},
                          {"incarnation", answer.incarnation},
                          {"transaction", answer.transaction}};
    if (answer.primary) {
        object["primary"] = {{"target", answer.primary->target}, {"term", answer.primary->term}};
    }
    return dump(object);
}

leaf::result<execute_answer> parse_execute_answer(std::string_view text) {
    BOOST_LEAF_AUTO(object, state::parse_json(text, "answer"));
    state::json_reader reader(object, "answer");
    execute_answer answer;
    answer.exchange_id = reader.get_string("exchange_id");
    const std::optional<state::outcome> outcome =
        state::parse_outcome(reader.get_string("outcome"));
    const std::optional<error_code> code = parse_error_code(reader.get_string("code"));
    if (!outcome || !code) {
        reader.fail("outcome", "not a known outcome or code");
    }
    answer.outcome = outcome.value_or(state::outcome::unknown);
    answer.code = code.value_or(error_code::outcome_unknown);
    answer.message = reader.get_string("message");
    answer.was_sent = reader.get_boolean("was_sent");
    answer.is_behind = reader.get_boolean("is_behind");
    const nlohmann::json* results = reader.get_array("results");
    answer.point.term = reader.get_integer("term", 0, max_counter);
    answer.point.position = reader.get_integer("position", 0, max_counter);
    answer.target = reader.get_string("target");
    answer.is_primary = reader.get_boolean("is_primary");
    answer.incarnation = reader.get_integer("incarnation", 0, max_counter);
    answer.transaction = reader.get_integer("transaction", 0, max_counter);
    if (const nlohmann::json* primary = reader.get_object("primary", false)) {
        state::json_reader fields(*primary, "answer.primary");
        state::primary_view view;
        view.target = fields.get_string("target");
        view.term = fields.get_integer("term", 0, max_counter);
        BOOST_LEAF_CHECK(fields.finish());
        answer.primary = view;
    }
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_ASSIGN(answer.results, parse_results(*results));
    return answer;
}

}  // namespace hornbeamhook::protocol
