#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "transport/line_buffer.h"
#include "transport/tcp_stream.h"

namespace hornbeamhook::tests {

/**
 * A target on the test's own loop that answers each line as a function says: an empty answer keeps
 * silent. Keeps all lines that it received, without the start of connections.
 */
class scripted_target {
public:
    using script = std::function<std::string(const std::string& line)>;

    scripted_target(transport::event_loop& loop, const transport::endpoint& address, script answer)
        : answer_(std::move(answer)),
          listener_(loop, address, [this](const std::shared_ptr<transport::tcp_stream>& stream) {
              accept(stream);
          }) {}

    /** The loop outlives the target and would still deliver what arrived. */
    ~scripted_target() { reset_all(); }
    scripted_target(const scripted_target&) = delete;
    scripted_target& operator=(const scripted_target&) = delete;

    /** Sends text on all open connections, for example a late answer. */
    void write_to_all(const std::string& text) {
        for (const auto& stream : streams_) {
            stream->write(text);
        }
    }

    /** Ends all open connections without an answer. */
    void reset_all() {
        for (const auto& stream : streams_) {
            stream->reset();
        }
        streams_.clear();
    }

    std::vector<std::string> lines;
    int connections = 0;

private:
    void accept(const std::shared_ptr<transport::tcp_stream>& stream) {
        ++connections;
        streams_.push_back(stream);
        const auto buffer = std::make_shared<transport::line_buffer>(1U << 20);
        stream->start({.connected = {},
                       .received =
                           [this, stream, buffer](std::string_view bytes) {
                               buffer->append(bytes);
                               while (const auto line = buffer->take_line()) {
                                   const std::string text(*line);
                                   if (!text.starts_with("STARTUP")) {
                                       lines.push_back(text);
                                   }
                                   stream->write(answer_(text));
                               }
                           },
                       .ended = [](bool) {}});
    }

    script answer_;
    std::vector<std::shared_ptr<transport::tcp_stream>> streams_;
    transport::tcp_listener listener_;
};

}  // namespace hornbeamhook::tests
