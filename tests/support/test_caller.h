#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "support/scripted_target.h"
#include "transport/line_buffer.h"
#include "transport/tcp_stream.h"

namespace hornbeamhook::tests {

/** A caller on the test's loop that collects the lines it receives. */
class test_caller {
public:
    test_caller(transport::event_loop& loop, const transport::endpoint& address)
        : stream_(transport::tcp_stream::connect(loop, address,
                                                 {.connected = {},
                                                  .received =
                                                      [this](std::string_view bytes) {
                                                          buffer_.append(bytes);
                                                          while (const auto line =
                                                                     buffer_.take_line()) {
                                                              lines.emplace_back(*line);
                                                          }
                                                      },
                                                  .ended = [this](bool) { is_ended = true; }})) {}

    ~test_caller() { stream_->reset(); }

    void send(const std::string& line) { stream_->write(line + "\r\n"); }

    std::vector<std::string> lines;
    bool is_ended = false;

private:
    transport::line_buffer buffer_{1U << 20};
    std::shared_ptr<transport::tcp_stream> stream_;
};

/** Answers like an idle target of term 1, tracking whether a transaction is open. */
inline scripted_target::script make_idle_target() {
    const auto state = std::make_shared<std::string>("I");
    return [state](const std::string& line) {
        if (line.find(" BEGIN") != std::string::npos) {
            *state = "T";
        } else if (line.ends_with(" COMMIT") || line.ends_with(" ROLLBACK")) {
            *state = "I";
        }
        if (line.starts_with("STARTUP")) {
            return std::string("READY I 1.5\r\n");
        }
        const bool is_read = line.find(" READ ") != std::string::npos;
        return std::string(is_read ? "DATAROW row\r\n" : "") + "COMPLETE proof\r\nREADY " + *state +
               " 1.5\r\n";
    };
}

inline bool contains(const std::vector<std::string>& lines, const std::string& part) {
    return std::any_of(lines.begin(), lines.end(), [&](const std::string& line) {
        return line.find(part) != std::string::npos;
    });
}

}  // namespace hornbeamhook::tests
