#include "state/configuration.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <set>

#include "state/json_reader.h"

namespace hornbeamhook::state {

namespace {

constexpr std::int64_t max_counter = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t max_name_length = 64;
constexpr std::size_t hash_hex_length = 64;
constexpr std::int64_t max_connections = 10'000;
constexpr std::int64_t max_slots = 1'000;
constexpr std::int64_t max_queue_length = 100'000;
constexpr std::int64_t max_deadline_ms = 600'000;
constexpr std::int64_t max_age_limit_ms = 86'400'000;
constexpr std::size_t max_objects_per_change = 1'000;

const std::set<std::string> kinds{"pool", "target", "caller", "operator", "token_key"};

bool is_name(const std::string& text) {
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                      c == '_' || c == '-' || c == '.';
           });
}

bool is_hash(const std::string& text) {
    return text.size() == hash_hex_length && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

bool is_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    in_addr ip{};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &ip) != 1) {
        return false;
    }
    int port = 0;
    const char* end = text.data() + text.size();
    const auto [stopped, error] = std::from_chars(text.data() + colon + 1, end, port);
    return error == std::errc() && stopped == end && port > 0 && port < 65536;
}

/** Splits "pool/target"; both parts are empty when the name is not of that form. */
std::pair<std::string, std::string> split_target_name(const std::string& name) {
    const std::size_t slash = name.find('/');
    if (slash == std::string::npos) {
        return {};
    }
    return {name.substr(0, slash), name.substr(slash + 1)};
}

leaf::result<void> check_object_name(const std::string& kind, const std::string& name) {
    const std::string allowed_characters =
        "1 to 64 characters from letters, digits, \"_\", \"-\" and \".\"";
    if (!kinds.contains(kind)) {
        return leaf::new_error(state_error{
            "kind", "kind: \"" + kind +
                        "\" is not allowed; allowed: caller, operator, pool, target, token_key"});
    }
    if (kind == "target") {
        const auto [pool, target] = split_target_name(name);
        if (!is_name(pool) || !is_name(target)) {
            return leaf::new_error(state_error{
                "name", "name: \"" + name + "\" is not allowed; allowed: \"pool/target\", each " +
                            allowed_characters});
        }
        return {};
    }
    if (!is_name(name)) {
        return leaf::new_error(state_error{
            "name", "name: \"" + name + "\" is not allowed; allowed: " + allowed_characters});
    }
    return {};
}

std::string read_name(json_reader& reader, const char* field, bool allow_star = false) {
    std::string name = reader.get_string(field);
    if (!is_name(name) && !(allow_star && name == "*")) {
        reader.fail(field, "\"" + name + "\" is not allowed; allowed: 1 to 64 characters from " +
                               "letters, digits, \"_\", \"-\" and \".\"");
    }
    return name;
}

leaf::result<read_policy> parse_read_policy(const nlohmann::json& object, const std::string& path) {
    json_reader reader(object, path);
    read_policy policy;
    const bool is_own = reader.has("own_writes") && reader.get_boolean("own_writes");
    const bool is_strict = reader.has("strict") && reader.get_boolean("strict");
    const bool is_aged = reader.has("max_age_ms");
    if (static_cast<int>(is_own) + static_cast<int>(is_strict) + static_cast<int>(is_aged) != 1) {
        reader.fail("own_writes",
                    "exactly one policy is allowed: {\"own_writes\":true}, "
                    "{\"max_age_ms\":N} or {\"strict\":true}");
    }
    if (is_strict) {
        policy.policy = read_policy::kind::strict;
    }
    if (is_aged) {
        policy.policy = read_policy::kind::max_age;
        policy.max_age =
            std::chrono::milliseconds(reader.get_integer("max_age_ms", 0, max_age_limit_ms));
    }
    BOOST_LEAF_CHECK(reader.finish());
    return policy;
}

nlohmann::json to_json(const read_policy& policy) {
    switch (policy.policy) {
        case read_policy::kind::strict:
            return {{"strict", true}};
        case read_policy::kind::max_age:
            return {{"max_age_ms", policy.max_age.count()}};
        case read_policy::kind::own_writes:
            break;
    }
    return {{"own_writes", true}};
}

std::string get_object_path(const std::string& kind, const std::string& name) {
    return kind + " " + name;
}

leaf::result<pool_description> parse_pool(const std::string& name, const nlohmann::json& value) {
    const std::string path = get_object_path("pool", name);
    json_reader reader(value, path);
    pool_description pool;
    pool.name = name;
    pool.queue_length = static_cast<int>(
        reader.get_integer("queue_length", 1, max_queue_length, pool.queue_length));
    pool.default_deadline = std::chrono::milliseconds(reader.get_integer(
        "default_deadline_ms", 1, max_deadline_ms, pool.default_deadline.count()));
    const nlohmann::json* policy = reader.get_object("default_read_policy", false);
    BOOST_LEAF_CHECK(reader.finish());
    if (policy != nullptr) {
        BOOST_LEAF_ASSIGN(pool.default_read_policy,
                          parse_read_policy(*policy, path + ".default_read_policy"));
    }
    return pool;
}

nlohmann::json to_value(const pool_description& pool) {
    return {{"queue_length", pool.queue_length},
            {"default_deadline_ms", pool.default_deadline.count()},
            {"default_read_policy", to_json(pool.default_read_policy)}};
}

leaf::result<target_description> parse_target(const std::string& name,
                                              const nlohmann::json& value) {
    json_reader reader(value, get_object_path("target", name));
    target_description target;
    target.name = split_target_name(name).second;
    target.address = reader.get_string("address");
    if (!is_address(target.address)) {
        reader.fail("address", "\"" + target.address +
                                   "\" is not allowed; allowed: \"ip:port\" with an IPv4 address");
    }
    target.place = read_name(reader, "place");
    target.data_center = read_name(reader, "data_center");
    target.connection_limit = static_cast<int>(
        reader.get_integer("connection_limit", 1, max_connections, target.connection_limit));
    target.slots = static_cast<int>(reader.get_integer("slots", 1, max_slots, target.slots));
    target.is_leaving = reader.get_boolean("is_leaving", false);
    BOOST_LEAF_CHECK(reader.finish());
    return target;
}

nlohmann::json to_value(const target_description& target) {
    return {{"address", target.address},
            {"place", target.place},
            {"data_center", target.data_center},
            {"connection_limit", target.connection_limit},
            {"slots", target.slots},
            {"is_leaving", target.is_leaving}};
}

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

leaf::result<void> check_put(const configuration_put& put) {
    BOOST_LEAF_CHECK(check_object_name(put.kind, put.name));
    if (put.kind == "pool") {
        BOOST_LEAF_CHECK(parse_pool(put.name, put.value));
    } else if (put.kind == "target") {
        BOOST_LEAF_CHECK(parse_target(put.name, put.value));
    } else if (put.kind == "token_key") {
        BOOST_LEAF_CHECK(parse_token_key(put.name, put.value));
    } else {
        BOOST_LEAF_CHECK(parse_principal(put.kind, put.name, put.value));
    }
    return {};
}

std::string get_object_key(const std::string& kind, const std::string& name) {
    return kind + "/" + name;
}

leaf::result<void> apply_target(configuration& result, const configuration_put& put) {
    BOOST_LEAF_AUTO(target, parse_target(put.name, put.value));
    const std::string pool_name = split_target_name(put.name).first;
    const auto pool = result.pools.find(pool_name);
    if (pool == result.pools.end()) {
        return leaf::new_error(state_error{get_object_path("target", put.name),
                                           get_object_path("target", put.name) + ": pool \"" +
                                               pool_name +
                                               "\" does not exist; allowed: the name of a pool"});
    }
    std::vector<target_description>& targets = pool->second.targets;
    const auto place = std::lower_bound(
        targets.begin(), targets.end(), target.name,
        [](const target_description& item, const std::string& name) { return item.name < name; });
    if (place != targets.end() && place->name == target.name) {
        *place = std::move(target);
    } else {
        targets.insert(place, std::move(target));
    }
    return {};
}

leaf::result<void> apply_principal(std::map<std::string, principal>& principals,
                                   const configuration_put& put) {
    BOOST_LEAF_AUTO(value, parse_principal(put.kind, put.name, put.value));
    for (const auto& [name, other] : principals) {
        if (name != put.name && other.credential_hash == value.credential_hash) {
            return leaf::new_error(state_error{
                get_object_path(put.kind, put.name) + ".credential_hash",
                get_object_path(put.kind, put.name) + ".credential_hash: already used by \"" +
                    name + "\"; allowed: a hash that no other " + put.kind + " has"});
        }
    }
    principals[put.name] = std::move(value);
    return {};
}

leaf::result<void> apply_put(configuration& result, const configuration_put& put) {
    BOOST_LEAF_CHECK(check_object_name(put.kind, put.name));
    if (put.kind == "pool") {
        BOOST_LEAF_AUTO(pool, parse_pool(put.name, put.value));
        pool.targets = std::move(result.pools[put.name].targets);
        result.pools[put.name] = std::move(pool);
    } else if (put.kind == "target") {
        BOOST_LEAF_CHECK(apply_target(result, put));
    } else if (put.kind == "token_key") {
        BOOST_LEAF_AUTO(key, parse_token_key(put.name, put.value));
        result.token_keys[put.name] = std::move(key);
    } else {
        BOOST_LEAF_CHECK(
            apply_principal(put.kind == "caller" ? result.callers : result.operators, put));
    }
    return {};
}

/** Removes one object; returns false when it does not exist. */
bool remove_object(configuration& result, const configuration_delete& removed) {
    if (removed.kind == "pool") {
        const auto pool = result.pools.find(removed.name);
        if (pool == result.pools.end()) {
            return false;
        }
        for (const target_description& target : pool->second.targets) {
            result.object_versions.erase(
                get_object_key("target", removed.name + "/" + target.name));
        }
        result.pools.erase(pool);
        return true;
    }
    if (removed.kind == "target") {
        const auto [pool_name, target_name] = split_target_name(removed.name);
        const auto pool = result.pools.find(pool_name);
        return pool != result.pools.end() &&
               std::erase_if(pool->second.targets,
                             [&name = target_name](const target_description& target) {
                                 return target.name == name;
                             }) > 0;
    }
    if (removed.kind == "caller") {
        return result.callers.erase(removed.name) > 0;
    }
    if (removed.kind == "operator") {
        return result.operators.erase(removed.name) > 0;
    }
    return result.token_keys.erase(removed.name) > 0;
}

leaf::result<std::vector<configuration_put>> parse_puts(const nlohmann::json& items) {
    std::vector<configuration_put> puts;
    for (std::size_t i = 0; i < items.size(); ++i) {
        json_reader reader(items[i], "change.puts[" + std::to_string(i) + "]");
        configuration_put put;
        put.kind = reader.get_choice("kind", kinds);
        put.name = reader.get_string("name");
        if (const nlohmann::json* value = reader.get_object("value")) {
            put.value = *value;
        }
        BOOST_LEAF_CHECK(reader.finish());
        BOOST_LEAF_CHECK(check_put(put));
        puts.push_back(std::move(put));
    }
    return puts;
}

leaf::result<std::vector<configuration_delete>> parse_deletes(const nlohmann::json& items) {
    std::vector<configuration_delete> deletes;
    for (std::size_t i = 0; i < items.size(); ++i) {
        json_reader reader(items[i], "change.deletes[" + std::to_string(i) + "]");
        configuration_delete removed;
        removed.kind = reader.get_choice("kind", kinds);
        removed.name = reader.get_string("name");
        BOOST_LEAF_CHECK(reader.finish());
        BOOST_LEAF_CHECK(check_object_name(removed.kind, removed.name));
        deletes.push_back(std::move(removed));
    }
    return deletes;
}

void add_object(nlohmann::json& objects, const configuration& value, const std::string& kind,
                const std::string& name, nlohmann::json body) {
    const auto version = value.object_versions.find(get_object_key(kind, name));
    objects.push_back({{"kind", kind},
                       {"name", name},
                       {"value", std::move(body)},
                       {"version", version == value.object_versions.end() ? 0 : version->second}});
}

}  // namespace

const target_description* pool_description::find_target(const std::string& target) const {
    const auto it =
        std::find_if(targets.begin(), targets.end(),
                     [&](const target_description& item) { return item.name == target; });
    return it == targets.end() ? nullptr : &*it;
}

bool principal::is_allowed(const std::string& pool, bool is_write) const {
    return std::any_of(rights.begin(), rights.end(), [&](const access_right& right) {
        return (right.pool == "*" || right.pool == pool) &&
               (is_write ? right.may_write : right.may_read);
    });
}

const pool_description* configuration::find_pool(const std::string& pool) const {
    const auto it = pools.find(pool);
    return it == pools.end() ? nullptr : &it->second;
}

const principal* configuration::find_caller(const std::string& credential_hash) const {
    for (const auto& [name, caller] : callers) {
        if (caller.credential_hash == credential_hash) {
            return &caller;
        }
    }
    return nullptr;
}

leaf::result<configuration_change> parse_configuration_change(const nlohmann::json& object) {
    json_reader reader(object, "change");
    configuration_change change;
    change.version = reader.get_integer("version", 1, max_counter);
    change.change_id = reader.get_string("change_id", {}, max_name_length * 2);
    change.author = reader.get_string("author", {}, max_name_length * 2);
    change.at_ms = reader.get_integer("at_ms", 0, max_counter);
    const nlohmann::json* puts = reader.get_array("puts", false);
    const nlohmann::json* deletes = reader.get_array("deletes", false);
    if (change.change_id.empty()) {
        reader.fail("change_id", "\"\" is not allowed; allowed: a string that is not empty");
    }
    const std::size_t count =
        (puts == nullptr ? 0 : puts->size()) + (deletes == nullptr ? 0 : deletes->size());
    if (count > max_objects_per_change) {
        reader.fail("puts", std::to_string(count) + " objects are not allowed; allowed: at most " +
                                std::to_string(max_objects_per_change));
    }
    BOOST_LEAF_CHECK(reader.finish());
    if (puts != nullptr) {
        BOOST_LEAF_ASSIGN(change.puts, parse_puts(*puts));
    }
    if (deletes != nullptr) {
        BOOST_LEAF_ASSIGN(change.deletes, parse_deletes(*deletes));
    }
    return change;
}

nlohmann::json to_json(const configuration_change& change) {
    nlohmann::json puts = nlohmann::json::array();
    for (const configuration_put& put : change.puts) {
        puts.push_back({{"kind", put.kind}, {"name", put.name}, {"value", put.value}});
    }
    nlohmann::json deletes = nlohmann::json::array();
    for (const configuration_delete& removed : change.deletes) {
        deletes.push_back({{"kind", removed.kind}, {"name", removed.name}});
    }
    return {{"version", change.version}, {"change_id", change.change_id},
            {"author", change.author},   {"at_ms", change.at_ms},
            {"puts", std::move(puts)},   {"deletes", std::move(deletes)}};
}

leaf::result<configuration> apply_change(const configuration& base,
                                         const configuration_change& change) {
    if (change.version != base.version + 1) {
        return leaf::new_error(state_error{
            "change.version", "change.version: " + std::to_string(change.version) +
                                  " is not allowed; allowed: " + std::to_string(base.version + 1)});
    }
    configuration result = base;
    for (const configuration_delete& removed : change.deletes) {
        BOOST_LEAF_CHECK(check_object_name(removed.kind, removed.name));
        if (!remove_object(result, removed)) {
            return leaf::new_error(state_error{
                get_object_path(removed.kind, removed.name),
                get_object_path(removed.kind, removed.name) +
                    ": does not exist; allowed: the name of an existing " + removed.kind});
        }
        result.object_versions.erase(get_object_key(removed.kind, removed.name));
    }
    for (const configuration_put& put : change.puts) {
        BOOST_LEAF_CHECK(apply_put(result, put));
        result.object_versions[get_object_key(put.kind, put.name)] = change.version;
    }
    result.version = change.version;
    return result;
}

nlohmann::json to_json(const configuration& value) {
    nlohmann::json objects = nlohmann::json::array();
    for (const auto& [name, pool] : value.pools) {
        add_object(objects, value, "pool", name, to_value(pool));
        for (const target_description& target : pool.targets) {
            add_object(objects, value, "target", name + "/" + target.name, to_value(target));
        }
    }
    for (const auto& [name, caller] : value.callers) {
        add_object(objects, value, "caller", name, to_value(caller));
    }
    for (const auto& [name, person] : value.operators) {
        add_object(objects, value, "operator", name, to_value(person));
    }
    for (const auto& [name, key] : value.token_keys) {
        add_object(objects, value, "token_key", name, {{"secret", key.secret}});
    }
    return {{"version", value.version}, {"objects", std::move(objects)}};
}

leaf::result<configuration> parse_configuration(const nlohmann::json& object) {
    json_reader reader(object, "configuration");
    configuration result;
    result.version = reader.get_integer("version", 0, max_counter);
    const nlohmann::json* objects = reader.get_array("objects");
    BOOST_LEAF_CHECK(reader.finish());
    for (std::size_t i = 0; i < objects->size(); ++i) {
        json_reader item((*objects)[i], "configuration.objects[" + std::to_string(i) + "]");
        configuration_put put;
        put.kind = item.get_choice("kind", kinds);
        put.name = item.get_string("name");
        const std::uint64_t version =
            item.get_integer("version", 0, static_cast<std::int64_t>(result.version));
        if (const nlohmann::json* value = item.get_object("value")) {
            put.value = *value;
        }
        BOOST_LEAF_CHECK(item.finish());
        BOOST_LEAF_CHECK(apply_put(result, put));
        if (version > 0) {
            result.object_versions[get_object_key(put.kind, put.name)] = version;
        }
    }
    return result;
}

}  // namespace hornbeamhook::state
