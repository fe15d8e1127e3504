#include "load/event_log.h"

#include <boost/leaf.hpp>
#include <limits>
#include <map>
#include <set>

#include "load/load_events.h"
#include "state/json_reader.h"

namespace hornbeamhook::load {

namespace leaf = boost::leaf;

namespace {

const std::map<std::string, event_kind>& get_kinds() {
    static const std::map<std::string, event_kind> kinds = {
        {"primary_lost", event_kind::primary_lost},
        {"target_leaving", event_kind::target_leaving},
        {"target_back", event_kind::target_back},
        {"configuration_accepted", event_kind::configuration_accepted},
    };
    return kinds;
}

time_point read_time(state::json_reader& reader, const char* field, time_point fallback) {
    const std::int64_t value =
        reader.get_integer(field, 0, std::numeric_limits<std::int64_t>::max(),
                           std::chrono::nanoseconds(fallback.time_since_epoch()).count());
    return time_point(std::chrono::nanoseconds(value));
}

leaf::result<event_record> parse_event(const std::string& body) {
    BOOST_LEAF_AUTO(object, state::parse_json(body, "event"));
    state::json_reader reader(object, "event");
    std::set<std::string> names;
    for (const auto& [name, kind] : get_kinds()) {
        names.insert(name);
    }
    event_record event;
    const auto kind = get_kinds().find(reader.get_choice("kind", names));
    event.pool = reader.get_string("pool", "");
    event.target = reader.get_string("target", "");
    event.label = reader.get_string("label", "");
    event.version = reader.get_integer("version", 0, std::numeric_limits<std::int64_t>::max(), 0);
    const time_point now = std::chrono::steady_clock::now();
    event.at = read_time(reader, "at_ns", now);
    event.effective = read_time(reader, "effective_ns", event.at);
    BOOST_LEAF_CHECK(reader.finish());
    event.kind = kind->second;
    return event;
}

const char* to_text(event_log::phase value) {
    switch (value) {
        case event_log::phase::preparing:
            return "preparing";
        case event_log::phase::running:
            return "running";
        case event_log::phase::checking:
            return "checking";
        case event_log::phase::finished:
            break;
    }
    return "finished";
}

}  // namespace

transport::http_response event_log::handle(const transport::http_request& request) {
    if (request.method == "POST" && request.path == "/control/events") {
        return add(request.body);
    }
    if (request.method == "GET" && request.path == "/control/state") {
        const std::scoped_lock lock(mutex_);
        return {200, nlohmann::json{{"phase", to_text(phase_)},
                                    {"is_kill_primary_due", is_kill_primary_due_},
                                    {"events", events_.size()},
                                    {"completed", progress_.completed.load()},
                                    {"refused", progress_.refused.load()},
                                    {"unknown", progress_.unknown.load()}}
                         .dump()};
    }
    return {404, nlohmann::json{{"error", "no such resource: " + request.path}}.dump()};
}

transport::http_response event_log::add(const std::string& body) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<transport::http_response> {
            BOOST_LEAF_AUTO(event, parse_event(body));
            transport::log_event(event_reported, {{"event", body}});
            const std::scoped_lock lock(mutex_);
            events_.push_back(std::move(event));
            return transport::http_response{200, R"({"recorded":true})"};
        },
        [](const state::state_error& error) {
            return transport::http_response{400, nlohmann::json{{"error", error.message}}.dump()};
        },
        [] {
            return transport::http_response{500, R"({"error":"not recorded"})"};
        });
}

void event_log::set_phase(phase value) {
    const std::scoped_lock lock(mutex_);
    phase_ = value;
}

void event_log::set_kill_primary_due() {
    const std::scoped_lock lock(mutex_);
    is_kill_primary_due_ = true;
}

std::vector<event_record> event_log::get_events() const {
    const std::scoped_lock lock(mutex_);
    return events_;
}

}  // namespace hornbeamhook::load
