#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "support/scripted_target.h"
#include "transport/event_loop.h"
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

    /** Sends bytes without a line end. */
    void send_part(const std::string& bytes) { stream_->write(bytes); }

    /** Bytes that the VM has not read. */
    std::size_t get_queued_bytes() const { return stream_->get_queued_bytes(); }

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

/** Runs the loop until the condition holds; fails the test when it never does. */
inline void run_until(transport::event_loop& loop, const std::function<bool()>& condition) {
    constexpr std::int64_t limit_ms = 5000;  // Far above what any exchange of a test takes.
    const std::int64_t limit = transport::get_boot_time() + limit_ms;
    while (!condition()) {
        ASSERT_LT(transport::get_boot_time(), limit) << "condition never held";
        uv_run(loop.get_handle(), UV_RUN_ONCE);
    }
}

/** Opens a session at a VM's address for callers. */
inline std::unique_ptr<test_caller> open_session(transport::event_loop& loop,
                                                 const transport::endpoint& address,
                                                 const std::string& database) {
    auto caller = std::make_unique<test_caller>(loop, address);
    caller->send("STARTUP " + database + " u");
    run_until(loop, [&] { return !caller->lines.empty() || caller->is_ended; });
    return caller;
}

/** Sends a statement and returns its answer with the final READY line. */
inline std::vector<std::string> ask(transport::event_loop& loop, test_caller& caller, int id,
                                    const std::string& text) {
    caller.lines.clear();
    caller.send("QUERY " + std::to_string(id) + " " + text);
    run_until(loop, [&] {
        return caller.is_ended ||
               (!caller.lines.empty() && caller.lines.back().starts_with("READY"));
    });
    return caller.lines;
}

}  // namespace hornbeamhook::tests
