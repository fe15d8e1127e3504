#pragma once

#include <boost/leaf.hpp>
#include <set>
#include <string>
#include <utility>

#include "state/json_reader.h"

namespace hornbeamhook::state {

/** Kinds of configured objects. Targets are named "pool/target", the others by one word. */
inline const std::set<std::string> object_kinds{"pool", "target", "caller", "operator",
                                                "token_key"};

/** Splits "pool/target"; both parts are empty when the name is not of that form. Pure. */
std::pair<std::string, std::string> split_target_name(const std::string& name);

/** Fails with state_error when the kind does not exist or the name is not allowed for it. Pure. */
boost::leaf::result<void> check_object_name(const std::string& kind, const std::string& name);

/** Reads a field that holds one word, or `*` when `allow_star`; the reader keeps any error. */
std::string read_name(json_reader& reader, const char* field, bool allow_star = false);

/** How errors name an object: `kind "name"`. Pure. */
std::string get_object_path(const std::string& kind, const std::string& name);

/** Key of an object among all kinds. Pure. */
std::string get_object_key(const std::string& kind, const std::string& name);

}  // namespace hornbeamhook::state
