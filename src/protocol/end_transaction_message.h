#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace hornbeamhook::protocol {

/** An operator's request to a home to end one of its transactions. */
struct end_transaction_message {
    std::uint64_t incarnation = 0;  ///< Of the home; another process has other transactions.
    std::uint64_t transaction = 0;  ///< The home's number of the transaction.
    std::string pool;               ///< The operator's right was checked for this pool.
    std::string operator_name;      ///< For the audit record.

    bool operator==(const end_transaction_message&) const = default;
};

/** Reads the body of POST /internal/v1/end_transaction. Fails with state_error. */
boost::leaf::result<end_transaction_message> parse_end_transaction_message(
    const nlohmann::json& object);

/** The inverse of parse_end_transaction_message(). */
nlohmann::json to_json(const end_transaction_message& message);

}  // namespace hornbeamhook::protocol
