#include "standin/fault/relay_loop.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <fnmatch.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <future>
#include <stdexcept>
#include <type_traits>
#include <utility>

#include "standin/fault/relay_events.h"

namespace hornbeamhook::standin::fault {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

constexpr std::uint64_t listener_tag = std::uint64_t{1} << 63U;
constexpr std::uint64_t wake_tag = ~std::uint64_t{0};
constexpr std::size_t read_size = std::size_t{64} << 10U;
// Reading pauses above this, so that a stopped process behind the relay exerts back pressure.
constexpr std::size_t max_queued_bytes = std::size_t{1} << 20U;
constexpr int release_upstream = 2;  // A timer's stream number that is none.
constexpr int listen_backlog = 1024;
constexpr int max_events = 256;
// How often a refused upstream is tried, and the least time between two checks of one link.
constexpr milliseconds probe_interval{20};
constexpr int probe_wait_ms = 2;
constexpr milliseconds idle_wait{1000};

sockaddr_in parse_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    if (::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        throw std::runtime_error("address " + text + " is not ip:port");
    }
    return address;
}

int open_socket() {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        throw std::runtime_error(std::string("cannot open a socket: ") + std::strerror(errno));
    }
    return fd;
}

void set_no_delay(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/** Starts connecting; returns -1 when the upstream refused at once. */
int start_connect(const std::string& upstream) {
    const int fd = open_socket();
    set_no_delay(fd);
    const sockaddr_in address = parse_address(upstream);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    return fd;
}

int get_socket_error(int fd) {
    int error = 0;
    socklen_t length = sizeof(error);
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length);
    return error;
}

/** Whether the upstream refuses connections. A silent upstream does not. */
bool is_refusing(const std::string& upstream) {
    const int fd = start_connect(upstream);
    if (fd < 0) {
        return true;
    }
    pollfd event{fd, POLLOUT, 0};
    ::poll(&event, 1, probe_wait_ms);
    const bool is_refused = get_socket_error(fd) == ECONNREFUSED;
    ::close(fd);
    return is_refused;
}

void close_socket(int fd, bool is_reset) {
    if (is_reset) {
        const linger option{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    }
    ::close(fd);
}

}  // namespace

relay_loop::relay_loop(const std::vector<relay_link_settings>& links)
    : epoll_(::epoll_create1(EPOLL_CLOEXEC)), wake_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = wake_tag;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, wake_, &event);
    for (const relay_link_settings& settings : links) {
        auto link = std::make_unique<relay_link>();
        link->settings = settings;
        parse_address(settings.upstream);
        links_.push_back(std::move(link));
        open_listener(*links_.back());
    }
}

relay_loop::~relay_loop() {
    stop();
    for (auto& [id, connection] : connections_) {
        for (const int fd : connection->sockets) {
            if (fd >= 0) {
                close_socket(fd, true);
            }
        }
    }
    for (const auto& link : links_) {
        if (link->listener >= 0) {
            ::close(link->listener);
        }
    }
    ::close(wake_);
    ::close(epoll_);
}

void relay_loop::start() {
    thread_ = std::thread([this] { run(); });
}

void relay_loop::stop() {
    if (!thread_.joinable()) {
        return;
    }
    run_on_loop([this] { is_stopping_ = true; });
    thread_.join();
}

void relay_loop::run_on_loop(const std::function<void()>& task) {
    std::promise<void> done;
    {
        const std::scoped_lock lock(mutex_);
        tasks_.emplace_back([&] {
            task();
            done.set_value();
        });
    }
    const std::uint64_t one = 1;
    static_cast<void>(!::write(wake_, &one, sizeof(one)));
    done.get_future().wait();
}

std::vector<std::string> relay_loop::apply(const link_command& command) {
    std::vector<std::string> matched;
    run_on_loop([&] {
        for (const auto& link : links_) {
            const bool is_match = std::ranges::any_of(command.patterns, [&](const auto& pattern) {
                return ::fnmatch(pattern.c_str(), link->settings.name.c_str(), 0) == 0;
            });
            if (is_match) {
                matched.push_back(link->settings.name);
                apply_to_link(*link, command.action);
            }
        }
    });
    return matched;
}

nlohmann::json relay_loop::get_status() {
    nlohmann::json result = nlohmann::json::array();
    run_on_loop([&] {
        for (const auto& link : links_) {
            result.push_back(to_json(*link));
        }
    });
    return result;
}

void relay_loop::run() {
    std::array<epoll_event, max_events> events{};
    while (!is_stopping_) {
        nanoseconds wait = idle_wait;
        const time_point now = steady_clock::now();
        if (!timers_.empty()) {
            wait = std::clamp<nanoseconds>(timers_.top().at - now, nanoseconds(0), wait);
        }
        const bool has_down_link =
            std::ranges::any_of(links_, [](const auto& link) { return link->is_upstream_down; });
        if (has_down_link) {
            wait = std::min<nanoseconds>(wait, probe_interval);
        }
        const timespec timeout{static_cast<time_t>(wait.count() / 1'000'000'000),
                               static_cast<long>(wait.count() % 1'000'000'000)};
        const int count = ::epoll_pwait2(epoll_, events.data(), max_events, &timeout, nullptr);
        for (int i = 0; i < count; ++i) {
            handle_event(events.at(i).data.u64, events.at(i).events);
        }
        run_timers();
        remove_closed();
        if (has_down_link) {
            probe_down_links();
        }
    }
}

void relay_loop::run_tasks() {
    std::uint64_t ignored = 0;
    static_cast<void>(!::read(wake_, &ignored, sizeof(ignored)));
    std::vector<std::function<void()>> tasks;
    {
        const std::scoped_lock lock(mutex_);
        tasks.swap(tasks_);
    }
    for (const std::function<void()>& task : tasks) {
        task();
    }
}

void relay_loop::run_timers() {
    const time_point now = steady_clock::now();
    while (!timers_.empty() && timers_.top().at <= now) {
        const timer due = timers_.top();
        timers_.pop();
        const auto it = connections_.find(due.connection);
        if (it == connections_.end()) {
            continue;
        }
        if (due.stream == release_upstream) {
            close_side(*it->second, 1, true);
        } else {
            flush(*it->second, due.stream);
        }
    }
}

void relay_loop::handle_event(std::uint64_t tag, std::uint32_t events) {
    if (tag == wake_tag) {
        run_tasks();
        return;
    }
    if ((tag & listener_tag) != 0) {
        accept_all(tag & ~listener_tag);
        return;
    }
    const auto it = connections_.find(tag >> 1U);
    if (it == connections_.end()) {
        return;
    }
    relay_connection& connection = *it->second;
    const int side = static_cast<int>(tag & 1U);
    if (connection.sockets.at(side) < 0) {
        return;
    }
    if (side == 1 && connection.is_connecting) {
        finish_connect(connection);
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        connection.streams.at(1 - side).is_blocked = false;
        flush(connection, 1 - side);
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && connection.sockets.at(side) >= 0) {
        read_side(connection, side);
    }
}

void relay_loop::open_listener(relay_link& link) {
    if (link.listener >= 0) {
        return;
    }
    const sockaddr_in address = parse_address(link.settings.listen);
    const int fd = open_socket();
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(fd, listen_backlog) != 0) {
        const std::string reason = std::strerror(errno);
        ::close(fd);
        throw std::runtime_error("link " + link.settings.name + ": cannot listen on " +
                                 link.settings.listen + ": " + reason);
    }
    const auto index = static_cast<std::uint64_t>(
        std::ranges::find_if(links_, [&](const auto& item) { return item.get() == &link; }) -
        links_.begin());
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = listener_tag | index;
    ::epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
    link.listener = fd;
}

void relay_loop::close_listener(relay_link& link) {
    if (link.listener >= 0) {
        ::close(link.listener);
        link.listener = -1;
    }
}

void relay_loop::check_upstream(relay_link& link) {
    const time_point now = steady_clock::now();
    if (link.is_upstream_down || link.is_cut || now - link.last_probe < probe_interval) {
        return;
    }
    link.last_probe = now;
    if (!is_refusing(link.settings.upstream)) {
        return;
    }
    // Callers must see the refusal of the process behind the relay, so the relay refuses too.
    link.is_upstream_down = true;
    close_listener(link);
    transport::log_event(upstream_refuses, {{"link", link.settings.name}});
}

void relay_loop::probe_down_links() {
    const time_point now = steady_clock::now();
    if (now < next_probe_) {
        return;
    }
    next_probe_ = now + probe_interval;
    for (const auto& link : links_) {
        if (!link->is_upstream_down || is_refusing(link->settings.upstream)) {
            continue;
        }
        link->is_upstream_down = false;
        if (!link->is_cut) {
            open_listener(*link);
        }
        transport::log_event(upstream_accepts, {{"link", link->settings.name}});
    }
}

void relay_loop::accept_all(std::size_t index) {
    relay_link& link = *links_.at(index);
    while (link.listener >= 0) {
        const int fd = ::accept4(link.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        set_no_delay(fd);
        auto connection = std::make_unique<relay_connection>();
        connection->id = next_connection_++;
        connection->link = &link;
        connection->sockets[0] = fd;
        connection->established_at = steady_clock::now() + 2 * link.get_latency();
        connection->is_silent = link.is_new_silent;
        if (link.is_new_silent) {
            release_later(*connection, link.silence_release);
        }
        for (int i = 0; i < 2; ++i) {
            connection->streams.at(i).is_lost = link.is_lost.at(i);
        }
        link.connections_open += 1;
        link.connections_total += 1;
        relay_connection& stored = *connection;
        connections_.emplace(stored.id, std::move(connection));
        connect_upstream(stored);
    }
}

void relay_loop::connect_upstream(relay_connection& connection) {
    const int fd = start_connect(connection.link->settings.upstream);
    if (fd < 0) {
        check_upstream(*connection.link);
        reset(connection);
        return;
    }
    connection.sockets[1] = fd;
    update_interest(connection, 0);
    update_interest(connection, 1);
}

void relay_loop::finish_connect(relay_connection& connection) {
    if (get_socket_error(connection.sockets[1]) != 0) {
        check_upstream(*connection.link);
        reset(connection);
        return;
    }
    connection.is_connecting = false;
    update_interest(connection, 1);
    flush(connection, 0);
}

void relay_loop::read_side(relay_connection& connection, int side) {
    relay_stream& stream = connection.streams.at(side);
    thread_local std::string buffer(read_size, '\0');
    const ssize_t length = ::recv(connection.sockets.at(side), buffer.data(), buffer.size(), 0);
    if (length > 0) {
        if (!connection.is_silent && !stream.is_lost && !stream.has_sink_ended) {
            receive_data(connection, side, buffer.substr(0, static_cast<std::size_t>(length)));
        }
        return;
    }
    if (length < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    receive_end(connection, side, length < 0);
}

void relay_loop::receive_end(relay_connection& connection, int side, bool is_reset) {
    relay_stream& stream = connection.streams.at(side);
    if (side == 1) {
        check_upstream(*connection.link);
    }
    const bool is_forwarded = !stream.has_source_ended && !connection.is_silent && !stream.is_lost;
    stream.has_source_ended = true;
    if (is_reset || connection.is_silent) {
        close_side(connection, side, false);
    } else {
        update_interest(connection, side);
    }
    if (is_forwarded) {
        relay_chunk chunk;
        chunk.type = is_reset ? relay_chunk::kind::reset : relay_chunk::kind::end;
        enqueue(connection, side, std::move(chunk));
    }
}

void relay_loop::receive_data(relay_connection& connection, int stream, std::string data) {
    relay_chunk chunk;
    chunk.data = std::move(data);
    const bool is_consumed = stream == 0 ? apply_request_fault(connection, chunk)
                                         : apply_answer_fault(connection, chunk);
    if (!is_consumed) {
        enqueue(connection, stream, std::move(chunk));
    }
}

bool relay_loop::apply_request_fault(relay_connection& connection, relay_chunk& chunk) {
    if (connection.link->message_faults.empty()) {
        return false;
    }
    const std::optional<message_fault_command> fault =
        connection.link->take_message_fault(chunk.data);
    if (!fault) {
        return false;
    }
    switch (fault->kind) {
        case message_fault_kind::drop_request:
            if (fault->is_silent_after) {
                make_silent(connection);
            } else {
                reset(connection);
            }
            return true;
        case message_fault_kind::hold_request:
            chunk.is_held = !fault->hold.has_value();
            chunk.deliver_at = steady_clock::now() + fault->hold.value_or(milliseconds(0));
            return false;
        case message_fault_kind::drop_answer:
        case message_fault_kind::hold_answer:
        case message_fault_kind::cross_answer:
            connection.answer_fault = fault;
            return false;
    }
    return false;
}

bool relay_loop::apply_answer_fault(relay_connection& connection, relay_chunk& chunk) {
    if (!connection.answer_fault) {
        return false;
    }
    const message_fault_command fault = *connection.answer_fault;
    connection.answer_fault.reset();
    if (fault.kind == message_fault_kind::cross_answer) {
        cross(connection, std::move(chunk.data));
        return true;
    }
    if (fault.kind == message_fault_kind::hold_answer) {
        chunk.is_held = !fault.hold.has_value();
        chunk.deliver_at = steady_clock::now() + fault.hold.value_or(milliseconds(0));
        return false;
    }
    if (fault.is_silent_after) {
        make_silent(connection);
    } else {
        reset(connection);
    }
    return true;
}

void relay_loop::cross(relay_connection& connection, std::string data) {
    relay_link& link = *connection.link;
    if (!link.crossed) {
        link.crossed = relay_link::crossed_answer{connection.id, std::move(data)};
        return;
    }
    relay_link::crossed_answer other = std::move(*link.crossed);
    link.crossed.reset();
    relay_chunk to_this;
    to_this.data = std::move(other.data);
    enqueue(connection, 1, std::move(to_this));
    const auto it = connections_.find(other.connection);
    if (it != connections_.end()) {
        relay_chunk to_other;
        to_other.data = std::move(data);
        enqueue(*it->second, 1, std::move(to_other));
    }
}

void relay_loop::enqueue(relay_connection& connection, int stream, relay_chunk chunk) {
    relay_stream& target = connection.streams.at(stream);
    if (target.has_sink_ended) {
        return;
    }
    const time_point now = steady_clock::now();
    const time_point earliest =
        std::max(now, connection.established_at) + connection.link->get_latency();
    chunk.deliver_at = std::max({chunk.deliver_at, earliest, target.last_delivery});
    target.last_delivery = chunk.deliver_at;
    target.queued_bytes += chunk.data.size();
    const time_point deliver_at = chunk.deliver_at;
    target.queue.push_back(std::move(chunk));
    if (target.queued_bytes >= max_queued_bytes) {
        update_interest(connection, stream);
    }
    if (deliver_at <= now) {
        flush(connection, stream);
        return;
    }
    timers_.push(timer{deliver_at, connection.id, stream});
}

void relay_loop::flush(relay_connection& connection, int stream) {
    relay_stream& source = connection.streams.at(stream);
    const int sink = 1 - stream;
    if (connection.is_silent || source.is_blocked || (sink == 1 && connection.is_connecting)) {
        return;
    }
    const time_point now = steady_clock::now();
    const bool was_full = source.queued_bytes >= max_queued_bytes;
    while (!source.queue.empty() && !source.has_sink_ended) {
        relay_chunk& chunk = source.queue.front();
        if (chunk.is_held || chunk.deliver_at > now) {
            break;
        }
        if (chunk.type == relay_chunk::kind::reset) {
            close_side(connection, sink, true);
            return;
        }
        if (chunk.type == relay_chunk::kind::end) {
            ::shutdown(connection.sockets.at(sink), SHUT_WR);
            source.has_sink_ended = true;
            if (connection.streams.at(sink).has_sink_ended) {
                close_side(connection, 0, false);
                close_side(connection, 1, false);
            }
            return;
        }
        const ssize_t length =
            ::send(connection.sockets.at(sink), chunk.data.data() + source.written,
                   chunk.data.size() - source.written, MSG_NOSIGNAL);
        if (length < 0) {
            if (errno != EAGAIN && errno != EINTR) {
                receive_end(connection, sink, true);
                return;
            }
            source.is_blocked = true;
            update_interest(connection, sink);
            return;
        }
        source.written += static_cast<std::size_t>(length);
        connection.link->bytes.at(stream) += static_cast<std::uint64_t>(length);
        if (source.written < chunk.data.size()) {
            continue;
        }
        source.queued_bytes -= chunk.data.size();
        source.written = 0;
        source.queue.pop_front();
    }
    update_interest(connection, sink);
    if (was_full) {
        update_interest(connection, stream);
    }
}

void relay_loop::update_interest(relay_connection& connection, int side) {
    const int fd = connection.sockets.at(side);
    if (fd < 0) {
        return;
    }
    const relay_stream& outgoing = connection.streams.at(side);
    const relay_stream& incoming = connection.streams.at(1 - side);
    std::uint32_t wanted = 0;
    if (side == 1 && connection.is_connecting) {
        wanted = EPOLLOUT;
    } else {
        if (!outgoing.has_source_ended && outgoing.queued_bytes < max_queued_bytes) {
            wanted |= EPOLLIN;
        }
        if (incoming.is_blocked) {
            wanted |= EPOLLOUT;
        }
    }
    std::uint32_t& registered = connection.interest.at(side);
    if (wanted == registered) {
        return;
    }
    epoll_event event{};
    event.events = wanted;
    event.data.u64 = (connection.id << 1U) | static_cast<std::uint64_t>(side);
    // An ended socket stays readable for ever, so it is taken out instead of masked.
    const int operation = wanted == 0       ? EPOLL_CTL_DEL
                          : registered == 0 ? EPOLL_CTL_ADD
                                            : EPOLL_CTL_MOD;
    ::epoll_ctl(epoll_, operation, fd, &event);
    registered = wanted;
}

void relay_loop::close_side(relay_connection& connection, int side, bool is_reset) {
    int& fd = connection.sockets.at(side);
    if (fd < 0) {
        return;
    }
    close_socket(fd, is_reset);
    fd = -1;
    connection.interest.at(side) = 0;
    relay_stream& outgoing = connection.streams.at(side);
    const bool had_ended = outgoing.has_source_ended;
    outgoing.has_source_ended = true;
    relay_stream& incoming = connection.streams.at(1 - side);
    incoming.has_sink_ended = true;
    incoming.queue.clear();
    incoming.queued_bytes = 0;
    if (connection.sockets.at(1 - side) < 0) {
        connection.link->connections_open -= 1;
        closed_.push_back(connection.id);
        return;
    }
    if (is_reset && !had_ended && !connection.is_silent) {
        close_side(connection, 1 - side, true);
    }
}

void relay_loop::make_silent(relay_connection& connection) {
    connection.is_silent = true;
    for (int side = 0; side < 2; ++side) {
        relay_stream& stream = connection.streams.at(side);
        stream.queue.clear();
        stream.queued_bytes = 0;
        stream.is_blocked = false;
        update_interest(connection, side);
    }
}

void relay_loop::release_later(const relay_connection& connection,
                               std::optional<milliseconds> release) {
    if (release) {
        timers_.push(timer{steady_clock::now() + *release, connection.id, release_upstream});
    }
}

void relay_loop::drop_silent(const relay_link& link) {
    for (relay_connection* connection : get_connections(link)) {
        if (connection->is_silent) {
            reset(*connection);
        }
    }
}

void relay_loop::reset(relay_connection& connection) {
    for (int side = 0; side < 2; ++side) {
        connection.streams.at(side).has_source_ended = true;
    }
    close_side(connection, 0, true);
    close_side(connection, 1, true);
}

void relay_loop::remove_closed() {
    for (const std::uint64_t id : closed_) {
        connections_.erase(id);
    }
    closed_.clear();
}

std::vector<relay_connection*> relay_loop::get_connections(const relay_link& link) {
    std::vector<relay_connection*> result;
    for (const auto& [id, connection] : connections_) {
        const bool is_closed = connection->sockets[0] < 0 && connection->sockets[1] < 0;
        if (connection->link == &link && !is_closed) {
            result.push_back(connection.get());
        }
    }
    return result;
}

void relay_loop::apply_to_link(relay_link& link, const link_action& action) {
    const auto apply = [&](const auto& command) {
        using type = std::decay_t<decltype(command)>;
        if constexpr (std::is_same_v<type, cut_command>) {
            link.is_cut = true;
            close_listener(link);
            for (relay_connection* connection : get_connections(link)) {
                if (!connection->is_silent) {
                    reset(*connection);
                }
            }
        } else if constexpr (std::is_same_v<type, delay_command>) {
            link.extra_latency = command.extra;
        } else if constexpr (std::is_same_v<type, silence_command>) {
            link.is_new_silent = command.includes_new;
            link.silence_release = command.release;
            for (relay_connection* connection : get_connections(link)) {
                if (!connection->is_silent) {
                    make_silent(*connection);
                    release_later(*connection, command.release);
                }
            }
        } else if constexpr (std::is_same_v<type, drop_silent_command>) {
            drop_silent(link);
        } else if constexpr (std::is_same_v<type, half_open_command>) {
            const int stream = command.lost == relay_direction::request ? 0 : 1;
            link.is_lost.at(stream) = true;
            for (relay_connection* connection : get_connections(link)) {
                connection->streams.at(stream).is_lost = true;
            }
        } else if constexpr (std::is_same_v<type, message_fault_command>) {
            link.message_faults.push_back(command);
        } else {
            restore(link);
        }
    };
    std::visit(apply, action);
}

void relay_loop::restore(relay_link& link) {
    link.is_cut = false;
    link.is_new_silent = false;
    link.is_lost = {};
    link.extra_latency = microseconds(0);
    link.message_faults.clear();
    if (!link.is_upstream_down) {
        open_listener(link);
    }
    if (link.crossed) {
        const auto it = connections_.find(link.crossed->connection);
        if (it != connections_.end()) {
            relay_chunk chunk;
            chunk.data = std::move(link.crossed->data);
            enqueue(*it->second, 1, std::move(chunk));
        }
        link.crossed.reset();
    }
    for (relay_connection* connection : get_connections(link)) {
        connection->answer_fault.reset();
        for (int stream = 0; stream < 2; ++stream) {
            for (relay_chunk& chunk : connection->streams.at(stream).queue) {
                chunk.is_held = false;
            }
            flush(*connection, stream);
        }
    }
}

}  // namespace hornbeamhook::standin::fault
