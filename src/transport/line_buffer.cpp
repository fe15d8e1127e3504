#include "transport/line_buffer.h"

#include <algorithm>

namespace hornbeamhook::transport {

void line_buffer::append(std::string_view bytes) {
    release_returned();
    bytes_.append(bytes);
}

void line_buffer::release_returned() {
    if (begin_ == bytes_.size()) {
        bytes_.clear();
        // Long sessions are mostly idle, so a buffer does not keep the size of its largest line.
        constexpr std::size_t kept_bytes = 4096;
        if (bytes_.capacity() > kept_bytes) {
            bytes_.shrink_to_fit();
        }
    } else {
        bytes_.erase(0, begin_);
    }
    scanned_ -= std::min(scanned_, begin_);
    begin_ = 0;
}

void line_buffer::clear() {
    bytes_ = std::string();
    begin_ = 0;
    scanned_ = 0;
}

std::optional<std::string_view> line_buffer::take_line() {
    const std::size_t end = bytes_.find("\r\n", std::max(begin_, scanned_));
    if (end == std::string::npos) {
        is_overlong_ = bytes_.size() - begin_ > max_line_bytes_;
        scanned_ = bytes_.empty() ? 0 : bytes_.size() - 1;
        return std::nullopt;
    }
    if (end - begin_ > max_line_bytes_) {
        is_overlong_ = true;
        return std::nullopt;
    }
    const std::string_view line = std::string_view(bytes_).substr(begin_, end - begin_);
    begin_ = end + 2;
    scanned_ = begin_;
    return line;
}

}  // namespace hornbeamhook::transport
