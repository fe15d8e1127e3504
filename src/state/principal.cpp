#include "state/principal.h"

#include <algorithm>

#include "state/json_reader.h"
#include "state/object_name.h"

namespace hornbeamhook::state {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t hash_hex_length = 64;

bool is_hash(const std::string& text) {
    return text.size() == hash_hex_length && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

}  // namespace

leaf::result<principal> parse_principal(const std::string& kind, const std::string& name,
                                        const nlohmann::json& value) {
    const std::string path = get_object_path(kind, name);
    json_reader reader(value, path);
    principal result;
    result.name = name;
    result.credential_hash = reader.get_string("credential_hash");
    if (!is_hash(result.credential_hash)) {
        // The value is not shown: it may be a credential that was given by mistake.
        reader.fail("credential_hash", "not a hash; allowed: 64 lower-case hex digits");
    }
    const nlohmann::json* rights = reader.get_array("rights", false);
    BOOST_LEAF_CHECK(reader.finish());
    if (rights == nullptr) {
        return result;
    }
    std::set<std::string> seen;
    for (std::size_t i = 0; i < rights->size(); ++i) {
        json_reader item((*rights)[i], path + ".rights[" + std::to_string(i) + "]");
        access_right right;
        right.pool = read_name(item, "pool", true);
        right.may_read = item.get_boolean("may_read", false);
        right.may_write = item.get_boolean("may_write", false);
        if (!seen.insert(right.pool).second) {
            item.fail("pool", "\"" + right.pool + "\" is listed twice; allowed: once");
        }
        BOOST_LEAF_CHECK(item.finish());
        result.rights.push_back(std::move(right));
    }
    return result;
}

nlohmann::json to_value(const principal& value) {
    nlohmann::json rights = nlohmann::json::array();
    for (const access_right& right : value.rights) {
        rights.push_back(
            {{"pool", right.pool}, {"may_read", right.may_read}, {"may_write", right.may_write}});
    }
    return {{"credential_hash", value.credential_hash}, {"rights", rights}};
}

leaf::result<token_key> parse_token_key(const std::string& name, const nlohmann::json& value) {
    json_reader reader(value, get_object_path("token_key", name));
    token_key key;
    key.id = name;
    key.secret = reader.get_string("secret");
    if (!is_hash(key.secret)) {
        // The value is not shown: it may be a mistyped secret.
        reader.fail("secret", "not a key; allowed: 64 lower-case hex digits");
    }
    BOOST_LEAF_CHECK(reader.finish());
    return key;
}

bool principal::is_allowed(const std::string& pool, bool is_write) const {
    return std::any_of(rights.begin(), rights.end(), [&](const access_right& right) {
        return (right.pool == "*" || right.pool == pool) &&
               (is_write ? right.may_write : right.may_read);
    });
}

}  // namespace hornbeamhook::state
