#include "gateway/table_copy.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "coordination/home_assignment.h"

namespace hornbeamhook::gateway {

namespace {

using nlohmann::json;

std::uint64_t get_row_digest(const stored_row& row) {
    return row.is_deleted
               ? 0
               : coordination::get_rendezvous_weight(row.key, std::to_string(row.version));
}

}  // namespace

std::string format_table_update(const table_update& update) {
    json rows = json::array();
    for (const stored_row& row : update.rows) {
        rows.push_back(json::array({row.key, row.value, row.version}));
    }
    return json{
        {"read_version", update.read_version}, {"versions", update.versions}, {"rows", rows}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<table_update> parse_table_update(const std::string& text) {
    const json object = json::parse(text, nullptr, false);
    try {
        table_update update;
        object.at("read_version").get_to(update.read_version);
        for (const auto& [key, version] : object.at("versions").items()) {
            update.versions[key] = version.get<row_version>();
        }
        for (const json& row : object.at("rows")) {
            update.rows.push_back({{}, row.at(0), row.at(1), row.at(2), false});
        }
        return update;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string format_table_changes(const table_changes& changes) {
    json rows = json::array();
    for (const stored_row& row : changes.rows) {
        rows.push_back(json::array({row.key, row.value, row.version, row.is_deleted}));
    }
    return json{{"read_version", changes.read_version}, {"digest", changes.digest}, {"rows", rows}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<table_changes> parse_table_changes(const std::string& text) {
    const json object = json::parse(text, nullptr, false);
    try {
        table_changes changes;
        object.at("read_version").get_to(changes.read_version);
        object.at("digest").get_to(changes.digest);
        for (const json& row : object.at("rows")) {
            changes.rows.push_back({{}, row.at(0), row.at(1), row.at(2), row.at(3)});
        }
        return changes;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::vector<stored_row> table_copy::apply(const std::vector<stored_row>& rows) {
    std::vector<stored_row> newer;
    for (const stored_row& row : rows) {
        const auto [known, is_new] = rows_.try_emplace(row.key);
        if (!is_new && known->second.version >= row.version) {
            continue;
        }
        // Digests are combined by exclusive or, so that one row can be taken out again.
        digest_ ^= (is_new ? 0 : get_row_digest(known->second)) ^ get_row_digest(row);
        known->second = row;
        newer.push_back(row);
    }
    return newer;
}

std::vector<stored_row> table_copy::remove_missing(const std::map<std::string, row_version>& listed,
                                                   row_version read_version) const {
    std::vector<stored_row> removed;
    for (const auto& [key, row] : rows_) {
        if (!row.is_deleted && !listed.contains(key) && row.version <= read_version) {
            removed.push_back({row.table, key, {}, read_version, true});
        }
    }
    return removed;
}

std::vector<stored_row> table_copy::apply_read(std::vector<stored_row> rows,
                                               row_version read_version) {
    std::map<std::string, row_version> listed;
    for (const stored_row& row : rows) {
        listed[row.key] = row.version;
    }
    const std::vector<stored_row> removed = remove_missing(listed, read_version);
    rows.insert(rows.end(), removed.begin(), removed.end());
    set_read_version(read_version);
    return apply(rows);
}

std::vector<stored_row> table_copy::apply_copied(std::vector<stored_row> rows) {
    std::erase_if(rows, [this](const stored_row& row) {
        return !rows_.contains(row.key) && row.version <= read_version_;
    });
    return apply(rows);
}

std::vector<stored_row> table_copy::apply_update(const table_update& update) {
    std::vector<stored_row> newer = apply(remove_missing(update.versions, update.read_version));
    const std::vector<stored_row> copied = apply_copied(update.rows);
    newer.insert(newer.end(), copied.begin(), copied.end());
    set_read_version(update.read_version);
    return newer;
}

table_update table_copy::get_update(row_version after) const {
    table_update update{read_version_, {}, {}};
    for (const auto& [key, row] : rows_) {
        if (row.is_deleted) {
            continue;
        }
        update.versions[key] = row.version;
        if (row.version > after) {
            update.rows.push_back(row);
        }
    }
    return update;
}

table_changes table_copy::get_changes(row_version since) const {
    table_changes changes{read_version_, digest_, {}};
    for (const auto& [key, row] : rows_) {
        if (row.version > since) {
            changes.rows.push_back(row);
        }
    }
    return changes;
}

std::vector<stored_row> table_copy::apply_changes(const table_changes& changes) {
    std::vector<stored_row> newer = apply_copied(changes.rows);
    if (digest_ == changes.digest) {
        set_read_version(changes.read_version);
    }
    return newer;
}

std::optional<stored_row> table_copy::find(const std::string& key) const {
    const auto entry = rows_.find(key);
    return entry == rows_.end() || entry->second.is_deleted ? std::nullopt
                                                            : std::optional(entry->second);
}

std::vector<stored_row> table_copy::get_rows() const {
    std::vector<stored_row> result;
    for (const auto& [key, row] : rows_) {
        if (!row.is_deleted) {
            result.push_back(row);
        }
    }
    return result;
}

std::vector<stored_row> table_copy::get_all_rows() const {
    std::vector<stored_row> result;
    for (const auto& [key, row] : rows_) {
        result.push_back(row);
    }
    return result;
}

row_version table_copy::get_newest_version() const {
    row_version newest = 0;
    for (const auto& [key, row] : rows_) {
        newest = std::max(newest, row.is_deleted ? 0 : row.version);
    }
    return newest;
}

void table_copy::set_read_version(row_version version) {
    read_version_ = std::max(read_version_, version);
}

}  // namespace hornbeamhook::gateway
