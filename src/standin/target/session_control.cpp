#include "standin/target/session_control.h"

#include <sys/socket.h>
#include <unistd.h>

namespace hornbeamhook::standin::target {

session_control::~session_control() {
    ::close(fd);
}

void session_control::kill() {
    is_killed_ = true;
    ::shutdown(fd, SHUT_RDWR);
}

}  // namespace hornbeamhook::standin::target
