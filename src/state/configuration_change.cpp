#include "state/configuration_change.h"

#include <limits>
#include <utility>

#include "state/json_reader.h"
#include "state/object_name.h"
#include "state/pool_description.h"
#include "state/principal.h"

namespace hornbeamhook::state {

namespace leaf = boost::leaf;

namespace {

constexpr std::int64_t max_counter = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t max_id_length = 128;
constexpr std::size_t max_objects_per_change = 1'000;

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

leaf::result<std::vector<configuration_put>> parse_puts(const nlohmann::json& items) {
    std::vector<configuration_put> puts;
    for (std::size_t i = 0; i < items.size(); ++i) {
        json_reader reader(items[i], "change.puts[" + std::to_string(i) + "]");
        configuration_put put;
        put.kind = reader.get_choice("kind", object_kinds);
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
        removed.kind = reader.get_choice("kind", object_kinds);
        removed.name = reader.get_string("name");
        BOOST_LEAF_CHECK(reader.finish());
        BOOST_LEAF_CHECK(check_object_name(removed.kind, removed.name));
        deletes.push_back(std::move(removed));
    }
    return deletes;
}

}  // namespace

leaf::result<configuration_change> parse_configuration_change(const nlohmann::json& object) {
    json_reader reader(object, "change");
    configuration_change change;
    change.version = reader.get_integer("version", 1, max_counter);
    change.change_id = reader.get_string("change_id", {}, max_id_length);
    change.author = reader.get_string("author", {}, max_id_length);
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

}  // namespace hornbeamhook::state
