#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace hornbeamhook::standin::target {

/** What other threads may see and do with one connection. Owns the socket. Thread safe. */
class session_control {
public:
    /** Whether the connection answers, and what happens to its input when it does not. */
    enum class silence { none, discard, execute };

    session_control(std::uint64_t session_id, int socket_fd) : id(session_id), fd(socket_fd) {}
    ~session_control();
    session_control(const session_control&) = delete;
    session_control& operator=(const session_control&) = delete;

    /** Ends the connection at once; nothing that is still buffered is sent. */
    void kill();

    /** Sleeps for `duration`, or until the connection is ended. */
    void sleep(std::chrono::microseconds duration) const;

    bool is_killed() const { return is_killed_; }

    const std::uint64_t id;
    const int fd;
    std::atomic<silence> silence_mode = silence::none;
    std::atomic<bool> is_writing = false;  ///< Holds the place of the writer.
    std::atomic<std::uint64_t> statements_received = 0;

private:
    std::atomic<bool> is_killed_ = false;
};

}  // namespace hornbeamhook::standin::target
