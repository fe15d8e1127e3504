#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "protocol/target_calls.h"
#include "standin/target/target_server.h"
#include "support/free_port.h"
#include "transport/target_connection.h"

namespace hornbeamhook::tests {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using transport::target_connection;
using transport::target_error;
using transport::target_result;
using transport::target_statement;

// Long enough that only a hang reaches it on a busy machine.
inline constexpr milliseconds generous_timeout{20'000};

inline steady_clock::time_point soon() {
    return steady_clock::now() + generous_timeout;
}

/** Repeats a check until it holds; false when it did not within the generous timeout. */
inline bool eventually(const std::function<bool()>& check) {
    const auto deadline = soon();
    while (steady_clock::now() < deadline) {
        if (check()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

/** The value or error of one exchange. */
struct exchange_outcome {
    std::vector<target_result> results;
    std::optional<target_error> error;

    std::string get_sqlstate() const { return error ? error->sqlstate : ""; }
    std::string get_cell() const { return results.at(0).rows.at(0).at(0).value_or("NULL"); }
};

inline exchange_outcome run(target_connection& connection,
                            const std::vector<target_statement>& statements,
                            steady_clock::time_point deadline = soon()) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<exchange_outcome> {
            BOOST_LEAF_AUTO(results, connection.run(statements, deadline));
            return exchange_outcome{std::move(results), std::nullopt};
        },
        [](const target_error& error) {
            return exchange_outcome{{}, error};
        },
        [] {
            return exchange_outcome{{}, target_error{.message = "unknown error"}};
        });
}

/** A connection, or the error of opening it. */
struct open_outcome {
    std::unique_ptr<target_connection> connection;
    std::optional<target_error> error;
};

inline open_outcome open(const std::string& address, steady_clock::time_point deadline = soon()) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<open_outcome> {
            BOOST_LEAF_AUTO(connection, target_connection::open(address, deadline));
            return open_outcome{std::move(connection), std::nullopt};
        },
        [](const target_error& error) {
            return open_outcome{nullptr, error};
        },
        [] {
            return open_outcome{nullptr, target_error{.message = "unknown error"}};
        });
}

/** Opens a connection that must succeed. */
inline std::unique_ptr<target_connection> connect(const std::string& address) {
    open_outcome outcome = open(address);
    if (!outcome.connection) {
        throw std::runtime_error("cannot connect to " + address + ": " + outcome.error->message);
    }
    return std::move(outcome.connection);
}

/** A group of target stand-ins in this process; the first one is the primary of term 1. */
class target_group {
public:
    using adjust = std::function<void(standin::target::target_settings&)>;

    explicit target_group(int size, const adjust& change = {}) {
        std::vector<standin::target::target_settings> all(static_cast<std::size_t>(size));
        for (int i = 0; i < size; ++i) {
            all[i].name = get_name(i);
            all[i].listen_address = get_free_address();
            all[i].replication_address = get_free_address();
            all[i].initial_primary = get_name(0);
            all[i].connect_cost = milliseconds(0);
        }
        for (int i = 0; i < size; ++i) {
            for (int j = 0; j < size; ++j) {
                if (i != j) {
                    all[i].peers[get_name(j)] = all[j].replication_address;
                }
            }
            if (change) {
                change(all[i]);
            }
            settings_.push_back(all[i]);
            servers_.emplace_back();
            start(i);
        }
    }

    static std::string get_name(int index) {
        return std::string(1, static_cast<char>('a' + index));
    }

    const std::string& get_address(int index) const { return settings_.at(index).listen_address; }

    void start(int index) {
        servers_.at(index) = std::make_unique<standin::target::target_server>(settings_.at(index));
        servers_.at(index)->start();
    }

    void stop(int index) { servers_.at(index).reset(); }

    /** Changes faults; the answer's HTTP status. */
    int set_faults(int index, const nlohmann::json& faults) {
        return servers_.at(index)
            ->handle_control({.method = "POST", .path = "/control/faults", .body = faults.dump()})
            .status;
    }

    nlohmann::json get_report(int index) {
        return nlohmann::json::parse(
            servers_.at(index)->handle_control({.method = "GET", .path = "/control/status"}).body);
    }

    state::target_status get_status(int index) {
        return boost::leaf::try_handle_all(
            [&] { return state::parse_target_status(get_report(index).at("status")); },
            []() -> state::target_status { throw std::runtime_error("invalid status"); });
    }

private:
    std::vector<standin::target::target_settings> settings_;
    std::vector<std::unique_ptr<standin::target::target_server>> servers_;
};

/**
 * Calls fence or promote; the error's SQLSTATE, or empty after success. Repeats the call, which is
 * idempotent, when the target closed the connection because it was discarding a tail.
 */
inline std::string call(target_group& group, int index, const std::string& function,
                        state::term_number term, const std::string& claimant) {
    std::string sqlstate = "no answer";
    eventually([&] {
        const open_outcome outcome = open(group.get_address(index));
        if (!outcome.connection) {
            return false;
        }
        const exchange_outcome answer =
            run(*outcome.connection,
                {{"SELECT " + function + "($1, $2)", {std::to_string(term), claimant}}});
        if (answer.error && answer.error->kind != transport::target_failure_kind::sql_error) {
            return false;
        }
        sqlstate = answer.get_sqlstate();
        return true;
    });
    return sqlstate;
}

inline std::string fence(target_group& group, int index, state::term_number term,
                         const std::string& claimant) {
    return call(group, index, "hornbeamhook_fence", term, claimant);
}

inline std::string promote(target_group& group, int index, state::term_number term,
                           const std::string& claimant) {
    return call(group, index, "hornbeamhook_promote", term, claimant);
}

}  // namespace hornbeamhook::tests
