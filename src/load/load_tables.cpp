#include "load/load_tables.h"

#include "load/caller_client.h"

namespace hornbeamhook::load {

namespace {

constexpr std::int64_t initial_balance = 1000;

}  // namespace

load_tables::load_tables(const std::string& run)
    : entry_("entry_" + run),
      stock_("stock_" + run),
      balance_("balance_" + run),
      leg_("leg_" + run) {}

std::string load_tables::get_item(int number) {
    return "item" + std::to_string(number);
}

std::string load_tables::get_balance(int number) {
    return "balance" + std::to_string(number);
}

std::int64_t load_tables::get_balance_sum(const workload& mix) {
    return initial_balance * mix.balances;
}

nlohmann::json load_tables::make_setup(const workload& mix) const {
    std::string items;
    for (int i = 0; i < mix.items; ++i) {
        items += (i == 0 ? "('" : ", ('") + get_item(i) + "', 0, '')";
    }
    std::string balances;
    for (int i = 0; i < mix.balances; ++i) {
        balances += (i == 0 ? "('" : ", ('") + get_balance(i) + "', " +
                    std::to_string(initial_balance) + ", '')";
    }
    return nlohmann::json::array({
        make_statement(
            "CREATE TABLE " + entry_ + " (number INTEGER PRIMARY KEY, marker TEXT, item TEXT)", {}),
        make_statement("CREATE INDEX " + entry_ + "_marker ON " + entry_ + " (marker)", {}),
        make_statement(
            "CREATE TABLE " + stock_ + " (item TEXT PRIMARY KEY, version INTEGER, marker TEXT)",
            {}),
        make_statement(
            "CREATE TABLE " + balance_ + " (name TEXT PRIMARY KEY, quantity INTEGER, marker TEXT)",
            {}),
        make_statement("CREATE TABLE " + leg_ +
                           " (number INTEGER PRIMARY KEY, marker TEXT, name TEXT, delta INTEGER)",
                       {}),
        make_statement("CREATE INDEX " + leg_ + "_marker ON " + leg_ + " (marker)", {}),
        make_statement("INSERT INTO " + stock_ + " (item, version, marker) VALUES " + items, {}),
        make_statement("INSERT INTO " + balance_ + " (name, quantity, marker) VALUES " + balances,
                       {}),
    });
}

nlohmann::json load_tables::make_append(const std::string& marker) const {
    return nlohmann::json::array({
        make_statement("INSERT INTO " + entry_ + " (marker, item) VALUES ($1, '')", {marker}),
        make_statement("SELECT $1 AS echo", {marker}),
    });
}

nlohmann::json load_tables::make_adjust(const std::string& marker, const std::string& item) const {
    return nlohmann::json::array({
        make_statement("INSERT INTO " + entry_ + " (marker, item) VALUES ($1, $2)", {marker, item}),
        make_statement(
            "UPDATE " + stock_ + " SET version = version + 1, marker = $1 WHERE item = $2",
            {marker, item}),
        make_statement("SELECT $1 AS echo, version FROM " + stock_ + " WHERE item = $2",
                       {marker, item}),
    });
}

nlohmann::json load_tables::make_read_stock(const std::string& echo,
                                            const std::string& item) const {
    return nlohmann::json::array({make_statement(
        "SELECT $1 AS echo, version, marker FROM " + stock_ + " WHERE item = $2", {echo, item})});
}

nlohmann::json load_tables::make_read_entry(const std::string& echo,
                                            const std::string& marker) const {
    return nlohmann::json::array({make_statement(
        "SELECT $1 AS echo, count(*) FROM " + entry_ + " WHERE marker = $2", {echo, marker})});
}

nlohmann::json load_tables::make_read_sum(const std::string& echo) const {
    return nlohmann::json::array(
        {make_statement("SELECT $1 AS echo, sum(quantity) FROM " + balance_, {echo})});
}

nlohmann::json load_tables::make_leg(const std::string& marker, const std::string& balance,
                                     int delta) const {
    // The target needs the type of a parameter in arithmetic, so the small integer is spelled out.
    const std::string amount = std::to_string(delta);
    return nlohmann::json::array({
        make_statement("UPDATE " + balance_ + " SET quantity = quantity + (" + amount +
                           "), marker = $1 WHERE name = $2",
                       {marker, balance}),
        make_statement(
            "INSERT INTO " + leg_ + " (marker, name, delta) VALUES ($1, $2, " + amount + ")",
            {marker, balance}),
        make_statement("SELECT $1 AS echo", {marker}),
    });
}

nlohmann::json load_tables::make_read_back(const std::string& echo,
                                           const std::string& marker) const {
    return nlohmann::json::array({make_statement(
        "SELECT $1 AS echo, (SELECT count(*) FROM " + leg_ +
            " WHERE marker = $2), (SELECT count(*) FROM " + balance_ + " WHERE marker = $3)",
        {echo, marker, marker})});
}

nlohmann::json load_tables::make_list_entries(const std::string& echo, std::int64_t after,
                                              int limit) const {
    return nlohmann::json::array({make_statement(
        "SELECT $1 AS echo, number, marker, item FROM " + entry_ + " WHERE number > " +
            std::to_string(after) + " ORDER BY number LIMIT " + std::to_string(limit),
        {echo})});
}

nlohmann::json load_tables::make_list_legs(const std::string& echo, std::int64_t after,
                                           int limit) const {
    return nlohmann::json::array({make_statement(
        "SELECT $1 AS echo, number, marker FROM " + leg_ + " WHERE number > " +
            std::to_string(after) + " ORDER BY number LIMIT " + std::to_string(limit),
        {echo})});
}

nlohmann::json load_tables::make_list_stock(const std::string& echo) const {
    return nlohmann::json::array(
        {make_statement("SELECT $1 AS echo, item, version FROM " + stock_, {echo})});
}

}  // namespace hornbeamhook::load
