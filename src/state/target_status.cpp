#include "state/target_status.h"

#include <limits>

#include "state/json_reader.h"

namespace hornbeamhook::state {

namespace {
constexpr std::int64_t max_counter = std::numeric_limits<std::int64_t>::max();
}  // namespace

boost::leaf::result<target_status> parse_target_status(const nlohmann::json& object) {
    json_reader reader(object, "status");
    target_status status;
    status.accepted_term = reader.get_integer("accepted_term", 0, max_counter);
    status.accepted_claimant = reader.get_string("accepted_claimant", "");
    status.follow_term = reader.get_integer("follow_term", 0, max_counter);
    status.term_start = reader.get_integer("term_start", 0, max_counter);
    status.position = reader.get_integer("position", 0, max_counter);
    status.is_primary = reader.get_boolean("is_primary");
    if (reader.has("primary_contact_ms")) {
        status.primary_contact =
            std::chrono::milliseconds(reader.get_integer("primary_contact_ms", 0, max_counter));
    }
    BOOST_LEAF_CHECK(reader.finish());
    return status;
}

nlohmann::json to_json(const target_status& status) {
    nlohmann::json object{
        {"accepted_term", status.accepted_term}, {"accepted_claimant", status.accepted_claimant},
        {"follow_term", status.follow_term},     {"term_start", status.term_start},
        {"position", status.position},           {"is_primary", status.is_primary},
        {"primary_contact_ms", nullptr}};
    if (status.primary_contact) {
        object["primary_contact_ms"] = status.primary_contact->count();
    }
    return object;
}

}  // namespace hornbeamhook::state
