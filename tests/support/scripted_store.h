#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "transport/http_listener.h"

namespace hornbeamhook::tests {

/**
 * A store of rows on the test's own loop. It executes reads and conditional changes, never answers
 * a watch, and can hold changes back: their callers get no answer.
 */
class scripted_store {
public:
    using row_key = std::pair<std::string, std::string>;  ///< Table and key.

    struct row {
        std::string value;  ///< As sent.
        std::int64_t version = 0;
    };

    scripted_store(transport::event_loop& loop, const transport::endpoint& address)
        : listener_(loop, address,
                    [this](const transport::http_call& call,
                           const transport::http_listener::responder& respond) {
                        serve(call, respond);
                    }) {}

    /** Decides whether a change, the body of its call, is held back; by default none is. */
    std::function<bool(const nlohmann::json&)> must_hold = [](const nlohmann::json&) {
        return false;
    };

    /** Executes the changes held back so far, in their order. */
    void execute_held() {
        for (const nlohmann::json& change : std::exchange(held_, {})) {
            apply(change);
        }
    }

    std::size_t count_held() const { return held_.size(); }

    std::map<row_key, row> rows;

private:
    static row_key get_key(const nlohmann::json& entry) {
        return {entry.at("Table"), entry.at("Key")};
    }

    std::int64_t get_version(const row_key& key) const {
        const auto found = rows.find(key);
        return found == rows.end() ? 0 : found->second.version;
    }

    bool apply(const nlohmann::json& change) {
        for (const nlohmann::json& entry : change.at("Expect")) {
            if (get_version(get_key(entry)) != entry.at("RowVersion")) {
                return false;
            }
        }
        ++version_;
        for (const nlohmann::json& entry : change.at("Puts")) {
            rows[get_key(entry)] = {entry.at("Value"), version_};
        }
        for (const nlohmann::json& entry : change.at("Remove")) {
            rows.erase(get_key(entry));
        }
        return true;
    }

    std::string format_table(const std::string& table) const {
        nlohmann::json list = nlohmann::json::array();
        for (const auto& [key, entry] : rows) {
            if (key.first == table) {
                list.push_back({{"Table", table},
                                {"Key", key.second},
                                {"Value", entry.value},
                                {"RowVersion", entry.version}});
            }
        }
        return nlohmann::json{{"rows", list}, {"RowVersion", version_}}.dump();
    }

    void serve(const transport::http_call& call,
               const transport::http_listener::responder& respond) {
        const std::string read = "/v1/rows-get?Table=";
        if (call.path.starts_with(read)) {
            const std::string table =
                call.path.substr(read.size(), call.path.find('&') - read.size());
            respond({.status = 200, .body = format_table(table)});
        } else if (call.path == "/v1/rows-tx") {
            const nlohmann::json change = nlohmann::json::parse(call.body);
            if (must_hold(change)) {
                held_.push_back(change);
                return;
            }
            const bool is_applied = apply(change);
            respond({.status = is_applied ? 200 : 412,
                     .body = is_applied ? nlohmann::json{{"RowVersion", version_}}.dump()
                                        : format_table(change.at("Expect").at(0).at("Table"))});
        }
    }

    std::int64_t version_ = 1;
    std::vector<nlohmann::json> held_;
    transport::http_listener listener_;
};

}  // namespace hornbeamhook::tests
