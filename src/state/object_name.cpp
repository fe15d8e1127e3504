#include "state/object_name.h"

#include <algorithm>

#include "state/state_error.h"

namespace hornbeamhook::state {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t max_name_length = 64;

bool is_name(const std::string& text) {
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                      c == '_' || c == '-' || c == '.';
           });
}

}  // namespace

std::pair<std::string, std::string> split_target_name(const std::string& name) {
    const std::size_t slash = name.find('/');
    if (slash == std::string::npos) {
        return {};
    }
    return {name.substr(0, slash), name.substr(slash + 1)};
}

leaf::result<void> check_object_name(const std::string& kind, const std::string& name) {
    const std::string allowed_characters =
        "1 to 64 characters from letters, digits, \"_\", \"-\" and \".\"";
    if (!object_kinds.contains(kind)) {
        return leaf::new_error(state_error{
            "kind", "kind: \"" + kind +
                        "\" is not allowed; allowed: caller, operator, pool, target, token_key"});
    }
    if (kind == "target") {
        const auto [pool, target] = split_target_name(name);
        if (!is_name(pool) || !is_name(target)) {
            return leaf::new_error(state_error{
                "name", "name: \"" + name + "\" is not allowed; allowed: \"pool/target\", each " +
                            allowed_characters});
        }
        return {};
    }
    if (!is_name(name)) {
        return leaf::new_error(state_error{
            "name", "name: \"" + name + "\" is not allowed; allowed: " + allowed_characters});
    }
    return {};
}

std::string read_name(json_reader& reader, const char* field, bool allow_star) {
    std::string name = reader.get_string(field);
    if (!is_name(name) && !(allow_star && name == "*")) {
        reader.fail(field, "\"" + name + "\" is not allowed; allowed: 1 to 64 characters from " +
                               "letters, digits, \"_\", \"-\" and \".\"");
    }
    return name;
}

std::string get_object_path(const std::string& kind, const std::string& name) {
    return kind + " " + name;
}

std::string get_object_key(const std::string& kind, const std::string& name) {
    return kind + "/" + name;
}

}  // namespace hornbeamhook::state
