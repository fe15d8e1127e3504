#include "state/configuration.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "state/json_reader.h"
#include "state/object_name.h"

namespace hornbeamhook::state {

namespace leaf = boost::leaf;

namespace {

constexpr std::int64_t max_counter = std::numeric_limits<std::int64_t>::max();

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

leaf::result<void> apply_principal(principal_table& principals, const configuration_put& put) {
    BOOST_LEAF_AUTO(value, parse_principal(put.kind, put.name, put.value));
    const principal* owner = principals.find_by_hash(value.credential_hash);
    if (owner != nullptr && owner->name != put.name) {
        const std::string field = get_object_path(put.kind, put.name) + ".credential_hash";
        return leaf::new_error(state_error{field, field + ": already used by \"" + owner->name +
                                                      "\"; allowed: a hash that no other " +
                                                      put.kind + " has"});
    }
    principals.put(std::move(value));
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
        return result.callers.erase(removed.name);
    }
    if (removed.kind == "operator") {
        return result.operators.erase(removed.name);
    }
    return result.token_keys.erase(removed.name) > 0;
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

const pool_description* configuration::find_pool(const std::string& pool) const {
    const auto it = pools.find(pool);
    return it == pools.end() ? nullptr : &it->second;
}

const principal* configuration::find_caller(const std::string& credential_hash) const {
    return callers.find_by_hash(credential_hash);
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
    for (const auto& [name, caller] : value.callers.get_all()) {
        add_object(objects, value, "caller", name, to_value(caller));
    }
    for (const auto& [name, person] : value.operators.get_all()) {
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
        put.kind = item.get_choice("kind", object_kinds);
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
