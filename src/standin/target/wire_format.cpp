#include "standin/target/wire_format.h"

namespace hornbeamhook::standin::target {

namespace {
constexpr std::uint32_t text_type = 25;
}  // namespace

std::uint32_t wire_reader::get_number(std::size_t bytes) {
    if (rest_.size() < bytes) {
        is_valid_ = false;
        rest_ = {};
        return 0;
    }
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < bytes; ++i) {
        value = (value << 8U) | static_cast<unsigned char>(rest_[i]);
    }
    rest_.remove_prefix(bytes);
    return value;
}

std::string wire_reader::get_string() {
    const std::size_t end = rest_.find('\0');
    if (end == std::string_view::npos) {
        is_valid_ = false;
        rest_ = {};
        return "";
    }
    std::string text(rest_.substr(0, end));
    rest_.remove_prefix(end + 1);
    return text;
}

std::string wire_reader::get_bytes(std::size_t length) {
    if (rest_.size() < length) {
        is_valid_ = false;
        rest_ = {};
        return "";
    }
    std::string text(rest_.substr(0, length));
    rest_.remove_prefix(length);
    return text;
}

std::size_t wire_writer::begin(char type) {
    output_ += type;
    const std::size_t start = output_.size();
    add_number(0, 4);
    return start;
}

void wire_writer::end(std::size_t start) {
    const auto length = static_cast<std::uint32_t>(output_.size() - start);
    for (std::size_t i = 0; i < 4; ++i) {
        output_[start + i] = static_cast<char>((length >> (24U - 8U * i)) & 0xffU);
    }
}

void wire_writer::add_number(std::uint32_t value, int bytes) {
    for (int i = bytes - 1; i >= 0; --i) {
        output_ += static_cast<char>((value >> (8U * static_cast<unsigned>(i))) & 0xffU);
    }
}

void wire_writer::add_string(const std::string& value) {
    output_.append(value.c_str(), value.size() + 1);
}

void wire_writer::add_authentication_ok() {
    const std::size_t start = begin('R');
    add_number(0, 4);
    end(start);
}

void wire_writer::add_parameter(const std::string& name, const std::string& value) {
    const std::size_t start = begin('S');
    add_string(name);
    add_string(value);
    end(start);
}

void wire_writer::add_backend_key(std::int32_t process, std::int32_t secret) {
    const std::size_t start = begin('K');
    add_number(static_cast<std::uint32_t>(process), 4);
    add_number(static_cast<std::uint32_t>(secret), 4);
    end(start);
}

void wire_writer::add_ready(char state) {
    const std::size_t start = begin('Z');
    output_ += state;
    end(start);
}

void wire_writer::add_error(const sql_error& error, bool is_fatal) {
    const std::string severity = is_fatal ? "FATAL" : "ERROR";
    const std::size_t start = begin('E');
    add_string("S" + severity);
    add_string("V" + severity);
    add_string("C" + error.sqlstate);
    add_string("M" + error.message);
    output_ += '\0';
    end(start);
}

void wire_writer::add_empty(char type) {
    end(begin(type));
}

void wire_writer::add_row_description(const std::vector<std::string>& columns) {
    constexpr std::uint32_t variable_size = 0xffff;
    constexpr std::uint32_t no_modifier = 0xffffffff;
    const std::size_t start = begin('T');
    add_number(static_cast<std::uint32_t>(columns.size()), 2);
    for (const std::string& column : columns) {
        add_string(column);
        add_number(0, 4);  // Table.
        add_number(0, 2);  // Attribute.
        add_number(text_type, 4);
        add_number(variable_size, 2);
        add_number(no_modifier, 4);
        add_number(0, 2);  // Text format.
    }
    end(start);
}

void wire_writer::add_row(const sql_values& cells) {
    constexpr std::uint32_t null_length = 0xffffffff;
    const std::size_t start = begin('D');
    add_number(static_cast<std::uint32_t>(cells.size()), 2);
    for (const std::optional<std::string>& cell : cells) {
        add_number(cell ? static_cast<std::uint32_t>(cell->size()) : null_length, 4);
        output_ += cell.value_or("");
    }
    end(start);
}

void wire_writer::add_command_complete(const std::string& tag) {
    const std::size_t start = begin('C');
    add_string(tag);
    end(start);
}

void wire_writer::add_parameter_description(std::size_t parameters) {
    const std::size_t start = begin('t');
    add_number(static_cast<std::uint32_t>(parameters), 2);
    for (std::size_t i = 0; i < parameters; ++i) {
        add_number(text_type, 4);
    }
    end(start);
}

bool is_valid_text(std::string_view text) {
    if (text.find('\0') != std::string_view::npos) {
        return false;
    }
    for (std::size_t i = 0; i < text.size();) {
        const auto lead = static_cast<unsigned char>(text[i]);
        const std::size_t length = lead < 0x80   ? 1
                                   : lead < 0xc2 ? 0
                                   : lead < 0xe0 ? 2
                                   : lead < 0xf0 ? 3
                                   : lead < 0xf5 ? 4
                                                 : 0;
        if (length == 0 || i + length > text.size()) {
            return false;
        }
        std::uint32_t code = length == 1 ? lead : lead & (0xffU >> (length + 1));
        for (std::size_t j = 1; j < length; ++j) {
            const auto next = static_cast<unsigned char>(text[i + j]);
            if ((next & 0xc0U) != 0x80U) {
                return false;
            }
            code = (code << 6U) | (next & 0x3fU);
        }
        const bool is_surrogate = code >= 0xd800 && code <= 0xdfff;
        const bool is_overlong =
            (length == 3 && code < 0x800) || (length == 4 && code < 0x10000) || code > 0x10ffff;
        if (is_surrogate || is_overlong) {
            return false;
        }
        i += length;
    }
    return true;
}

}  // namespace hornbeamhook::standin::target
