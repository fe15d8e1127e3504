#include "standin/target/connection_acceptor.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

#include "standin/target/tcp_socket.h"

namespace hornbeamhook::standin::target {

namespace {
constexpr int check_interval_ms = 20;
}  // namespace

connection_acceptor::connection_acceptor(std::string address, handler serve)
    : address_(std::move(address)),
      serve_(std::move(serve)),
      listener_(listen_on(address_)),
      thread_([this] { run(); }) {}

connection_acceptor::~connection_acceptor() {
    stop();
}

void connection_acceptor::stop() {
    is_stopping_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
    for (served_connection& connection : connections_) {
        connection.control->kill();
    }
    for (served_connection& connection : connections_) {
        connection.thread.join();
    }
    connections_.clear();
}

void connection_acceptor::run() {
    while (!is_stopping_) {
        if (is_refusing_ && listener_ >= 0) {
            ::close(std::exchange(listener_, -1));
        }
        if (!is_refusing_ && listener_ < 0) {
            try {
                listener_ = listen_on(address_);
            } catch (const std::runtime_error&) {
                // Another process may hold the port for a moment; the next round tries again.
                listener_ = -1;
            }
        }
        collect_finished();
        pollfd entry{listener_, POLLIN, 0};
        if (::poll(&entry, 1, check_interval_ms) > 0) {
            accept_one();
        }
    }
    if (listener_ >= 0) {
        ::close(std::exchange(listener_, -1));
    }
}

void connection_acceptor::accept_one() {
    const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    configure_socket(fd);
    served_connection& connection = connections_.emplace_back();
    connection.control = std::make_shared<session_control>(next_id_++, fd);
    connection.thread = std::thread([this, &connection] {
        serve_(connection.control);
        // The peer learns of the end now; the descriptor stays reserved until it is collected.
        connection.control->kill();
        connection.is_finished = true;
    });
}

void connection_acceptor::collect_finished() {
    for (auto it = connections_.begin(); it != connections_.end();) {
        if (it->is_finished) {
            it->thread.join();
            it = connections_.erase(it);
        } else {
            ++it;
        }
    }
}

}  // namespace hornbeamhook::standin::target
