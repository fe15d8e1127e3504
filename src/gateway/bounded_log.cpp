#include "gateway/bounded_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "transport/event_loop.h"
#include "transport/format_event.h"

namespace hornbeamhook::gateway {

namespace {

constexpr double lines_per_second = 20;           ///< Per event type; keeps incidents readable.
constexpr double burst_lines = 60;                ///< Covers one incident on a small VM in full.
constexpr std::size_t max_buffer_bytes = 262144;  ///< Further lines are dropped.
constexpr double ms_per_s = 1000;

}  // namespace

bounded_log::bounded_log(const std::string& vm) : vm_(transport::format_event_value(vm)) {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

void bounded_log::write(const transport::event_type& type,
                        std::initializer_list<transport::event_field> fields) {
    const std::int64_t now = transport::get_boot_time();
    token_bucket& bucket = buckets_[type.number];
    if (!take_token(bucket, now)) {
        ++bucket.suppressed;
        return;
    }
    if (buffer_.size() > max_buffer_bytes) {
        ++dropped_;
        return;
    }
    buffer_ += "boot_ms=" + std::to_string(now) + " vm=" + vm_ + " " +
               transport::format_event(type, fields);
    if (bucket.suppressed > 0) {
        buffer_ += " suppressed=" + std::to_string(std::exchange(bucket.suppressed, 0));
    }
    if (dropped_ > 0) {
        buffer_ += " dropped=" + std::to_string(std::exchange(dropped_, 0));
    }
    buffer_ += '\n';
}

bool bounded_log::take_token(token_bucket& bucket, std::int64_t now) const {
    if (bucket.refilled_at == 0) {
        bucket.tokens = burst_lines;
    } else {
        const double elapsed_s = static_cast<double>(now - bucket.refilled_at) / ms_per_s;
        bucket.tokens = std::min(burst_lines, bucket.tokens + elapsed_s * lines_per_second);
    }
    bucket.refilled_at = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void bounded_log::flush() {
    if (buffer_.empty()) {
        return;
    }
    const ssize_t written = ::write(STDOUT_FILENO, buffer_.data(), buffer_.size());
    if (written > 0) {
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

}  // namespace hornbeamhook::gateway
