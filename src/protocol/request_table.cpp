#include "protocol/request_table.h"

#include "protocol/statement_codec.h"
#include "state/json_reader.h"

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;

namespace {
constexpr const char* prevented_commit = "prevented";
}  // namespace

bool stored_request::is_prevented_commit() const {
    return result == prevented_commit;
}

transport::target_statement make_create_request_table() {
    return {
        "CREATE TABLE IF NOT EXISTS hornbeamhook_request (caller TEXT NOT NULL, key TEXT NOT NULL, "
        "digest TEXT NOT NULL, result TEXT, created_ms BIGINT NOT NULL, PRIMARY KEY (caller, key))",
        {}};
}

transport::target_statement make_insert_request(const std::string& caller, const std::string& key,
                                                const std::string& digest, std::int64_t now_ms) {
    return {
        "INSERT INTO hornbeamhook_request (caller, key, digest, created_ms) "
        "VALUES ($1, $2, $3, $4)",
        {caller, key, digest, std::to_string(now_ms)}};
}

transport::target_statement make_update_request(
    const std::string& caller, const std::string& key,
    const std::vector<transport::target_result>& results) {
    return {"UPDATE hornbeamhook_request SET result = $1 WHERE caller = $2 AND key = $3",
            {to_json(results).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
             caller, key}};
}

transport::target_statement make_prevent_commit(const std::string& caller, const std::string& key) {
    return {"UPDATE hornbeamhook_request SET result = $1 WHERE caller = $2 AND key = $3",
            {prevented_commit, caller, key}};
}

transport::target_statement make_select_request(const std::string& caller, const std::string& key) {
    return {"SELECT digest, result FROM hornbeamhook_request WHERE caller = $1 AND key = $2",
            {caller, key}};
}

transport::target_statement make_prune_requests(std::int64_t before_ms) {
    return {"DELETE FROM hornbeamhook_request WHERE created_ms < $1", {std::to_string(before_ms)}};
}

std::optional<stored_request> parse_stored_request(const transport::target_result& result) {
    if (result.rows.size() != 1 || result.rows[0].size() != 2 || !result.rows[0][0]) {
        return std::nullopt;
    }
    return stored_request{*result.rows[0][0], result.rows[0][1].value_or("[]")};
}

leaf::result<std::vector<transport::target_result>> parse_stored_results(
    const stored_request& stored) {
    BOOST_LEAF_AUTO(array, state::parse_json(stored.result, "stored result"));
    return parse_results(array);
}

}  // namespace hornbeamhook::protocol
