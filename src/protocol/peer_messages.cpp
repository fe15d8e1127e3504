#include "protocol/peer_messages.h"

#include <limits>
#include <utility>

#include "state/json_reader.h"

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;

namespace {
/// Twice what a proxy of this version sends; more is not an exchange.
constexpr std::size_t max_entries = 2 * coordination::max_updates;
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

leaf::result<coordination::membership_message> parse_exchange_message(const nlohmann::json& array) {
    constexpr std::size_t header = 2;
    if (!array.is_array() || array.size() <= header || array.size() > header + 1 + max_entries ||
        !array[0].is_number_unsigned() || !array[1].is_number_unsigned()) {
        return leaf::new_error(state::state_error{
            "body",
            "body: not an exchange; allowed: an array of 2 numbers, the sender and at most " +
                std::to_string(max_entries) + " members"});
    }
    coordination::membership_message message;
    message.live_count = array[0].get<std::uint64_t>();
    message.digest = array[1].get<std::uint64_t>();
    BOOST_LEAF_ASSIGN(message.sender, state::parse_compact_member(array[header]));
    for (std::size_t i = header + 1; i < array.size(); ++i) {
        BOOST_LEAF_AUTO(member, state::parse_compact_member(array[i]));
        message.updates.push_back(std::move(member));
    }
    return message;
}

nlohmann::json to_json(const coordination::membership_message& message) {
    nlohmann::json array{message.live_count, message.digest,
                         state::to_compact_json(message.sender)};
    for (const state::member& entry : message.updates) {
        array.push_back(state::to_compact_json(entry));
    }
    return array;
}

leaf::result<std::vector<state::member>> parse_member_list(const nlohmann::json& array) {
    if (!array.is_array()) {
        return leaf::new_error(
            state::state_error{"body", "body: not a member list; allowed: an array of members"});
    }
    std::vector<state::member> members;
    members.reserve(array.size());
    for (const nlohmann::json& entry : array) {
        BOOST_LEAF_AUTO(member, state::parse_compact_member(entry));
        members.push_back(std::move(member));
    }
    return members;
}

nlohmann::json make_member_list(const std::vector<state::member>& members) {
    nlohmann::json array = nlohmann::json::array();
    for (const state::member& value : members) {
        array.push_back(state::to_compact_json(value));
    }
    return array;
}

leaf::result<probe_answer> parse_probe_answer(const nlohmann::json& object) {
    state::json_reader reader(object, "");
    probe_answer answer;
    answer.is_reached = reader.get_boolean("is_reached");
    BOOST_LEAF_CHECK(reader.finish());
    return answer;
}

nlohmann::json to_json(const probe_answer& answer) {
    return {{"is_reached", answer.is_reached}};
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
