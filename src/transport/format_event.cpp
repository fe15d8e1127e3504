#include "transport/format_event.h"

namespace hornbeamhook::transport {

namespace {

bool needs_quotes(std::string_view value) {
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

std::string quote(std::string_view value) {
    std::string result = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            result += '\\';
        }
        result += (c == '\n' || c == '\r') ? ' ' : c;
    }
    return result + "\"";
}

}  // namespace

std::string format_event(const event_type& type, std::initializer_list<event_field> fields) {
    std::string line = "event=" + std::to_string(type.number) + " " + std::string(type.name);
    for (const event_field& field : fields) {
        line += " " + std::string(field.key) + "=" +
                (needs_quotes(field.value) ? quote(field.value) : field.value);
    }
    return line;
}

}  // namespace hornbeamhook::transport
