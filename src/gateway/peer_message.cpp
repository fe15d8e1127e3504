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
    record_notice,
    hub_request,
    hub_answer,
    departure_notice,
    limit_request,
    limit_answer
};

json format_positions(const std::vector<known_position>& list) {
    json positions = json::array();
    for (const known_position& entry : list) {
        positions.push_back(
            json::array({entry.group, entry.point.term, entry.point.position, entry.age_ms}));
    }
    return positions;
}

std::vector<known_position> read_positions(const json& list) {
    std::vector<known_position> positions;
    for (const json& entry : list) {
        positions.push_back({entry.at(0), {entry.at(1), entry.at(2)}, entry.at(3)});
    }
    return positions;
}

json format_promises(const std::vector<record_promise>& list) {
    json promises = json::array();
    for (const record_promise& entry : list) {
        promises.push_back(json::array({entry.group, entry.version}));
    }
    return promises;
}

std::vector<record_promise> read_promises(const json& list) {
    std::vector<record_promise> promises;
    for (const json& entry : list) {
        promises.push_back({entry.at(0), entry.at(1)});
    }
    return promises;
}

json to_array(const peer_ping& m) {
    return {message_kind::ping, m.vm, m.incarnation, m.sequence, m.digest};
}

json to_array(const peer_pong& m) {
    return json::array({message_kind::pong, m.vm, m.incarnation, m.sequence,
                        m.configuration_version, m.is_store_available, m.is_stopping,
                        m.is_digest_match, format_promises(m.promises),
                        format_positions(m.positions)});
}

json to_array(const revoke_request& m) {
    return {message_kind::revoke_request, m.group, m.version, m.is_planned};
}

json to_array(const revoke_answer& m) {
    return {message_kind::revoke_answer, m.vm, m.group, m.version, m.is_established};
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
    pong.promises = read_promises(fields.at(8));
    pong.positions = read_positions(fields.at(9));
    return pong;
}

json to_array(const hub_request& m) {
    return json::array({message_kind::hub_request, m.vm, m.incarnation, m.sequence, m.is_stopping});
}

json to_array(const hub_answer& m) {
    json reports = json::array();
    for (const place_report& entry : m.reports) {
        reports.push_back(json::array({entry.place, entry.age_ms, entry.silent, entry.stopping}));
    }
    return json::array({message_kind::hub_answer, m.vm, m.incarnation, m.sequence,
                        m.is_store_available, m.is_stopping, m.digests.configuration,
                        m.digests.targets, m.digests.rows, m.rows_age_ms, reports,
                        format_positions(m.positions)});
}

json to_array(const departure_notice& m) {
    return json::array(
        {message_kind::departure_notice, m.vm, m.incarnation, format_promises(m.promises)});
}

json to_array(const coordination::limit_request& m) {
    json demands = json::array();
    for (const coordination::limit_demand& demand : m.demands) {
        demands.push_back(json::array({demand.organisation, demand.count}));
    }
    return json::array({message_kind::limit_request, m.vm, m.process, m.shard, m.number,
                        m.vote_from.process, m.vote_from.at, m.members, demands});
}

json to_array(const coordination::limit_answer& m) {
    json grants = json::array();
    for (const coordination::limit_grant& grant : m.grants) {
        grants.push_back(json::array({grant.organisation, grant.count, grant.wait_ms}));
    }
    return json::array({message_kind::limit_answer, m.process, m.shard, m.number, m.moment.process,
                        m.moment.at, grants});
}

const json& check_size(const json& list) {
    if (list.size() > coordination::max_limit_demands) {
        throw json::other_error::create(0, "too many organisations", nullptr);
    }
    return list;
}

coordination::limit_request read_limit_request(const json& fields) {
    coordination::limit_request request{fields.at(1),
                                        fields.at(2),
                                        fields.at(3),
                                        fields.at(4),
                                        {fields.at(5), fields.at(6)},
                                        fields.at(7),
                                        {}};
    for (const json& entry : check_size(fields.at(8))) {
        request.demands.push_back({entry.at(0), entry.at(1)});
    }
    return request;
}

coordination::limit_answer read_limit_answer(const json& fields) {
    coordination::limit_answer answer{
        fields.at(1), fields.at(2), fields.at(3), {fields.at(4), fields.at(5)}, {}};
    for (const json& entry : check_size(fields.at(6))) {
        answer.grants.push_back({entry.at(0), entry.at(1), entry.at(2)});
    }
    return answer;
}

hub_answer read_hub_answer(const json& fields) {
    hub_answer answer{fields.at(1), fields.at(2), fields.at(3),
                      fields.at(4), fields.at(5), {},
                      fields.at(9), {},           {}};
    answer.digests = {fields.at(6), fields.at(7), fields.at(8)};
    for (const json& entry : fields.at(10)) {
        answer.reports.push_back({entry.at(0), entry.at(1), entry.at(2), entry.at(3)});
    }
    answer.positions = read_positions(fields.at(11));
    return answer;
}

/** Stops the parser at values that are nested deeper than any message. The parser is recursive, so
 * a datagram of nested arrays would otherwise exhaust the stack. */
class depth_check : public json::json_sax_t {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return ++depth_ <= max_depth; }
    bool key(string_t&) override { return true; }
    bool end_object() override { return --depth_ >= 0; }
    bool start_array(std::size_t) override { return ++depth_ <= max_depth; }
    bool end_array() override { return --depth_ >= 0; }
    bool parse_error(std::size_t, const std::string&, const json::exception&) override {
        return false;
    }

private:
    static constexpr int max_depth = 4;  ///< A message, its reports, one report, its VMs.
    int depth_ = 0;
};

peer_message read_message(const json& fields) {
    switch (fields.at(0).get<message_kind>()) {
        case message_kind::ping:
            return peer_ping{fields.at(1), fields.at(2), fields.at(3), fields.at(4)};
        case message_kind::pong:
            return read_pong(fields);
        case message_kind::revoke_request:
            return revoke_request{fields.at(1), fields.at(2), fields.at(3)};
        case message_kind::revoke_answer:
            return revoke_answer{fields.at(1), fields.at(2), fields.at(3), fields.at(4)};
        case message_kind::reachability_request:
            return reachability_request{fields.at(1), fields.at(2)};
        case message_kind::reachability_answer:
            return reachability_answer{fields.at(1), fields.at(2), fields.at(3), fields.at(4),
                                       fields.at(5)};
        case message_kind::record_notice:
            return record_notice{fields.at(1), fields.at(2)};
        case message_kind::hub_request:
            return hub_request{fields.at(1), fields.at(2), fields.at(3), fields.at(4)};
        case message_kind::hub_answer:
            return read_hub_answer(fields);
        case message_kind::departure_notice:
            return departure_notice{fields.at(1), fields.at(2), read_promises(fields.at(3))};
        case message_kind::limit_request:
            return read_limit_request(fields);
        case message_kind::limit_answer:
            return read_limit_answer(fields);
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
    depth_check check;
    if (!json::sax_parse(bytes, &check, json::input_format_t::msgpack)) {
        return std::nullopt;
    }
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
