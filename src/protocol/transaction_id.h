#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>

#include "protocol/authenticated_text.h"

namespace hornbeamhook::protocol {

/** Names an open transaction: its home process and the number of its connection there. */
struct transaction_id {
    std::string home_vm;
    std::string home_address;
    std::uint64_t incarnation = 0;  ///< Of the home; a restarted home has lost the transaction.
    std::uint64_t number = 0;       ///< Unique in the home process.
    std::string pool;
    std::string caller;
    bool is_write = true;

    auto operator<=>(const transaction_id&) const = default;
};

/** Signs the id. The result can be part of a URL path. Fails with caller_error. */
boost::leaf::result<std::string> encode_transaction_id(const transaction_id& id,
                                                       const token_key_map& keys);

/** Verifies an id and that it belongs to `caller`. Fails with caller_error. */
boost::leaf::result<transaction_id> decode_transaction_id(const std::string& text,
                                                          const std::string& caller,
                                                          const token_key_map& keys);

}  // namespace hornbeamhook::protocol
