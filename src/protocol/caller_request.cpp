#include "protocol/caller_request.h"

#include <functional>

#include "protocol/caller_error.h"
#include "protocol/sql_check.h"
#include "protocol/statement_codec.h"
#include "state/json_reader.h"

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t max_deadline_ms = 600'000;
constexpr std::int64_t max_age_limit_ms = 86'400'000;
constexpr std::size_t max_key_bytes = 200;
constexpr std::size_t max_token_bytes = 4096;

std::optional<state::read_policy> read_policy_field(state::json_reader& reader) {
    const nlohmann::json* object = reader.get_object("read_policy", false);
    if (object == nullptr) {
        return std::nullopt;
    }
    state::json_reader fields(*object, "read_policy");
    state::read_policy policy;
    int chosen = 0;
    if (fields.get_boolean("own_writes", false)) {
        policy.policy = state::read_policy::kind::own_writes;
        ++chosen;
    }
    if (fields.has("max_age_ms")) {
        policy.policy = state::read_policy::kind::max_age;
        policy.max_age = milliseconds(fields.get_integer("max_age_ms", 0, max_age_limit_ms));
        ++chosen;
    }
    if (fields.get_boolean("strict", false)) {
        policy.policy = state::read_policy::kind::strict;
        ++chosen;
    }
    if (chosen != 1) {
        fields.fail("", "exactly one of own_writes, max_age_ms and strict is allowed");
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void> { return fields.finish(); },
        [&](const state::state_error& error) { reader.fail("read_policy", error.message); },
        [&] { reader.fail("read_policy", "invalid"); });
    return policy;
}

void read_deadline(state::json_reader& reader, caller_request& request) {
    if (reader.has("deadline_ms")) {
        request.deadline = milliseconds(reader.get_integer("deadline_ms", 1, max_deadline_ms));
    }
}

void read_key(state::json_reader& reader, caller_request& request) {
    request.idempotency_key = reader.get_string("idempotency_key", "", max_key_bytes);
    if (request.idempotency_key.find('\0') != std::string::npos) {
        reader.fail("idempotency_key", "holds a zero byte");
    }
}

void read_kind(state::json_reader& reader, caller_request& request) {
    request.is_write = reader.get_choice("kind", {"read", "write"}) == "write";
    request.policy = read_policy_field(reader);
    request.token = reader.get_string("token", "", max_token_bytes);
    if (request.is_write && request.policy) {
        reader.fail("read_policy", "not allowed with kind \"write\"");
    }
}

leaf::result<caller_request> parse(
    std::string_view body, const std::function<void(state::json_reader&, caller_request&)>& read) {
    return leaf::try_handle_some(
        [&]() -> leaf::result<caller_request> {
            BOOST_LEAF_AUTO(object, state::parse_json(body.empty() ? "{}" : body, "body"));
            state::json_reader reader(object, "");
            caller_request request;
            read(reader, request);
            BOOST_LEAF_CHECK(reader.finish());
            for (const transport::target_statement& statement : request.statements) {
                BOOST_LEAF_CHECK(check_sql(statement.sql, request.is_write));
            }
            return request;
        },
        [](const state::state_error& error) -> leaf::result<caller_request> {
            return leaf::new_error(caller_error{error_code::bad_request, error.message});
        });
}

}  // namespace

leaf::result<caller_request> parse_statement_request(std::string_view body) {
    return parse(body, [](state::json_reader& reader, caller_request& request) {
        request.statements = read_statements(reader, "statements");
        read_kind(reader, request);
        read_key(reader, request);
        if (!request.is_write && !request.idempotency_key.empty()) {
            reader.fail("idempotency_key", "not allowed with kind \"read\"");
        }
        read_deadline(reader, request);
    });
}

leaf::result<caller_request> parse_begin_request(std::string_view body) {
    return parse(body, [](state::json_reader& reader, caller_request& request) {
        read_kind(reader, request);
        read_deadline(reader, request);
    });
}

leaf::result<caller_request> parse_transaction_statement_request(std::string_view body,
                                                                 bool is_write) {
    return parse(body, [is_write](state::json_reader& reader, caller_request& request) {
        request.is_write = is_write;
        request.statements = read_statements(reader, "statements");
        read_deadline(reader, request);
    });
}

leaf::result<caller_request> parse_commit_request(std::string_view body) {
    return parse(body, [](state::json_reader& reader, caller_request& request) {
        read_key(reader, request);
        request.token = reader.get_string("token", "", max_token_bytes);
        read_deadline(reader, request);
    });
}

leaf::result<caller_request> parse_rollback_request(std::string_view body) {
    return parse(body, [](state::json_reader& reader, caller_request& request) {
        read_deadline(reader, request);
    });
}

}  // namespace hornbeamhook::protocol
