#pragma once

#include <cstdint>

namespace hornbeamhook::coordination {

/**
 * Version of a row or of the whole store: the store's era, which rises when the store comes back
 * from an earlier copy, and the number that the store counts within the era. Numbers are given out
 * again after a restore; versions rise over the whole life of the store. Below the first era the
 * version is the number.
 */
using store_version = std::int64_t;

/** Numbers are below this; versions stay readable in logs as the era followed by the number. */
inline constexpr std::int64_t numbers_per_era = 1'000'000'000'000;

/** The version with this number in an era; 0 if the number is 0, which means no row. Pure. */
constexpr store_version make_store_version(std::int64_t era, std::int64_t number) {
    return number == 0 ? 0 : era * numbers_per_era + number;
}

/** The version of a row that does not exist in an era; below all others of the era. Pure. */
constexpr store_version get_first_version(std::int64_t era) {
    return era * numbers_per_era;
}

/** The era of a version; 0 for a store without eras. Pure. */
constexpr std::int64_t get_era(store_version version) {
    return version / numbers_per_era;
}

/** The number by which the store knows the version. Pure. */
constexpr std::int64_t get_number(store_version version) {
    return version % numbers_per_era;
}

}  // namespace hornbeamhook::coordination
