#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/platform_protocol.h"

namespace hornbeamhook::gateway {

/** Difference between a copy of a table and an older copy of it. */
struct table_update {
    row_version read_version = 0;                 ///< The store's version that the copy reflects.
    std::map<std::string, row_version> versions;  ///< Of all rows.
    std::vector<stored_row> rows;                 ///< Those newer than the older copy.

    bool operator==(const table_update&) const = default;
};

/** What changed in a copy of a table since an earlier version of the store. */
struct table_changes {
    row_version read_version = 0;  ///< The store's version that the copy reflects.
    std::uint64_t digest = 0;      ///< Of the copy.
    std::vector<stored_row> rows;  ///< Removed ones included.

    bool operator==(const table_changes&) const = default;
};

/** Formats an update as JSON. Bytes that are not valid UTF-8 are replaced. Thread safe. */
std::string format_table_update(const table_update& update);

/** Empty when the text is not a valid update. Thread safe. */
std::optional<table_update> parse_table_update(const std::string& text);

/** As format_table_update(). Thread safe. */
std::string format_table_changes(const table_changes& changes);

/** Empty when the text is not valid. Thread safe. */
std::optional<table_changes> parse_table_changes(const std::string& text);

/**
 * A VM's copy of one table of the store. Rows that were removed are remembered with the version at
 * which they were missing, so that an older copy of another VM does not bring them back. Not thread
 * safe.
 */
class table_copy {
public:
    /** Applies changed rows; returns those that are newer than the known ones. */
    std::vector<stored_row> apply(const std::vector<stored_row>& rows);

    /** Applies a read of all rows at `read_version`: other rows were removed. Returns the newer
     * rows, removed ones included. */
    std::vector<stored_row> apply_read(std::vector<stored_row> rows, row_version read_version);

    /**
     * Applies rows of another VM's copy, which may be older than this one. A row that this copy
     * lacks although it reflects a later version of the store was removed. Returns the newer rows.
     */
    std::vector<stored_row> apply_copied(std::vector<stored_row> rows);

    /** Applies the difference to another VM's copy; returns the newer rows, removed ones included.
     */
    std::vector<stored_row> apply_update(const table_update& update);

    /** The difference to a copy whose newest row has version `after`. */
    table_update get_update(row_version after) const;

    /** The changes since the store's version `since`, for a copy that reflects it. */
    table_changes get_changes(row_version since) const;

    /**
     * Applies the changes to another VM's copy; returns the newer rows, removed ones included. If
     * the digest differs from theirs afterwards, this copy lacks a change and keeps its read
     * version; only get_update() then brings it up to date.
     */
    std::vector<stored_row> apply_changes(const table_changes& changes);

    /** The row with this key; empty if there is none or it was removed. */
    std::optional<stored_row> find(const std::string& key) const;

    /** The rows, without removed ones. */
    std::vector<stored_row> get_rows() const;

    /** All rows, removed ones included. */
    std::vector<stored_row> get_all_rows() const;

    /** Digest of the keys and versions of all rows; equal copies have equal digests on all VMs. */
    std::uint64_t get_digest() const { return digest_; }

    /** Version of the newest row; 0 without rows. */
    row_version get_newest_version() const;

    /** The store's version that this copy reflects; 0 before the first read. */
    row_version get_read_version() const { return read_version_; }

    /** Records that this copy reflects the store's `version`. */
    void set_read_version(row_version version);

private:
    std::vector<stored_row> remove_missing(const std::map<std::string, row_version>& listed,
                                           row_version read_version) const;

    std::map<std::string, stored_row> rows_;  ///< Includes removed rows.
    std::uint64_t digest_ = 0;
    row_version read_version_ = 0;
};

}  // namespace hornbeamhook::gateway
