#pragma once

#include <boost/leaf.hpp>
#include <string_view>

namespace hornbeamhook::protocol {

/**
 * Refuses statements that would break the guarantees of a shared connection: transaction control,
 * session settings, several statements in one text, the group's control functions; and, for reads,
 * statements that do not start as a query. Fails with caller_error (bad_request).
 */
boost::leaf::result<void> check_sql(std::string_view sql, bool is_write);

}  // namespace hornbeamhook::protocol
