#include "standin/platform/table_store.h"

namespace hornbeamhook::standin::platform {

transaction_result table_store::commit(const std::vector<row_condition>& conditions,
                                       const std::vector<row_write>& writes) {
    const std::scoped_lock lock(mutex_);
    for (const row_condition& condition : conditions) {
        const table_rows& rows = tables_[condition.table];
        const auto row = rows.find(condition.key);
        const bool holds = condition.version
                               ? row != rows.end() && row->second.version == *condition.version
                               : row == rows.end();
        if (!holds) {
            ++counters_[condition.table].conflicts;
            return {false, last_version_};
        }
    }
    ++last_version_;
    for (const row_write& write : writes) {
        ++counters_[write.table].writes;
        if (write.value) {
            tables_[write.table][write.key] = {last_version_, *write.value};
        } else {
            tables_[write.table].erase(write.key);
        }
    }
    return {true, last_version_};
}

std::optional<stored_row> table_store::get_row(const std::string& table, const std::string& key) {
    const std::scoped_lock lock(mutex_);
    table_counters& counters = counters_[table];
    ++counters.reads;
    const table_rows& rows = tables_[table];
    const auto row = rows.find(key);
    if (row == rows.end()) {
        return std::nullopt;
    }
    ++counters.rows_read;
    return row->second;
}

std::vector<std::pair<std::string, stored_row>> table_store::get_rows(const std::string& table,
                                                                      const std::string& prefix,
                                                                      const std::string& after,
                                                                      std::size_t limit) {
    const std::scoped_lock lock(mutex_);
    table_counters& counters = counters_[table];
    ++counters.reads;
    const table_rows& rows = tables_[table];
    std::vector<std::pair<std::string, stored_row>> result;
    auto row = after < prefix ? rows.lower_bound(prefix) : rows.upper_bound(after);
    for (; row != rows.end() && row->first.starts_with(prefix) && result.size() < limit; ++row) {
        result.emplace_back(*row);
    }
    counters.rows_read += result.size();
    return result;
}

std::map<std::string, table_counters> table_store::get_counters() const {
    const std::scoped_lock lock(mutex_);
    return counters_;
}

}  // namespace hornbeamhook::standin::platform
