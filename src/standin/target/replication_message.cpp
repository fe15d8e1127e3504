#include "standin/target/replication_message.h"

#include "standin/target/durable_files.h"

namespace hornbeamhook::standin::target {

std::string make_hello_line(const stream_header& header) {
    nlohmann::json runs = nlohmann::json::array();
    for (const term_run& run : header.runs) {
        runs.push_back({run.start, run.term});
    }
    return nlohmann::json{{"type", "hello"},
                          {"sender", header.sender},
                          {"term", header.term},
                          {"claimant", header.claimant},
                          {"length", header.length},
                          {"runs", runs},
                          {"term_start", header.term_start}}
               .dump() +
           "\n";
}

std::string make_entries_line(state::log_position from,
                              const std::vector<std::shared_ptr<const log_entry>>& entries) {
    std::string line = R"({"type":"entries","from":)" + std::to_string(from) + R"(,"entries":[)";
    for (std::size_t i = 0; i < entries.size(); ++i) {
        line += (i == 0 ? "" : ",") + to_line(*entries[i]);
    }
    return line + "]}\n";
}

std::string make_heartbeat_line() {
    return "{\"type\":\"heartbeat\"}\n";
}

stream_header parse_hello(const nlohmann::json& object) {
    stream_header header{.sender = object.at("sender").get<std::string>(),
                         .term = object.at("term").get<state::term_number>(),
                         .claimant = object.at("claimant").get<std::string>(),
                         .term_start = object.at("term_start").get<state::log_position>(),
                         .length = object.at("length").get<state::log_position>(),
                         .runs = {}};
    for (const nlohmann::json& run : object.at("runs")) {
        header.runs.push_back(
            {run.at(0).get<state::log_position>(), run.at(1).get<state::term_number>()});
    }
    return header;
}

}  // namespace hornbeamhook::standin::target
