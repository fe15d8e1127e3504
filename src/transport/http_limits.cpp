#include "transport/http_limits.h"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "transport/acknowledged_bytes.h"
#include "transport/event_loop.h"

namespace hornbeamhook::transport {

namespace {

constexpr std::chrono::seconds check_interval{1};
/// The receive buffer has up to twice the bytes, the body is copied out of it, and the buffer is
/// copied when it grows.
constexpr std::size_t received_factor = 4;
/// The body, its parsed form, and the message to another VM or a target.
constexpr std::size_t request_factor = 3;
constexpr std::size_t request_overhead_bytes = 4096;
constexpr std::size_t answer_overhead_bytes = 1024;
constexpr std::size_t connection_overhead_bytes = 2048;

}  // namespace

http_limits::http_limits(coordination::http_share_limits callers,
                         coordination::http_share_limits peers, http_limited_callback limited)
    : max_answer_bytes_(std::min(callers.bytes, peers.bytes) / 2),
      limited_(std::move(limited)),
      shares_(callers, peers) {}

http_limits::~http_limits() {
    stop();
}

void http_limits::start() {
    timer_ = std::thread([this] { run(); });
}

void http_limits::stop() {
    {
        const std::scoped_lock lock(mutex_);
        is_stopping_ = true;
    }
    stop_requested_.notify_all();
    if (timer_.joinable()) {
        timer_.join();
    }
}

std::shared_ptr<http_connection> http_limits::add(int descriptor) {
    std::shared_ptr<http_connection> connection;
    std::vector<coordination::http_closing> closing;
    {
        const std::scoped_lock lock(mutex_);
        const coordination::holder_number number = ++last_number_;
        connection = std::make_shared<http_connection>(shared_from_this(), number, descriptor);
        connections_.emplace(number, connection);
        closing = shares_.add(number, get_boot_time());
    }
    close(closing);
    return connection;
}

std::vector<coordination::http_closing> http_limits::update(
    coordination::holder_number number, const coordination::http_holding& holding) {
    const std::scoped_lock lock(mutex_);
    return shares_.update(number, holding);
}

void http_limits::set_peer(coordination::holder_number number) {
    const std::scoped_lock lock(mutex_);
    shares_.set_peer(number);
}

void http_limits::remove(coordination::holder_number number) {
    const std::scoped_lock lock(mutex_);
    shares_.remove(number);
    connections_.erase(number);
}

void http_limits::close(const std::vector<coordination::http_closing>& closing) {
    for (const coordination::http_closing& entry : closing) {
        std::shared_ptr<http_connection> connection;
        {
            const std::scoped_lock lock(mutex_);
            ++closed_[entry.limit];
            const auto found = connections_.find(entry.number);
            connection = found == connections_.end() ? nullptr : found->second.lock();
        }
        if (connection) {
            connection->abort();
        }
    }
}

void http_limits::run() {
    std::unique_lock lock(mutex_);
    while (!stop_requested_.wait_for(lock, check_interval, [this] { return is_stopping_; })) {
        std::vector<std::shared_ptr<http_connection>> connections;
        for (const auto& [number, weak] : connections_) {
            if (auto connection = weak.lock()) {
                connections.push_back(std::move(connection));
            }
        }
        lock.unlock();
        for (const auto& connection : connections) {
            connection->note_progress();
        }
        // A last reference removes its connection, which needs the lock.
        connections.clear();
        lock.lock();
        const auto overdue = shares_.take_overdue(get_boot_time());
        const auto closed = std::exchange(closed_, {});
        lock.unlock();
        close(overdue);
        for (const auto& [limit, count] : closed) {
            if (limited_) {
                limited_(limit, count);
            }
        }
        lock.lock();
    }
}

http_connection::http_connection(std::shared_ptr<http_limits> limits,
                                 coordination::holder_number number, int descriptor)
    : limits_(std::move(limits)), number_(number), descriptor_(descriptor) {
    holding_.active_at = get_boot_time();
}

http_connection::~http_connection() {
    limits_->remove(number_);
}

bool http_connection::receive(std::size_t bytes, std::size_t max_dropped) {
    bool is_dropped_too_long = false;
    {
        const std::scoped_lock lock(mutex_);
        if (is_closed_) {
            return false;
        }
        if (holding_.refused_at) {
            dropped_ += bytes;
            is_dropped_too_long = dropped_ > max_dropped;
        } else {
            holding_.active_at = get_boot_time();
            received_ += bytes;
            if (!holding_.begun_at) {
                holding_.begun_at = holding_.active_at;
            }
        }
    }
    if (is_dropped_too_long) {
        abort();
        return false;
    }
    publish();
    const std::scoped_lock lock(mutex_);
    return !is_closed_ && !holding_.refused_at;
}

std::size_t http_connection::get_received() {
    const std::scoped_lock lock(mutex_);
    return received_;
}

void http_connection::forget_request() {
    {
        const std::scoped_lock lock(mutex_);
        received_ = 0;
        holding_.begun_at.reset();
    }
    publish();
}

void http_connection::set_peer() {
    limits_->set_peer(number_);
}

void http_connection::begin_request(std::size_t body_bytes) {
    {
        const std::scoped_lock lock(mutex_);
        ++holding_.outstanding;
        request_bytes_ += body_bytes * request_factor + request_overhead_bytes;
    }
    publish();
}

void http_connection::end_request(std::size_t body_bytes) {
    {
        const std::scoped_lock lock(mutex_);
        --holding_.outstanding;
        request_bytes_ -= body_bytes * request_factor + request_overhead_bytes;
    }
    publish();
}

void http_connection::begin_answer(std::size_t bytes) {
    {
        const std::scoped_lock lock(mutex_);
        if (answers_++ == 0) {
            holding_.unread_since = get_boot_time();
        }
        answer_bytes_ += bytes + answer_overhead_bytes;
    }
    publish();
}

void http_connection::end_answer(std::size_t bytes) {
    {
        const std::scoped_lock lock(mutex_);
        answer_bytes_ -= bytes + answer_overhead_bytes;
        if (--answers_ == 0) {
            holding_.unread_since.reset();
        } else {
            holding_.unread_since = get_boot_time();
        }
    }
    publish();
}

void http_connection::refuse() {
    {
        const std::scoped_lock lock(mutex_);
        holding_.refused_at = get_boot_time();
    }
    publish();
}

void http_connection::finish_refused() {
    const std::scoped_lock lock(mutex_);
    if (holding_.refused_at && answers_ == 0 && descriptor_ >= 0) {
        ::shutdown(descriptor_, SHUT_WR);
    }
}

void http_connection::release_descriptor() {
    const std::scoped_lock lock(mutex_);
    descriptor_ = -1;
    is_closed_ = true;
}

void http_connection::abort() {
    const std::scoped_lock lock(mutex_);
    if (std::exchange(is_closed_, true) || descriptor_ < 0) {
        return;
    }
    // The server's thread sees the end and closes the descriptor; nothing is sent after that.
    const linger no_wait{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &no_wait, sizeof(no_wait));
    ::shutdown(descriptor_, SHUT_RDWR);
}

void http_connection::note_progress() {
    {
        const std::scoped_lock lock(mutex_);
        if (!holding_.unread_since || descriptor_ < 0) {
            return;
        }
        const std::uint64_t acknowledged = get_acknowledged_bytes(descriptor_).value_or(0);
        if (std::exchange(acknowledged_bytes_, acknowledged) == acknowledged) {
            return;
        }
        holding_.unread_since = get_boot_time();
    }
    publish();
}

void http_connection::publish() {
    std::vector<coordination::http_closing> closing;
    {
        // Held while the value is handed over, so that an older one never replaces it.
        const std::scoped_lock lock(mutex_);
        closing = limits_->update(number_, make_holding());
    }
    // Without the lock, because other connections may be closing this one.
    limits_->close(closing);
}

coordination::http_holding http_connection::make_holding() const {
    coordination::http_holding holding = holding_;
    holding.bytes = connection_overhead_bytes + received_ * received_factor + request_bytes_ +
                    std::min(answer_bytes_, limits_->get_max_answer_bytes());
    return holding;
}

}  // namespace hornbeamhook::transport
