#include "standin/target/target_server.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "standin/target/connection_acceptor.h"
#include "standin/target/event_catalogue.h"
#include "standin/target/replication_receiver.h"
#include "standin/target/replication_sender.h"
#include "standin/target/target_context.h"
#include "standin/target/wire_session.h"
#include "state/json_reader.h"
#include "transport/http_server.h"

namespace hornbeamhook::standin::target {

namespace leaf = boost::leaf;

using transport::http_request;
using transport::http_response;

struct target_server::implementation {
    explicit implementation(target_settings settings) : context(std::move(settings)) {}

    target_context context;
    std::unique_ptr<connection_acceptor> sessions;
    std::unique_ptr<connection_acceptor> streams;
    std::vector<std::unique_ptr<replication_sender>> senders;
    std::unique_ptr<transport::http_server> control;

    void serve_session(const std::shared_ptr<session_control>& control_block);
    leaf::result<http_response> change_faults(const std::string& body);
    void silence_sessions(session_control::silence mode);
    nlohmann::json describe() const;
};

namespace {

http_response make_error(int status, const std::string& message) {
    return {.status = status, .body = nlohmann::json{{"error", message}}.dump()};
}

}  // namespace

void target_server::implementation::serve_session(
    const std::shared_ptr<session_control>& control_block) {
    target_counters& counters = context.counters;
    const int open = ++counters.connections_open;
    const bool is_over_limit = open > context.settings.connection_limit;
    if (is_over_limit) {
        ++counters.connections_refused;
    } else {
        raise_peak(counters.connections_peak, open);
        ++counters.connections_accepted;
    }
    wire_session(context, control_block, is_over_limit).run();
    --counters.connections_open;
}

void target_server::implementation::silence_sessions(session_control::silence mode) {
    for (const std::shared_ptr<session_control>& session : context.member.get_sessions()) {
        session->silence_mode = mode;
    }
}

leaf::result<http_response> target_server::implementation::change_faults(const std::string& body) {
    BOOST_LEAF_AUTO(object, state::parse_json(body, "faults"));
    state::json_reader reader(object, "");
    // Silence is an action on the connections that exist now, not a lasting state.
    const std::string silence =
        reader.get_choice("silence_connections", {"none", "discard", "execute"}, "none");
    nlohmann::json rest = object;
    if (rest.is_object()) {
        rest.erase("silence_connections");
    }
    BOOST_LEAF_AUTO(faults, parse_faults(rest, context.faults.get()));
    if (object.contains("silence_connections") && silence == "none" &&
        object["silence_connections"] != "none") {
        return reader.finish().error();
    }
    context.faults.set(faults);
    if (sessions) {
        sessions->set_refusing(faults.refuse_connections);
    }
    if (silence != "none") {
        silence_sessions(silence == "discard" ? session_control::silence::discard
                                              : session_control::silence::execute);
    }
    context.member.wake();
    transport::log_event(event_faults_changed, {{"target", context.settings.name},
                                                {"faults", to_json(faults).dump()},
                                                {"silence", silence}});
    return http_response{.body = to_json(faults).dump()};
}

nlohmann::json target_server::implementation::describe() const {
    const target_counters& counters = context.counters;
    nlohmann::json connections = nlohmann::json::array();
    for (const std::shared_ptr<session_control>& session : context.member.get_sessions()) {
        connections.push_back(
            {{"id", session->id},
             {"statements_received", session->statements_received.load()},
             {"is_writing", session->is_writing.load()},
             {"is_silent", session->silence_mode != session_control::silence::none}});
    }
    return {{"name", context.settings.name},
            {"status", state::to_json(context.member.get_status())},
            {"faults", to_json(context.faults.get())},
            {"statements_executed", counters.statements_executed.load()},
            {"statements_received", counters.statements_received.load()},
            {"statements_running_peak", counters.statements_running_peak.load()},
            {"commits", counters.commits.load()},
            {"streams_refused", counters.streams_refused.load()},
            {"heartbeats_sent", counters.heartbeats_sent.load()},
            {"sender_rounds", counters.sender_rounds.load()},
            {"connections_open", counters.connections_open.load()},
            {"connections_peak", counters.connections_peak.load()},
            {"connections_accepted", counters.connections_accepted.load()},
            {"connections_refused", counters.connections_refused.load()},
            {"connections", std::move(connections)}};
}

target_server::target_server(target_settings settings)
    : implementation_(std::make_unique<implementation>(std::move(settings))) {}

target_server::~target_server() {
    stop();
}

void target_server::start() {
    implementation& self = *implementation_;
    target_context& context = self.context;
    self.sessions = std::make_unique<connection_acceptor>(
        context.settings.listen_address,
        [&self](const std::shared_ptr<session_control>& control) { self.serve_session(control); });
    self.streams = std::make_unique<connection_acceptor>(
        context.settings.replication_address, [&context](std::shared_ptr<session_control> control) {
            replication_receiver(context, std::move(control)).run();
        });
    for (const auto& [peer, address] : context.settings.peers) {
        self.senders.push_back(std::make_unique<replication_sender>(context, peer, address));
    }
    if (!context.settings.control_address.empty()) {
        self.control = std::make_unique<transport::http_server>(
            transport::http_server_options{.address = context.settings.control_address,
                                           .threads = 1},
            [this](const http_request& request, const transport::http_responder& respond) {
                respond(handle_control(request));
            });
        self.control->start();
    }
    transport::log_event(event_started, {{"target", context.settings.name},
                                         {"address", context.settings.listen_address}});
}

void target_server::stop() {
    implementation& self = *implementation_;
    if (self.control) {
        self.control->stop();
        self.control.reset();
    }
    self.senders.clear();
    // A receiver may wait for the place of a writer whose connection is still open.
    self.context.member.kill_sessions();
    if (self.sessions) {
        self.sessions->stop();
    }
    if (self.streams) {
        self.streams->stop();
    }
}

http_response target_server::handle_control(const http_request& request) {
    if (request.method == "GET" && request.path == "/control/status") {
        return {.body = implementation_->describe().dump()};
    }
    if (request.method == "POST" && request.path == "/control/faults") {
        return leaf::try_handle_all(
            [&] { return implementation_->change_faults(request.body); },
            [](const state::state_error& error) { return make_error(400, error.message); },
            [] { return make_error(500, "internal error"); });
    }
    return make_error(404, "no such resource");
}

}  // namespace hornbeamhook::standin::target
