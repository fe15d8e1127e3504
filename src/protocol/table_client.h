#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "transport/http_client.h"

namespace hornbeamhook::protocol {

/** Failure of a call to the platform's store. */
struct table_error {
    bool may_have_taken_effect = false;  ///< The answer was lost after sending.
    std::string message;

    bool operator==(const table_error&) const = default;
};

/** One row of the table service. */
struct table_row {
    std::string key;
    std::uint64_t version = 0;  ///< Raised by each put of this row.
    nlohmann::json value;

    bool operator==(const table_row&) const = default;
};

/** Condition of a table transaction: the row has this version, or is absent when empty. */
struct table_condition {
    std::string table;
    std::string key;
    std::optional<std::uint64_t> version;
};

/** One put (or delete when `value` is empty) of a table transaction. */
struct table_write {
    std::string table;
    std::string key;
    std::optional<nlohmann::json> value;
};

/** One VM of the platform's list. */
struct vm_entry {
    std::string vm;
    std::string address;
    std::string place;
    std::string data_center;
    bool is_leaving = false;

    auto operator<=>(const vm_entry&) const = default;
};

/** Client of the platform: table service, object store, VM list. Blocking. Thread safe. */
class table_client {
public:
    /** `address` is "ip:port" of the platform; `timeout` bounds each call. */
    table_client(std::string address, std::chrono::milliseconds timeout);

    /** The row, or empty when absent. Fails with table_error. */
    boost::leaf::result<std::optional<table_row>> get_row(const std::string& table,
                                                          const std::string& key);

    /** Rows in key order with this prefix, after key `after`, at most `limit`. Fails with
     * table_error. */
    boost::leaf::result<std::vector<table_row>> get_rows(const std::string& table,
                                                         const std::string& prefix,
                                                         const std::string& after, int limit);

    /** Commits all writes if all conditions hold; false when one does not. Fails with table_error.
     */
    boost::leaf::result<bool> commit(const std::vector<table_condition>& conditions,
                                     const std::vector<table_write>& writes);

    /** Like commit(), but returns the new version of all rows put, or empty when a condition does
     * not hold. */
    boost::leaf::result<std::optional<std::uint64_t>> commit_rows(
        const std::vector<table_condition>& conditions, const std::vector<table_write>& writes);

    /** Stores an object. Fails with table_error. */
    boost::leaf::result<void> put_object(const std::string& name, const std::string& body);

    /** The object, or empty when absent. Fails with table_error. */
    boost::leaf::result<std::optional<std::string>> get_object(const std::string& name);

    /** The VM list. Fails with table_error. */
    boost::leaf::result<std::vector<vm_entry>> get_vms();

    /** Registers or updates a VM in the list. Fails with table_error. */
    boost::leaf::result<void> put_vm(const vm_entry& entry);

private:
    transport::http_client http_;
    std::string address_;
    std::chrono::milliseconds timeout_;
};

}  // namespace hornbeamhook::protocol
