#include "state/json_reader.h"

#include <utility>

namespace hornbeamhook::state {

namespace {

// Values in error messages are cut to this length so that a large body is not echoed back.
constexpr std::size_t max_shown_value = 80;

// Printing a value recurses, so deep nesting in a request would exhaust the stack.
constexpr int max_depth = 64;

bool is_too_deep(std::string_view text) {
    int depth = 0;
    bool is_in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (is_in_string) {
            i += c == '\\' ? 1 : 0;
            is_in_string = c != '"';
        } else if (c == '"') {
            is_in_string = true;
        } else if (c == '[' || c == '{') {
            if (++depth > max_depth) {
                return true;
            }
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
    return false;
}

std::string show(const nlohmann::json& value) {
    std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > max_shown_value) {
        text.resize(max_shown_value);
        text += "...";
    }
    return text;
}

}  // namespace

json_reader::json_reader(const nlohmann::json& object, std::string path)
    : object_(object), path_(std::move(path)) {
    if (!object_.is_object()) {
        error_ = state_error{path_, path_ + ": " + show(object_) + " is not an object"};
    }
}

std::string json_reader::get_path(std::string_view field) const {
    if (path_.empty()) {
        return std::string(field);
    }
    return path_ + "." + std::string(field);
}

void json_reader::fail(std::string_view field, std::string message) {
    if (!error_) {
        error_ = state_error{get_path(field), get_path(field) + ": " + std::move(message)};
    }
}

void json_reader::fail_type(std::string_view field, const nlohmann::json& value,
                            std::string_view allowed) {
    fail(field, show(value) + " is not allowed; allowed: " + std::string(allowed));
}

const nlohmann::json* json_reader::find(std::string_view field) {
    known_.emplace(field);
    if (!object_.is_object()) {
        return nullptr;
    }
    const auto it = object_.find(field);
    if (it == object_.end() || it->is_null()) {
        return nullptr;
    }
    return &*it;
}

bool json_reader::has(std::string_view field) {
    return find(field) != nullptr;
}

std::string json_reader::get_string(std::string_view field, std::optional<std::string> fallback,
                                    std::size_t max_length) {
    const nlohmann::json* value = find(field);
    if (value == nullptr) {
        if (!fallback) {
            fail(field, "missing; allowed: a string");
        }
        return fallback.value_or("");
    }
    if (!value->is_string() || value->get_ref<const std::string&>().size() > max_length) {
        fail_type(field, *value, "a string of at most " + std::to_string(max_length) + " bytes");
        return fallback.value_or("");
    }
    return value->get<std::string>();
}

std::int64_t json_reader::get_integer(std::string_view field, std::int64_t min, std::int64_t max,
                                      std::optional<std::int64_t> fallback) {
    const std::string allowed =
        "an integer from " + std::to_string(min) + " to " + std::to_string(max);
    const nlohmann::json* value = find(field);
    if (value == nullptr) {
        if (!fallback) {
            fail(field, "missing; allowed: " + allowed);
        }
        return fallback.value_or(min);
    }
    const bool is_too_large =
        value->is_number_unsigned() &&
        value->get<std::uint64_t>() >
            static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!value->is_number_integer() || is_too_large || value->get<std::int64_t>() < min ||
        value->get<std::int64_t>() > max) {
        fail_type(field, *value, allowed);
        return fallback.value_or(min);
    }
    return value->get<std::int64_t>();
}

double json_reader::get_number(std::string_view field, double min, double max,
                               std::optional<double> fallback) {
    const std::string allowed =
        "a number from " + std::to_string(min) + " to " + std::to_string(max);
    const nlohmann::json* value = find(field);
    if (value == nullptr) {
        if (!fallback) {
            fail(field, "missing; allowed: " + allowed);
        }
        return fallback.value_or(min);
    }
    if (!value->is_number() || value->get<double>() < min || value->get<double>() > max) {
        fail_type(field, *value, allowed);
        return fallback.value_or(min);
    }
    return value->get<double>();
}

bool json_reader::get_boolean(std::string_view field, std::optional<bool> fallback) {
    const nlohmann::json* value = find(field);
    if (value == nullptr) {
        if (!fallback) {
            fail(field, "missing; allowed: true or false");
        }
        return fallback.value_or(false);
    }
    if (!value->is_boolean()) {
        fail_type(field, *value, "true or false");
        return fallback.value_or(false);
    }
    return value->get<bool>();
}

std::string json_reader::get_choice(std::string_view field, const std::set<std::string>& allowed,
                                    std::optional<std::string> fallback) {
    std::string list;
    for (const std::string& choice : allowed) {
        list += (list.empty() ? "" : ", ") + choice;
    }
    const nlohmann::json* value = find(field);
    if (value == nullptr) {
        if (!fallback) {
            fail(field, "missing; allowed: " + list);
        }
        return fallback.value_or("");
    }
    if (!value->is_string() || !allowed.contains(value->get<std::string>())) {
        fail_type(field, *value, list);
        return fallback.value_or("");
    }
    return value->get<std::string>();
}

const nlohmann::json* json_reader::get_array(std::string_view field, bool required) {
    const nlohmann::json* value = find(field);
    if (value == nullptr) {
        if (required) {
            fail(field, "missing; allowed: an array");
        }
        return nullptr;
    }
    if (!value->is_array()) {
        fail_type(field, *value, "an array");
        return nullptr;
    }
    return value;
}

const nlohmann::json* json_reader::get_object(std::string_view field, bool required) {
    const nlohmann::json* value = find(field);
    if (value == nullptr) {
        if (required) {
            fail(field, "missing; allowed: an object");
        }
        return nullptr;
    }
    if (!value->is_object()) {
        fail_type(field, *value, "an object");
        return nullptr;
    }
    return value;
}

leaf::result<void> json_reader::finish() {
    if (!error_ && object_.is_object()) {
        for (const auto& [name, value] : object_.items()) {
            if (!known_.contains(name)) {
                fail(name, "unknown field with value " + show(value));
                break;
            }
        }
    }
    if (error_) {
        return leaf::new_error(*error_);
    }
    return {};
}

leaf::result<nlohmann::json> parse_json(std::string_view text, std::string_view what) {
    if (is_too_deep(text)) {
        return leaf::new_error(state_error{
            std::string(what),
            std::string(what) + ": nested deeper than " + std::to_string(max_depth) + " levels"});
    }
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error& error) {
        return leaf::new_error(state_error{
            std::string(what),
            std::string(what) + ": malformed JSON at byte " + std::to_string(error.byte)});
    } catch (const nlohmann::json::out_of_range&) {
        return leaf::new_error(
            state_error{std::string(what), std::string(what) + ": a number is out of range"});
    }
}

}  // namespace hornbeamhook::state
