#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hornbeamhook::transport {

/** Splits a byte stream into lines that end with CR LF. Not thread safe. */
class line_buffer {
public:
    explicit line_buffer(std::size_t max_line_bytes) : max_line_bytes_(max_line_bytes) {}

    /** Adds received bytes. Invalidates earlier results of take_line(). */
    void append(std::string_view bytes);

    /** The next complete line without its end; valid until append(). */
    std::optional<std::string_view> take_line();

    /** Frees the memory of lines that were returned. Invalidates earlier results of take_line(). */
    void release_returned();

    /** Drops all bytes and frees their memory. Invalidates earlier results of take_line(). */
    void clear();

    /** Memory that the buffer occupies, in bytes. */
    std::size_t get_capacity() const { return bytes_.capacity(); }

    /** Bytes that were received and not returned. */
    std::size_t get_buffered_bytes() const { return bytes_.size() - begin_; }

    /** Whether a line without end has grown beyond the limit; the stream cannot be continued. */
    bool is_overlong() const { return is_overlong_; }

private:
    std::size_t max_line_bytes_;
    std::string bytes_;
    std::size_t begin_ = 0;    ///< First byte that was not returned.
    std::size_t scanned_ = 0;  ///< No line ends before this byte.
    bool is_overlong_ = false;
};

}  // namespace hornbeamhook::transport
