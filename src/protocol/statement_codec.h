#pragma once

#include <boost/leaf.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "state/json_reader.h"
#include "transport/target_connection.h"

namespace hornbeamhook::protocol {

/** Reads `[{"sql","parameters"}]` under `field`; errors are kept by `reader`. */
std::vector<transport::target_statement> read_statements(state::json_reader& reader,
                                                         const char* field);

/** The inverse of read_statements(). */
nlohmann::json to_json(const std::vector<transport::target_statement>& statements);

/** `[{"columns","rows","affected"}]`. Bytes that are not UTF-8 are replaced. */
nlohmann::json to_json(const std::vector<transport::target_result>& results);

/** The inverse of to_json() of results. Fails with state_error. */
boost::leaf::result<std::vector<transport::target_result>> parse_results(
    const nlohmann::json& array);

}  // namespace hornbeamhook::protocol
