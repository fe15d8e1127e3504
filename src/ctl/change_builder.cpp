#include "ctl/change_builder.h"

#include <map>

#include "ctl/credential.h"
#include "ctl/json_text.h"
#include "state/state_error.h"

namespace hornbeamhook::ctl {

namespace leaf = boost::leaf;
using nlohmann::json;
using state::configuration;

namespace {

constexpr const char* hidden = "(hidden)";

const std::map<std::string, std::vector<std::string>>& get_fields() {
    static const std::map<std::string, std::vector<std::string>> fields{
        {"pool", {"queue_length", "default_deadline_ms", "default_read_policy", "max_age_ms"}},
        {"target", {"address", "place", "data_center", "connection_limit", "slots", "is_leaving"}},
        {"caller", {"read", "write", "credential", "credential_hash"}},
        {"operator", {"read", "write", "credential", "credential_hash"}},
        {"token_key", {}}};
    return fields;
}

leaf::error_id fail(const std::string& message, input_position at = {},
                    command_failure failure = command_failure::rejected) {
    return leaf::new_error(command_error{failure, message, at});
}

std::string get_label(const std::string& kind, const std::string& name) {
    return kind + " " + name;
}

leaf::error_id fail_field(const std::string& kind, const assignment& item,
                          const std::string& allowed) {
    return fail(kind + "." + item.field + ": " + to_text(item.value) +
                    " is not allowed; allowed: " + allowed,
                item.at);
}

leaf::result<void> check_field(const std::string& kind, const assignment& item) {
    std::string list;
    for (const std::string& field : get_fields().at(kind)) {
        if (field == item.field) {
            return {};
        }
        list += (list.empty() ? "" : ", ") + field;
    }
    return fail("\"" + item.field + "\" is not a field of a " + kind +
                    "; allowed: " + (list.empty() ? "no field" : list),
                item.at);
}

/** Replaces the pools in which `right` ("may_read" or "may_write") is given. */
leaf::result<void> set_rights(json& value, const std::string& kind, const assignment& item,
                              const char* right) {
    const json pools = item.value.is_array() ? item.value : json::array({item.value});
    std::map<std::string, json> by_pool;
    for (const json& old : value.value("rights", json::array())) {
        by_pool[old["pool"]] = old;
        by_pool[old["pool"]][right] = false;
    }
    for (const json& pool : pools) {
        if (!pool.is_string()) {
            return fail_field(kind, item, "a pool, a list of pools, or *");
        }
        json& entry = by_pool[pool.get<std::string>()];
        if (entry.is_null()) {
            entry = {{"pool", pool}, {"may_read", false}, {"may_write", false}};
        }
        entry[right] = true;
    }
    value["rights"] = json::array();
    for (auto& [pool, entry] : by_pool) {
        if (entry["may_read"] == true || entry["may_write"] == true) {
            value["rights"].push_back(std::move(entry));
        }
    }
    return {};
}

leaf::result<void> set_field(planned_change& plan, json& value, const assignment& item,
                             const secret_source& secrets) {
    BOOST_LEAF_CHECK(check_field(plan.kind, item));
    if (item.field == "read" || item.field == "write") {
        return set_rights(value, plan.kind, item, item.field == "read" ? "may_read" : "may_write");
    }
    if (item.field == "credential") {
        if (item.value != "new") {
            return fail(
                plan.kind + ".credential: only \"new\" is allowed; credentials are generated",
                item.at);
        }
        plan.credential = secrets.make_credential();
        value["credential_hash"] = hash_credential(plan.credential);
        return {};
    }
    if (item.field == "default_read_policy") {
        if (item.value != "own_writes" && item.value != "strict") {
            return fail_field(plan.kind, item, "own_writes or strict; see also max_age_ms");
        }
        value["default_read_policy"] = {{item.value.get<std::string>(), true}};
        return {};
    }
    if (item.field == "max_age_ms") {
        value["default_read_policy"] = {{"max_age_ms", item.value}};
        return {};
    }
    value[item.field] = item.value;
    return {};
}

/** Checks the change against the configuration it is based on, before anything is sent. */
leaf::result<planned_change> finish(const configuration& base, planned_change plan,
                                    state::configuration_change change, input_position at = {}) {
    change.version = base.version + 1;
    change.change_id = "draft";
    return leaf::try_handle_some(
        [&]() -> leaf::result<planned_change> {
            BOOST_LEAF_AUTO(after, state::apply_change(base, change));
            plan.after = get_object_value(after, plan.kind, plan.name);
            plan.draft = coordination::make_draft(base, std::move(change));
            return std::move(plan);
        },
        [&](const state::state_error& error) -> leaf::result<planned_change> {
            return fail(error.message, at);
        });
}

leaf::result<void> check_if_version(const configuration& base, const std::string& kind,
                                    const std::string& name,
                                    const std::optional<std::uint64_t>& wanted) {
    const std::uint64_t current = coordination::get_object_version(base, kind, name);
    if (wanted && *wanted != current) {
        return fail("conflict: " + get_label(kind, name) + " is at version " +
                        std::to_string(current) + ", not " + std::to_string(*wanted),
                    {}, command_failure::conflict);
    }
    return {};
}

planned_change make_plan(const configuration& base, const std::string& kind,
                         const std::string& name) {
    planned_change plan;
    plan.kind = kind;
    plan.name = name;
    plan.before = get_object_value(base, kind, name);
    return plan;
}

leaf::result<void> expect_existing(const planned_change& plan) {
    if (plan.before.is_null()) {
        return fail(get_label(plan.kind, plan.name) + " does not exist");
    }
    return {};
}

}  // namespace

json get_object_value(const configuration& config, const std::string& kind,
                      const std::string& name) {
    // One small configuration holds only this object, so that large ones are not converted whole.
    configuration part;
    if (kind == "pool" || kind == "target") {
        const state::pool_description* pool = config.find_pool(name.substr(0, name.find('/')));
        if (pool == nullptr) {
            return nullptr;
        }
        part.pools[pool->name] = *pool;
    } else if (kind == "token_key") {
        const auto it = config.token_keys.find(name);
        if (it != config.token_keys.end()) {
            part.token_keys.insert(*it);
        }
    } else {
        const state::principal_table& from = kind == "caller" ? config.callers : config.operators;
        const auto it = from.get_all().find(name);
        if (it != from.get_all().end()) {
            (kind == "caller" ? part.callers : part.operators).put(it->second);
        }
    }
    const json snapshot = state::to_json(part);
    for (const json& object : snapshot["objects"]) {
        if (object["kind"] == kind && object["name"] == name) {
            return object["value"];
        }
    }
    return nullptr;
}

json hide_secrets(const std::string& kind, json value) {
    if (kind == "token_key" && value.is_object()) {
        value["secret"] = hidden;
    }
    return value;
}

leaf::result<planned_change> plan_change(const configuration& base, const create_statement& create,
                                         const secret_source& secrets) {
    planned_change plan = make_plan(base, create.kind, create.name);
    if (!plan.before.is_null()) {
        return fail(get_label(create.kind, create.name) + " already exists");
    }
    json value = json::object();
    const bool is_principal = create.kind == "caller" || create.kind == "operator";
    for (const assignment& item : create.fields) {
        BOOST_LEAF_CHECK(set_field(plan, value, item, secrets));
    }
    if (is_principal && !value.contains("credential_hash")) {
        plan.credential = secrets.make_credential();
        value["credential_hash"] = hash_credential(plan.credential);
    }
    if (create.kind == "token_key") {
        value["secret"] = secrets.make_key();
    }
    state::configuration_change change;
    change.puts.push_back({create.kind, create.name, std::move(value)});
    return finish(base, std::move(plan), std::move(change));
}

leaf::result<planned_change> plan_change(const configuration& base, const alter_statement& alter,
                                         const secret_source& secrets) {
    BOOST_LEAF_CHECK(check_if_version(base, alter.kind, alter.name, alter.if_version));
    planned_change plan = make_plan(base, alter.kind, alter.name);
    BOOST_LEAF_CHECK(expect_existing(plan));
    json value = plan.before;
    for (const assignment& item : alter.fields) {
        BOOST_LEAF_CHECK(set_field(plan, value, item, secrets));
    }
    state::configuration_change change;
    change.puts.push_back({alter.kind, alter.name, std::move(value)});
    return finish(base, std::move(plan), std::move(change));
}

leaf::result<planned_change> plan_change(const configuration& base, const drop_statement& drop,
                                         const secret_source& /*secrets*/) {
    BOOST_LEAF_CHECK(check_if_version(base, drop.kind, drop.name, drop.if_version));
    planned_change plan = make_plan(base, drop.kind, drop.name);
    BOOST_LEAF_CHECK(expect_existing(plan));
    state::configuration_change change;
    change.deletes.push_back({drop.kind, drop.name});
    return finish(base, std::move(plan), std::move(change));
}

leaf::result<planned_change> plan_change(const configuration& base, const drain_statement& drain,
                                         const secret_source& /*secrets*/) {
    planned_change plan = make_plan(base, "target", drain.name);
    BOOST_LEAF_CHECK(expect_existing(plan));
    json value = plan.before;
    value["is_leaving"] = drain.is_drain;
    state::configuration_change change;
    change.puts.push_back({"target", drain.name, std::move(value)});
    return finish(base, std::move(plan), std::move(change));
}

}  // namespace hornbeamhook::ctl
