#include "gateway/peer_message.h"

#include <nlohmann/json.hpp>

#include "coordination/home_assignment.h"

namespace hornbeamhook::gateway {

namespace {

using nlohmann::json;

/// A message is encoded as an array: the kind, then the fields in the order of their declaration.
enum class message_kind {
    ping,
    pong,
    revoke_request,
    revoke_answer,
    reachability_request,
    reachability_answer,
    record_notice
};

json to_array(const peer_ping& m) {
    return {message_kind::ping, m.vm, m.incarnation, m.sequence, m.digest};
}

json to_array(const peer_pong& m) {
    json positions = json::array();
    for (const known_position& entry : m.positions) {
        positions.push_back(
            json::array({entry.group, entry.point.term, entry.point.position, entry.age_ms}));
    }
    json promises = json::array();
    for (const record_promise& entry : m.promises) {
        promises.push_back(json::array({entry.group, entry.version}));
    }
    return json::array({message_kind::pong, m.vm, m.incarnation, m.sequence,
                        m.configuration_version, m.is_store_available, m.is_stopping,
                        m.is_digest_match, promises, positions});
}

json to_array(const revoke_request& m) {
    return {message_kind::revoke_request, m.group, m.version, m.is_planned};
}

json to_array(const revoke_answer& m) {
    return {message_kind::revoke_answer, m.vm, m.group, m.version};
}

json to_array(const reachability_request& m) {
    return json::array({message_kind::reachability_request, m.group, m.target});
}

json to_array(const reachability_answer& m) {
    return {message_kind::reachability_answer, m.vm, m.group, m.target, m.age_ms, m.is_lost};
}

json to_array(const record_notice& m) {
    return json::array({message_kind::record_notice, m.group, m.version});
}

peer_pong read_pong(const json& fields) {
    peer_pong pong{fields.at(1), fields.at(2), fields.at(3),
                   fields.at(4), fields.at(5), fields.at(6),
                   fields.at(7), {},           {}};
    for (const json& entry : fields.at(8)) {
        pong.promises.push_back({entry.at(0), entry.at(1)});
    }
    for (const json& entry : fields.at(9)) {
        pong.positions.push_back({entry.at(0), {entry.at(1), entry.at(2)}, entry.at(3)});
    }
    return pong;
}

peer_message read_message(const json& fields) {
    switch (fields.at(0).get<message_kind>()) {
        case message_kind::ping:
            return peer_ping{fields.at(1), fields.at(2), fields.at(3), fields.at(4)};
        case message_kind::pong:
            return read_pong(fields);
        case message_kind::revoke_request:
            return revoke_request{fields.at(1), fields.at(2), fields.at(3)};
        case message_kind::revoke_answer:
            return revoke_answer{fields.at(1), fields.at(2), fields.at(3)};
        case message_kind::reachability_request:
            return reachability_request{fields.at(1), fields.at(2)};
        case message_kind::reachability_answer:
            return reachability_answer{fields.at(1), fields.at(2), fields.at(3), fields.at(4),
                                       fields.at(5)};
        case message_kind::record_notice:
            return record_notice{fields.at(1), fields.at(2)};
    }
    throw json::other_error::create(0, "unknown message kind", nullptr);
}

}  // namespace

std::uint64_t get_digest(const std::vector<record_promise>& promises) {
    std::string text;
    for (const record_promise& promise : promises) {
        text += promise.group + '=' + std::to_string(promise.version) + ';';
    }
    return coordination::get_rendezvous_weight("promises", text);
}

std::string format_peer_message(const peer_message& message) {
    const json fields = std::visit([](const auto& value) { return to_array(value); }, message);
    std::string bytes;
    json::to_msgpack(fields, bytes);
    return bytes;
}

std::optional<peer_message> parse_peer_message(std::string_view bytes) {
    const json fields = json::from_msgpack(bytes, true, false);
    if (!fields.is_array() || fields.empty() || !fields[0].is_number_integer()) {
        return std::nullopt;
    }
    try {
        return read_message(fields);
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}  // namespace hornbeamhook::gateway
