#include "gateway/link_request.h"

#include "gateway/caller_session.h"
#include "gateway/target_link.h"

namespace hornbeamhook::gateway {

namespace {

using coordination::close_step;
using coordination::prepare_step;
using coordination::reset_step;
using coordination::set_step;

struct step_formatter {
    const session_protocol& protocol;

    std::string operator()(const reset_step&) const { return protocol.format_reset(); }
    std::string operator()(const set_step& step) const {
        return protocol.format_set(step.name, step.value);
    }
    std::string operator()(const prepare_step& step) const {
        return protocol.format_prepare(step.name, step.definition.is_write, step.definition.shape);
    }
    std::string operator()(const close_step& step) const {
        return protocol.format_close(step.name);
    }
};

struct step_describer {
    step_description operator()(const reset_step&) const { return {"reset", {}}; }
    step_description operator()(const set_step& step) const { return {"set", step.name}; }
    step_description operator()(const prepare_step& step) const { return {"prepare", step.name}; }
    step_description operator()(const close_step& step) const { return {"close", step.name}; }
};

}  // namespace

std::string format_step(const session_protocol& protocol, const coordination::setup_step& step) {
    return std::visit(step_formatter{protocol}, step);
}

step_description describe_step(const coordination::setup_step& step) {
    return std::visit(step_describer{}, step);
}

link_request make_link_request(const session_protocol& protocol, const caller_session& session,
                               target_link& link, const caller_statement& statement,
                               const std::optional<caller_statement>& begin,
                               const std::optional<state::log_point>& required_position) {
    std::optional<coordination::statement_definition> prepared;
    if (statement.kind == statement_kind::execute) {
        prepared = *session.find_prepared(statement.name);
    }
    coordination::setup_plan plan = link.get_session_state().plan(session.get_values(), prepared);
    link_request request;
    request.setup = std::move(plan.steps);
    if (begin) {
        request.begin = protocol.format_statement(begin->id, required_position, begin->text);
    }
    if (begin && request.begin.empty()) {
        return request;
    }
    const auto statement_wait = begin ? std::nullopt : required_position;
    request.statement =
        prepared ? protocol.format_execute(statement.id, statement_wait, plan.statement_name,
                                           statement.argument)
                 : protocol.format_statement(statement.id, statement_wait, statement.text);
    return request;
}

}  // namespace hornbeamhook::gateway
