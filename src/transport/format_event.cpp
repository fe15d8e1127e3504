#include "transport/format_event.h"

#include <algorithm>

namespace hornbeamhook::transport {

namespace {

/** Whether the byte could end a line, act on a terminal, or be read in several ways. */
bool is_escaped(char c) {
    return c < ' ' || c > '~';
}

bool needs_quotes(std::string_view value) {
    return value.empty() || value.find_first_of(" \"=\\") != std::string_view::npos ||
           std::any_of(value.begin(), value.end(), is_escaped);
}

std::string quote(std::string_view value) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result = "\"";
    for (const char c : value) {
        if (is_escaped(c)) {
            const auto byte = static_cast<unsigned char>(c);
            result += {'\\', 'x', digits[byte / digits.size()], digits[byte % digits.size()]};
            continue;
        }
        if (c == '"' || c == '\\') {
            result += '\\';
        }
        result += c;
    }
    return result + "\"";
}

}  // namespace

std::string format_event_value(std::string_view value) {
    return needs_quotes(value) ? quote(value) : std::string(value);
}

std::string format_event(const event_type& type, std::initializer_list<event_field> fields) {
    std::string line = "event=" + std::to_string(type.number) + " " + std::string(type.name);
    for (const event_field& field : fields) {
        line += " " + std::string(field.key) + "=" + format_event_value(field.value);
    }
    return line;
}

}  // namespace hornbeamhook::transport
