#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace hornbeamhook::standin::target {

/** A listening socket on "ip:port". Throws std::runtime_error when the address cannot be bound. */
int listen_on(const std::string& address);

/** A connected socket, or -1 when the peer did not accept within `timeout`. */
int connect_to(const std::string& address, std::chrono::milliseconds timeout);

/** Sets the options every connection of the stand-in uses. */
void configure_socket(int fd);

/** Sends all of `text`; false when the connection failed or the peer did not read for 2 s. */
bool send_all(int fd, const std::string& text);

/** Receives lines of text. Used by one thread. */
class line_receiver {
public:
    explicit line_receiver(int fd) : fd_(fd) {}

    /** The next line without its end; empty when none came within `timeout`, see is_closed(). */
    std::optional<std::string> get_line(std::chrono::milliseconds timeout);

    bool is_closed() const { return is_closed_; }

private:
    int fd_;
    std::string buffer_;
    std::size_t searched_ = 0;
    bool is_closed_ = false;
};

}  // namespace hornbeamhook::standin::target
