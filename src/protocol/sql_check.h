#pragma once

#include <boost/leaf.hpp>
#include <string_view>

namespace hornbeamhook::protocol {

/**
 * Refuses statements that would break the guarantees of a shared connection: transaction control,
 * session settings, several statements in one text, the group's control functions; and, for reads,
 * statements that do not start as a query. Comments, strings and names are told apart as PostgreSQL
 * does; names with Unicode escapes are refused, because they could hide a reserved name. Fails with
 * caller_error (bad_request). Thread safe.
 */
boost::leaf::result<void> check_sql(std::string_view sql, bool is_write);

}  // namespace hornbeamhook::protocol
