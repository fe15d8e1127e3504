#include "state/pool_description.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

#include "state/json_reader.h"
#include "state/object_name.h"

namespace hornbeamhook::state {

namespace leaf = boost::leaf;

namespace {

constexpr std::int64_t max_connections = 10'000;
constexpr std::int64_t max_slots = 1'000;
constexpr std::int64_t max_queue_length = 100'000;
constexpr std::int64_t max_deadline_ms = 600'000;
constexpr std::int64_t max_age_limit_ms = 86'400'000;

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

}  // namespace

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

const target_description* pool_description::find_target(const std::string& target) const {
    const auto it =
        std::find_if(targets.begin(), targets.end(),
                     [&](const target_description& item) { return item.name == target; });
    return it == targets.end() ? nullptr : &*it;
}

}  // namespace hornbeamhook::state
