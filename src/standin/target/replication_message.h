#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standin/target/entry_log.h"

namespace hornbeamhook::standin::target {

/** What a primary tells a peer when it begins to stream its log. */
struct stream_header {
    std::string sender;
    state::term_number term = 0;
    std::string claimant;
    state::log_position term_start = 0;
    state::log_position length = 0;
    std::vector<term_run> runs;
};

/** Messages between stand-ins are single lines of JSON over TCP. */
std::string make_hello_line(const stream_header& header);
std::string make_entries_line(state::log_position from,
                              const std::vector<std::shared_ptr<const log_entry>>& entries);
std::string make_heartbeat_line();

/** Throws nlohmann::json::exception when the message is malformed. */
stream_header parse_hello(const nlohmann::json& object);

}  // namespace hornbeamhook::standin::target
