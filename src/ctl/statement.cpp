#include "ctl/statement.h"

namespace hornbeamhook::ctl {

// The three types contain each other. Defaulted comparisons make clang 14 recurse without end when
// it works out their exception specifications, so they are written out.

bool combination::operator==(const combination& other) const {
    return is_and == other.is_and && parts == other.parts;
}

bool negation::operator==(const negation& other) const {
    return part == other.part;
}

bool expression::operator==(const expression& other) const {
    return node == other.node;
}

}  // namespace hornbeamhook::ctl
