#include "standin/fault/fault_relay.h"

#include <boost/leaf.hpp>
#include <utility>

#include "standin/fault/relay_events.h"
#include "state/json_reader.h"
#include "state/state_error.h"

namespace hornbeamhook::standin::fault {

namespace leaf = boost::leaf;

namespace {

transport::http_response make_error(int status, const std::string& message) {
    return {status, nlohmann::json{{"error", message}}.dump()};
}

leaf::result<link_command> parse_body(const std::string& body) {
    BOOST_LEAF_AUTO(object, state::parse_json(body, "body"));
    return parse_link_command(object);
}

}  // namespace

fault_relay::fault_relay(const relay_settings& settings) {
    std::vector<std::vector<relay_link_settings>> shares(settings.threads);
    for (std::size_t i = 0; i < settings.links.size(); ++i) {
        shares.at(i % shares.size()).push_back(settings.links[i]);
    }
    for (const std::vector<relay_link_settings>& share : shares) {
        loops_.push_back(std::make_unique<relay_loop>(share));
    }
    transport::http_server_options options;
    options.address = settings.control_address;
    control_ = std::make_unique<transport::http_server>(
        options, [this](const transport::http_request& request,
                        const transport::http_responder& respond) { respond(handle(request)); });
}

fault_relay::~fault_relay() {
    stop();
}

void fault_relay::start() {
    for (const auto& loop : loops_) {
        loop->start();
    }
    control_->start();
}

void fault_relay::stop() {
    control_->stop();
    for (const auto& loop : loops_) {
        loop->stop();
    }
}

transport::http_response fault_relay::handle(const transport::http_request& request) {
    if (request.method == "POST" && request.path == "/control/links") {
        return apply(request.body);
    }
    if (request.method != "GET" || request.path != "/control/status") {
        return make_error(404, "no such resource: " + request.method + " " + request.path);
    }
    nlohmann::json links = nlohmann::json::array();
    for (const auto& loop : loops_) {
        for (nlohmann::json& link : loop->get_status()) {
            links.push_back(std::move(link));
        }
    }
    return {200, nlohmann::json{{"links", std::move(links)}}.dump()};
}

transport::http_response fault_relay::apply(const std::string& body) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<transport::http_response> {
            BOOST_LEAF_AUTO(command, parse_body(body));
            nlohmann::json matched = nlohmann::json::array();
            for (const auto& loop : loops_) {
                for (const std::string& name : loop->apply(command)) {
                    matched.push_back(name);
                }
            }
            if (matched.empty()) {
                return make_error(404,
                                  "no link matches " + nlohmann::json(command.patterns).dump());
            }
            transport::log_event(link_command_applied,
                                 {{"command", body}, {"links", std::to_string(matched.size())}});
            return transport::http_response{200, nlohmann::json{{"matched", matched}}.dump()};
        },
        [](const state::state_error& error) { return make_error(400, error.message); },
        [] { return make_error(500, "the command was not applied"); });
}

}  // namespace hornbeamhook::standin::fault
