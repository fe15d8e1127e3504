#include "standin/target/replication_receiver.h"

#include <exception>
#include <utility>

#include "standin/target/event_catalogue.h"
#include "standin/target/tcp_socket.h"

namespace hornbeamhook::standin::target {

namespace {
// Also the time after which a switched-on fault ends the stream.
constexpr std::chrono::milliseconds check_interval{20};
}  // namespace

replication_receiver::replication_receiver(target_context& context,
                                           std::shared_ptr<session_control> control)
    : context_(context) {
    stream_.control = std::move(control);
}

void replication_receiver::run() {
    try {
        serve();
    } catch (const std::exception& error) {
        transport::log_event(event_apply_failed, {{"target", context_.settings.name},
                                                  {"sender", stream_.header.sender},
                                                  {"error", error.what()}});
    }
    context_.member.end_stream(stream_);
}

bool replication_receiver::is_cut() const {
    return context_.faults.get().cut_peers.contains(stream_.header.sender);
}

bool replication_receiver::answer(const nlohmann::json& object) const {
    return send_all(stream_.control->fd, object.dump() + "\n");
}

void replication_receiver::serve() {
    line_receiver receiver(stream_.control->fd);
    bool has_begun = false;
    while (!receiver.is_closed() && !stream_.control->is_killed()) {
        const std::optional<std::string> line = receiver.get_line(check_interval);
        if (has_begun && is_cut()) {
            return;
        }
        if (!line) {
            continue;
        }
        if (!(has_begun ? take(*line) : begin(*line))) {
            return;
        }
        has_begun = true;
    }
}

bool replication_receiver::begin(const std::string& line) {
    stream_.header = parse_hello(nlohmann::json::parse(line));
    if (is_cut()) {
        return false;
    }
    const group_member::stream_answer result = context_.member.begin_stream(stream_);
    context_.counters.streams_refused += result.is_accepted ? 0 : 1;
    return answer({{"accepted", result.is_accepted},
                   {"position", result.position},
                   {"accepted_term", result.accepted_term}}) &&
           result.is_accepted;
}

bool replication_receiver::take(const std::string& line) {
    const nlohmann::json message = nlohmann::json::parse(line);
    if (message.at("type") == "heartbeat") {
        return context_.member.take_heartbeat(stream_) && answer({{"heard", true}});
    }
    std::vector<std::shared_ptr<const log_entry>> entries;
    for (const nlohmann::json& entry : message.at("entries")) {
        entries.push_back(std::make_shared<const log_entry>(parse_log_entry(entry)));
    }
    return context_.member.append(stream_, message.at("from").get<state::log_position>(),
                                  std::move(entries)) &&
           answer({{"heard", true}});
}

}  // namespace hornbeamhook::standin::target
