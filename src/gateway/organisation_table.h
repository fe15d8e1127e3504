#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace hornbeamhook::gateway {

/**
 * Digest of a caller's key. It is keyed with a secret of this process, so that neither the time of
 * a look-up nor a memory dump of the table tells anything about the keys. Digests of different
 * processes can't be compared.
 */
struct key_digest {
    static constexpr std::size_t size = 32;
    std::array<unsigned char, size> bytes{};

    auto operator<=>(const key_digest&) const = default;
};

/** Digest of `key`. Thread safe. Precondition: sodium_init() was called. */
key_digest make_key_digest(std::string_view key);

/** How many operations of an organisation all VMs together may start. */
struct operation_limit {
    std::int64_t rate_per_s = 0;
    std::int64_t burst = 0;  ///< Operations above the rate that may start at once.

    auto operator<=>(const operation_limit&) const = default;
};

/** A customer of the operators, on whose behalf callers connect. */
struct organisation {
    std::string name;
    std::int64_t priority = 0;             ///< 0 is the highest.
    std::optional<operation_limit> limit;  ///< Empty: no limit.

    auto operator<=>(const organisation&) const = default;
};

/** The organisations of one version of the configuration, and the keys of their callers. */
struct organisation_table {
    std::map<std::string, organisation> organisations;  ///< By name.
    std::map<key_digest, std::string> names;            ///< Names of organisations, by key.

    /** The organisation that holds the key; null if there is none. Thread safe. */
    const organisation* find_by_key(const key_digest& key) const;

    /** Null if there is none of this name. Thread safe. */
    const organisation* find(const std::string& name) const;

    bool operator==(const organisation_table&) const = default;
};

/** Names of the organisations whose limit is more than `share` of all limits together. Pure. */
std::set<std::string> get_large_organisations(const organisation_table& table, double share);

}  // namespace hornbeamhook::gateway
