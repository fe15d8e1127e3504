#include "standin/target/session_control.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <thread>

namespace hornbeamhook::standin::target {

session_control::~session_control() {
    ::close(fd);
}

void session_control::kill() {
    is_killed_ = true;
    ::shutdown(fd, SHUT_RDWR);
}

void session_control::sleep(std::chrono::microseconds duration) const {
    constexpr std::chrono::microseconds check_interval{20'000};
    const auto end = std::chrono::steady_clock::now() + duration;
    while (!is_killed() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_until(
            std::min(end, std::chrono::steady_clock::now() + check_interval));
    }
}

}  // namespace hornbeamhook::standin::target
