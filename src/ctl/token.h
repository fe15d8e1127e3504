#pragma once

#include <string>

#include "ctl/command_error.h"

namespace hornbeamhook::ctl {

/** Kinds of tokens of the operator language. */
enum class token_kind {
    word,    ///< Letters, digits and "_ - . / : * %".
    text,    ///< Between quotes, without them.
    symbol,  ///< One of , ; ( ) = != < <= > >=
    end,     ///< After the last token.
};

/** One token. */
struct token {
    token_kind kind = token_kind::end;
    std::string text;
    input_position at;
    std::size_t offset = 0;  ///< Of its first byte in the input.

    bool operator==(const token&) const = default;
};

}  // namespace hornbeamhook::ctl
