#include "protocol/target_calls.h"

#include <limits>

#include "state/json_reader.h"

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;

namespace {

using transport::target_connection;
using transport::target_result;
using transport::target_statement;

leaf::result<nlohmann::json> parse_cell(const target_result& result, const char* what) {
    if (result.rows.size() != 1 || result.rows[0].empty() || !result.rows[0].back()) {
        return leaf::new_error(state::state_error{
            what, std::string(what) + ": the answer is not one row with a non-null last cell"});
    }
    return state::parse_json(*result.rows[0].back(), what);
}

leaf::result<state::target_status> call_for_status(target_connection& connection,
                                                   const target_statement& statement,
                                                   state::time_point deadline) {
    BOOST_LEAF_AUTO(results, connection.run({statement}, deadline));
    return parse_status_result(results.front());
}

}  // namespace

target_statement make_idle_limit_statement(std::chrono::milliseconds limit) {
    return {"SET LOCAL idle_in_transaction_session_timeout = " + std::to_string(limit.count()), {}};
}

target_statement make_reset_statement() {
    return {"DISCARD ALL", {}};
}

target_statement make_status_statement() {
    return {"SELECT hornbeamhook_status()", {}};
}

target_statement make_last_commit_statement() {
    return {"SELECT hornbeamhook_last_commit()", {}};
}

leaf::result<state::target_status> parse_status_result(const target_result& result) {
    BOOST_LEAF_AUTO(object, parse_cell(result, "status"));
    return state::parse_target_status(object);
}

leaf::result<state::log_point> parse_commit_result(const target_result& result) {
    constexpr std::int64_t max_counter = std::numeric_limits<std::int64_t>::max();
    BOOST_LEAF_AUTO(object, parse_cell(result, "last_commit"));
    state::json_reader reader(object, "last_commit");
    state::log_point point;
    point.term = static_cast<state::term_number>(reader.get_integer("term", 0, max_counter));
    point.position =
        static_cast<state::log_position>(reader.get_integer("position", 0, max_counter));
    BOOST_LEAF_CHECK(reader.finish());
    return point;
}

leaf::result<state::target_status> read_status(target_connection& connection,
                                               state::time_point deadline) {
    return call_for_status(connection, make_status_statement(), deadline);
}

leaf::result<state::target_status> fence(target_connection& connection, state::term_number term,
                                         const std::string& claimant, state::time_point deadline) {
    return call_for_status(connection,
                           {"SELECT hornbeamhook_fence($1, $2)", {std::to_string(term), claimant}},
                           deadline);
}

leaf::result<state::target_status> promote(target_connection& connection, state::term_number term,
                                           const std::string& claimant,
                                           state::time_point deadline) {
    return call_for_status(
        connection, {"SELECT hornbeamhook_promote($1, $2)", {std::to_string(term), claimant}},
        deadline);
}

}  // namespace hornbeamhook::protocol
