#include "protocol/peer_messages.h"

#include <limits>
#include <utility>

#include "state/json_reader.h"

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;

namespace {
/// Twice what a proxy of this version sends; more is not a digest.
constexpr std::size_t max_entries = 32;
constexpr std::int64_t max_counter = std::numeric_limits<std::int64_t>::max();

nlohmann::json make_observation(const coordination::primary_observation& observation) {
    return {{"observer", observation.observer},
            {"target", observation.primary.target},
            {"term", observation.primary.term},
            {"is_unreachable", observation.is_unreachable},
            {"is_contradicted", observation.is_contradicted},
            {"recent_promotions", observation.recent_promotions}};
}

nlohmann::json make_primary(const state::primary_view& primary) {
    return {{"target", primary.target}, {"term", primary.term}};
}

}  // namespace

leaf::result<exchange_message> parse_exchange_message(const nlohmann::json& object) {
    state::json_reader reader(object, "");
    exchange_message message;
    const nlohmann::json* sender = reader.get_object("sender");
    const nlohmann::json* entries = reader.get_array("members");
    if (entries != nullptr && entries->size() > max_entries) {
        reader.fail("members", std::to_string(entries->size()) + " entries; allowed: at most " +
                                   std::to_string(max_entries));
    }
    BOOST_LEAF_CHECK(reader.finish());
    BOOST_LEAF_ASSIGN(message.sender, state::parse_member(*sender));
    for (const nlohmann::json& entry : *entries) {
        BOOST_LEAF_AUTO(member, state::parse_member(entry));
        message.entries.push_back(std::move(member));
    }
    return message;
}

nlohmann::json to_json(const exchange_message& message) {
    nlohmann::json entries = nlohmann::json::array();
    for (const state::member& entry : message.entries) {
        entries.push_back(state::to_json(entry));
    }
    return {{"sender", state::to_json(message.sender)}, {"members", std::move(entries)}};
}

leaf::result<configuration_answer> parse_configuration_answer(const nlohmann::json& object) {
    state::json_reader reader(object, "");
    configuration_answer answer;
    const nlohmann::json* changes = reader.get_array("changes");
    const nlohmann::json* snapshot = reader.get_object("snapshot", false);
    BOOST_LEAF_CHECK(reader.finish());
    for (const nlohmann::json& entry : *changes) {
        BOOST_LEAF_AUTO(change, state::parse_configuration_change(entry));
        answer.changes.push_back(std::move(change));
    }
    if (snapshot != nullptr) {
        BOOST_LEAF_AUTO(value, state::parse_configuration(*snapshot));
        answer.snapshot = std::move(value);
    }
    return answer;
}

nlohmann::json to_json(const configuration_answer& answer) {
    nlohmann::json changes = nlohmann::json::array();
    for (const state::configuration_change& change : answer.changes) {
        changes.push_back(state::to_json(change));
    }
    nlohmann::json object{{"changes", std::move(changes)}};
    if (answer.snapshot) {
        object["snapshot"] = state::to_json(*answer.snapshot);
    }
    return object;
}

leaf::result<observation_message> parse_observation_message(const nlohmann::json& object) {
    state::json_reader reader(object, "");
    observation_message message;
    message.pool = reader.get_string("pool");
    const nlohmann::json* body = reader.get_object("observation", false);
    BOOST_LEAF_CHECK(reader.finish());
    if (body == nullptr) {
        return message;
    }
    state::json_reader fields(*body, "observation");
    coordination::primary_observation observation;
    observation.observer = fields.get_string("observer");
    observation.primary.target = fields.get_string("target");
    observation.primary.term = fields.get_integer("term", 0, max_counter);
    observation.is_unreachable = fields.get_boolean("is_unreachable");
    observation.is_contradicted = fields.get_boolean("is_contradicted");
    observation.recent_promotions =
        static_cast<int>(fields.get_integer("recent_promotions", 0, 1'000'000));
    BOOST_LEAF_CHECK(fields.finish());
    message.observation = std::move(observation);
    return message;
}

nlohmann::json to_json(const observation_message& message) {
    nlohmann::json object{{"pool", message.pool}, {"observation", nullptr}};
    if (message.observation) {
        object["observation"] = make_observation(*message.observation);
    }
    return object;
}

nlohmann::json to_json(const coordination::promotion_report& report) {
    nlohmann::json observations = nlohmann::json::array();
    for (const coordination::primary_observation& observation : report.observations) {
        observations.push_back(make_observation(observation));
    }
    nlohmann::json fenced = nlohmann::json::object();
    for (const auto& [target, status] : report.fenced) {
        fenced[target] = state::to_json(status);
    }
    nlohmann::json object{{"reason", coordination::to_string(report.reason)},
                          {"before", nullptr},
                          {"after", make_primary(report.after)},
                          {"claimant", report.claimant},
                          {"attempts", report.attempts},
                          {"is_adopted", report.is_adopted},
                          {"detection_ms", report.detection.count()},
                          {"claim_ms", report.claim.count()},
                          {"fencing_ms", report.fencing.count()},
                          {"promotion_ms", report.promotion.count()},
                          {"adoption_ms", report.adoption.count()},
                          {"observations", std::move(observations)},
                          {"fenced", std::move(fenced)}};
    if (report.before) {
        object["before"] = make_primary(*report.before);
    }
    return object;
}

nlohmann::json to_json(const coordination::promotion_seen& seen) {
    nlohmann::json observations = nlohmann::json::array();
    for (const coordination::primary_observation& observation : seen.observations) {
        observations.push_back(make_observation(observation));
    }
    nlohmann::json object{{"before", nullptr},
                          {"after", make_primary(seen.after)},
                          {"claimant", seen.claimant},
                          {"seen_gap_ms", seen.gap.count()},
                          {"observations", std::move(observations)}};
    if (seen.before) {
        object["before"] = make_primary(*seen.before);
    }
    return object;
}

leaf::result<planned_change_message> parse_planned_change_message(const nlohmann::json& object) {
    state::json_reader reader(object, "");
    planned_change_message message;
    message.pool = reader.get_string("pool");
    message.target = reader.get_string("target", "");
    message.is_forwarded = reader.get_boolean("is_forwarded", false);
    if (reader.has("is_paused")) {
        message.is_paused = reader.get_boolean("is_paused");
    }
    if (message.target.empty() && !message.is_paused) {
        reader.fail("target", "missing; allowed: the name of a target");
    }
    BOOST_LEAF_CHECK(reader.finish());
    return message;
}

nlohmann::json to_json(const planned_change_message& message) {
    nlohmann::json object{{"pool", message.pool}, {"is_forwarded", message.is_forwarded}};
    if (!message.target.empty()) {
        object["target"] = message.target;
    }
    if (message.is_paused) {
        object["is_paused"] = *message.is_paused;
    }
    return object;
}

}  // namespace hornbeamhook::protocol
