#include "standin/target/replication_sender.h"

#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "standin/target/tcp_socket.h"

namespace hornbeamhook::standin::target {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds connect_timeout{500};
constexpr milliseconds retry_delay{50};

// A peer that discards a tail rebuilds its database before it answers the first message.
constexpr milliseconds hello_timeout{20'000};

// Heartbeats are answered at once, so a peer that stays silent for longer is cut off.
constexpr milliseconds silence_limit{1500};

}  // namespace

replication_sender::replication_sender(target_context& context, std::string peer,
                                       std::string address)
    : context_(context),
      peer_(std::move(peer)),
      address_(std::move(address)),
      thread_([this] { run(); }) {}

replication_sender::~replication_sender() {
    is_stopping_ = true;
    context_.member.wake();
    thread_.join();
}

bool replication_sender::is_cut() const {
    return is_stopping_ || context_.faults.get().cut_peers.contains(peer_);
}

void replication_sender::run() {
    while (!is_stopping_) {
        const std::optional<stream_header> header = context_.member.get_stream_header();
        if (header && !is_cut()) {
            const int fd = connect_to(address_, connect_timeout);
            if (fd >= 0) {
                stream(fd, *header);
                ::close(fd);
            }
        }
        context_.member.wait_for_change(steady_clock::now() + retry_delay,
                                        std::numeric_limits<state::log_position>::max());
    }
}

void replication_sender::stream(int fd, const stream_header& header) {
    line_receiver receiver(fd);
    if (!send_all(fd, make_hello_line(header))) {
        return;
    }
    const time_point hello_at = steady_clock::now();
    std::optional<std::string> line;
    while (!line && !receiver.is_closed() && !is_cut() &&
           steady_clock::now() < hello_at + hello_timeout) {
        line = receiver.get_line(retry_delay);
    }
    const nlohmann::json answer = nlohmann::json::parse(line.value_or(""), nullptr, false);
    if (!answer.is_object() || !answer.value("accepted", false)) {
        return;
    }
    auto next = answer.value("position", state::log_position{0});
    time_point heartbeat_at = steady_clock::now();
    time_point heard_at = steady_clock::now();
    while (!is_cut() && send_due(fd, header.term, next, heartbeat_at)) {
        while (receiver.get_line(milliseconds(0))) {
            heard_at = steady_clock::now();
        }
        if (receiver.is_closed() || steady_clock::now() > heard_at + silence_limit) {
            return;
        }
    }
}

bool replication_sender::send_due(int fd, state::term_number term, state::log_position& next,
                                  time_point& heartbeat_at) {
    ++context_.counters.sender_rounds;
    const milliseconds lag = context_.faults.get().replication_lag;
    const std::optional<group_member::shippable_entries> due =
        context_.member.get_entries(term, next, steady_clock::now() - lag);
    if (!due) {
        return false;
    }
    if (!due->entries.empty()) {
        if (!send_all(fd, make_entries_line(next, due->entries))) {
            return false;
        }
        next += due->entries.size();
    }
    if (steady_clock::now() >= heartbeat_at) {
        heartbeat_at = steady_clock::now() + context_.settings.heartbeat_interval;
        ++context_.counters.heartbeats_sent;
        if (!send_all(fd, make_heartbeat_line())) {
            return false;
        }
    }
    if (due->entries.empty()) {
        const time_point until = due->next_appended_at
                                     ? std::min(heartbeat_at, *due->next_appended_at + lag)
                                     : heartbeat_at;
        context_.member.wait_for_change(until, due->length);
    }
    return true;
}

}  // namespace hornbeamhook::standin::target
