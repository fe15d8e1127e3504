#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "load/workload.h"

namespace hornbeamhook::load {

/** Names and statements of the tables of one run; each run has its own, so runs never mix. */
class load_tables {
public:
    /** `run` is part of every table name. */
    explicit load_tables(const std::string& run);

    /** Statements that create and fill the tables of one pool. */
    nlohmann::json make_setup(const workload& mix) const;

    /** The sum of all balances after the setup. */
    static std::int64_t get_balance_sum(const workload& mix);

    /** The name of a stock row or balance. */
    static std::string get_item(int number);
    static std::string get_balance(int number);

    /** Adds a row; the last statement selects the marker back. */
    nlohmann::json make_append(const std::string& marker) const;

    /** Adds a row and raises the version of an item; selects marker and version back. */
    nlohmann::json make_adjust(const std::string& marker, const std::string& item) const;

    /** Reads echo, version and marker of an item. */
    nlohmann::json make_read_stock(const std::string& echo, const std::string& item) const;

    /** Reads echo and number of rows with a marker. */
    nlohmann::json make_read_entry(const std::string& echo, const std::string& marker) const;

    /** Reads echo and the sum of all balances. */
    nlohmann::json make_read_sum(const std::string& echo) const;

    /** One leg of a transaction; selects the marker back. */
    nlohmann::json make_leg(const std::string& marker, const std::string& balance, int delta) const;

    /** Reads echo, own legs and balances with the own marker within a transaction. */
    nlohmann::json make_read_back(const std::string& echo, const std::string& marker) const;

    /** Reads up to `limit` rows after a row number: echo, number, marker, item. */
    nlohmann::json make_list_entries(const std::string& echo, std::int64_t after, int limit) const;

    /** The same for legs: echo, number, marker. */
    nlohmann::json make_list_legs(const std::string& echo, std::int64_t after, int limit) const;

    /** Reads all stock rows: echo, item, version. */
    nlohmann::json make_list_stock(const std::string& echo) const;

private:
    std::string entry_;
    std::string stock_;
    std::string balance_;
    std::string leg_;
};

}  // namespace hornbeamhook::load
