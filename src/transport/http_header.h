#pragma once

#include <string>

namespace hornbeamhook::transport {

/** A header of a request or an answer. */
struct http_header {
    std::string name;
    std::string value;
};

}  // namespace hornbeamhook::transport
