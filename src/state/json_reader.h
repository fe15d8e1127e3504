#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "state/state_error.h"

namespace hornbeamhook::state {

namespace leaf = boost::leaf;

/**
 * Reads the fields of one JSON object, checks them, and reports unknown fields.
 *
 * Getters return a fallback after an error; the first error is kept and returned by finish(),
 * so a parse function reads all fields first and checks once. Not thread safe.
 */
class json_reader {
public:
    /** `path` prefixes field names in errors, for example "pools[2]". `object` must outlive this.
     */
    json_reader(const nlohmann::json& object, std::string path);

    /** A string of at most `max_length` bytes; a missing field is an error unless `fallback` is
     * set. */
    std::string get_string(std::string_view field, std::optional<std::string> fallback = {},
                           std::size_t max_length = 65536);

    /** An integer within [min, max]; a missing field is an error unless `fallback` is set. */
    std::int64_t get_integer(std::string_view field, std::int64_t min, std::int64_t max,
                             std::optional<std::int64_t> fallback = {});

    /** A number within [min, max]; a missing field is an error unless `fallback` is set. */
    double get_number(std::string_view field, double min, double max,
                      std::optional<double> fallback = {});

    /** A boolean; a missing field is an error unless `fallback` is set. */
    bool get_boolean(std::string_view field, std::optional<bool> fallback = {});

    /** One of `allowed`; a missing field is an error unless `fallback` is set. */
    std::string get_choice(std::string_view field, const std::set<std::string>& allowed,
                           std::optional<std::string> fallback = {});

    /** The array under `field`, or null with an error when it is missing and `required`. */
    const nlohmann::json* get_array(std::string_view field, bool required = true);

    /** The object under `field`, or null with an error when it is missing and `required`. */
    const nlohmann::json* get_object(std::string_view field, bool required = true);

    /** Whether `field` is present and not null. Marks it as known. */
    bool has(std::string_view field);

    /** Records an error of the caller's own check; only the first error is kept. */
    void fail(std::string_view field, std::string message);

    /** The path of `field`, for nested readers. */
    std::string get_path(std::string_view field) const;

    /** Success, or the first error; fields nobody asked for are errors. */
    leaf::result<void> finish();

private:
    const nlohmann::json* find(std::string_view field);
    void fail_type(std::string_view field, const nlohmann::json& value, std::string_view allowed);

    const nlohmann::json& object_;
    std::string path_;
    std::set<std::string, std::less<>> known_;
    std::optional<state_error> error_;
};

/** Parses text as JSON; the error says at which byte parsing stopped. */
leaf::result<nlohmann::json> parse_json(std::string_view text, std::string_view what);

}  // namespace hornbeamhook::state
