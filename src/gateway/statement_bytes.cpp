#include "gateway/statement_bytes.h"

#include <algorithm>

#include "gateway/caller_session.h"
#include "gateway/target_link.h"

namespace hornbeamhook::gateway {

namespace {

/** Sets the session's values on the link, after clearing those of other sessions. */
void add_session_values(const session_protocol& protocol, const session_values& wanted,
                        target_link& link, statement_bytes& bytes) {
    const bool has_foreign_value =
        std::any_of(link.values.begin(), link.values.end(),
                    [&](const auto& entry) { return !wanted.contains(entry.first); });
    if (has_foreign_value) {
        bytes.initial += protocol.format_reset();
        bytes.setup.push_back({"reset", {}});
        link.values.clear();
        link.prepared.clear();
    }
    for (const auto& [name, value] : wanted) {
        const auto held = link.values.find(name);
        if (held == link.values.end() || held->second != value) {
            bytes.initial += protocol.format_set(name, value);
            bytes.setup.push_back({"set", name});
            link.values[name] = value;
        }
    }
}

/** Prepares the statement to execute unless the link holds it; returns its name on the link. */
std::string add_prepared(const session_protocol& protocol, const prepared_statement& prepared,
                         target_link& link, statement_bytes& bytes) {
    const auto held = link.prepared.find(prepared);
    if (held != link.prepared.end()) {
        return held->second;
    }
    std::string name = link.take_statement_name();
    link.prepared.emplace(prepared, name);
    bytes.initial += protocol.format_prepare(name, prepared.is_write, prepared.shape);
    bytes.setup.push_back({"prepare", name});
    return name;
}

}  // namespace

statement_bytes format_for_link(const session_protocol& protocol, const caller_session& session,
                                target_link& link, const caller_statement& statement,
                                const std::optional<caller_statement>& begin,
                                const std::optional<state::log_point>& required_position) {
    statement_bytes bytes;
    add_session_values(protocol, session.get_values(), link, bytes);
    const auto statement_wait = begin ? std::nullopt : required_position;
    std::string main_bytes;
    if (statement.kind == statement_kind::execute) {
        const std::string name =
            add_prepared(protocol, *session.find_prepared(statement.name), link, bytes);
        main_bytes =
            protocol.format_execute(statement.id, statement_wait, name, statement.argument);
    } else {
        main_bytes = protocol.format_statement(statement.id, statement_wait, statement.text);
    }
    if (!begin) {
        bytes.initial += main_bytes;
        return bytes;
    }
    bytes.initial += protocol.format_statement(begin->id, required_position, begin->text);
    if (link.is_relayed()) {
        // The home itself delays the first statement until BEGIN has succeeded.
        bytes.setup.push_back({"begin", {}});
        bytes.initial += main_bytes;
    } else {
        bytes.after_begin = main_bytes;
    }
    return bytes;
}

}  // namespace hornbeamhook::gateway
