#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "proxy/target_session.h"
#include "state/target_status.h"

namespace hornbeamhook::tests {

/** What happens to one exchange with the fake target. */
enum class exchange_fate {
    normal,
    lost_before_sending,  ///< Fails; no byte left.
    lost_before_running,  ///< Times out; the target never got it.
    lost_after_running,   ///< Times out; the target ran it.
};

/**
 * A target in memory: rows with unique values, the table of idempotency keys, one log. Statements:
 * "INSERT <value>", "SELECT", "FAIL". Faults are injected per exchange. Thread safe.
 */
class fake_target : public proxy::session_source {
public:
    /** Decides the fate of the next exchange; called with its statements. */
    using fate_function =
        std::function<exchange_fate(const std::vector<transport::target_statement>&)>;

    struct key_row {
        std::string digest;
        std::optional<std::string> result;
    };

    proxy::session_result acquire(const std::string& pool, const state::target_description& target,
                                  state::time_point deadline) override;
    int get_quota(const std::string& pool, const state::target_description& target) override;

    fate_function get_fate = [](const auto&) { return exchange_fate::normal; };
    bool refuses_connections = false;
    state::target_status status;
    std::map<std::string, int> rows;      ///< Committed, with how often.
    std::map<std::string, key_row> keys;  ///< "caller/key".
    bool has_key_table = false;
    int exchanges = 0;
    int sessions = 0;      ///< Open now.
    int caller_sends = 0;  ///< Exchanges that carried statements of a caller.

private:
    friend class fake_session;
    std::mutex mutex_;
};

/** One connection to the model. */
class fake_session : public proxy::target_session {
public:
    explicit fake_session(fake_target& target) : target_(target) { ++target_.sessions; }
    ~fake_session() override { --target_.sessions; }

    proxy::exchange_result run(const std::vector<transport::target_statement>& statements,
                               state::time_point /*deadline*/) override {
        const std::scoped_lock lock(target_.mutex_);
        ++target_.exchanges;
        const exchange_fate fate =
            is_broken_ ? exchange_fate::lost_before_sending : target_.get_fate(statements);
        for (const transport::target_statement& statement : statements) {
            if (statement.sql.starts_with("INSERT <") &&
                fate != exchange_fate::lost_before_sending) {
                ++target_.caller_sends;
            }
        }
        if (fate == exchange_fate::lost_before_sending) {
            is_broken_ = true;
            return transport::target_error{transport::target_failure_kind::closed, false};
        }
        proxy::exchange_result result = std::vector<transport::target_result>();
        if (fate != exchange_fate::lost_before_running) {
            result = run_all(statements);
        }
        if (fate != exchange_fate::normal) {
            is_broken_ = true;
            return transport::target_error{transport::target_failure_kind::timeout, true};
        }
        return result;
    }

    transport::transaction_state get_transaction_state() const override {
        return is_open_ ? transport::transaction_state::open : transport::transaction_state::idle;
    }

    bool is_broken() const override { return is_broken_; }

private:
    using pending_key = std::pair<std::string, fake_target::key_row>;

    proxy::exchange_result run_all(const std::vector<transport::target_statement>& statements) {
        std::vector<transport::target_result> results;
        for (std::size_t i = 0; i < statements.size(); ++i) {
            transport::target_result result;
            const std::string sqlstate = run_one(statements[i], result);
            if (!sqlstate.empty()) {
                is_open_ = false;
                is_broken_ = true;  // As a failed transaction is never used again.
                return transport::target_error{transport::target_failure_kind::sql_error, true,
                                               sqlstate, "model", i};
            }
            results.push_back(std::move(result));
        }
        return results;
    }

    /** Returns an SQLSTATE, or empty. */
    std::string run_one(const transport::target_statement& statement,
                        transport::target_result& result) {
        const std::string& sql = statement.sql;
        if (sql == "BEGIN") {
            is_open_ = true;
            rows_.clear();
            keys_.clear();
        } else if (sql == "COMMIT") {
            return commit();
        } else if (sql == "ROLLBACK" || sql == "DISCARD ALL") {
            is_open_ = false;
        } else if (sql == "FAIL") {
            return "22012";
        } else if (sql.starts_with("INSERT <")) {
            if (!target_.status.is_primary) {
                return "HB002";
            }
            rows_.push_back(sql);
            result.affected = 1;
        } else if (sql.starts_with("CREATE TABLE IF NOT EXISTS hornbeamhook_request")) {
            target_.has_key_table = true;
        } else if (sql.starts_with("INSERT INTO hornbeamhook_request")) {
            return insert_key(statement);
        } else if (sql.starts_with("UPDATE hornbeamhook_request")) {
            keys_.back().second.result = statement.parameters[0];
        } else if (sql.starts_with("SELECT digest, result")) {
            select_key(statement, result);
        } else if (sql == "SELECT hornbeamhook_status()") {
            result.rows = {{state::to_json(target_.status).dump()}};
        } else if (sql == "SELECT hornbeamhook_last_commit()") {
            result.rows = {{"{\"term\":" + std::to_string(target_.status.follow_term) +
                            ",\"position\":" + std::to_string(target_.status.position) + "}"}};
        } else {
            result.columns = {"count"};
            result.rows = {{std::to_string(target_.rows.size())}};
        }
        return "";
    }

    std::string insert_key(const transport::target_statement& statement) {
        if (!target_.has_key_table) {
            return "42P01";
        }
        const std::string name = *statement.parameters[0] + "/" + *statement.parameters[1];
        if (target_.keys.contains(name)) {
            return "23505";
        }
        keys_.push_back({name, {*statement.parameters[2], std::nullopt}});
        return "";
    }

    void select_key(const transport::target_statement& statement,
                    transport::target_result& result) {
        const auto it =
            target_.keys.find(*statement.parameters[0] + "/" + *statement.parameters[1]);
        if (it != target_.keys.end()) {
            result.rows = {{it->second.digest, it->second.result}};
        }
    }

    std::string commit() {
        if (!target_.status.is_primary) {
            return "HB002";
        }
        for (const pending_key& key : keys_) {
            if (target_.keys.contains(key.first)) {
                return "23505";
            }
        }
        for (const pending_key& key : keys_) {
            target_.keys.insert(key);
        }
        for (const std::string& row : rows_) {
            ++target_.rows[row];
        }
        is_open_ = false;
        ++target_.status.position;
        return "";
    }

    fake_target& target_;
    bool is_open_ = false;
    bool is_broken_ = false;
    std::vector<std::string> rows_;
    std::vector<pending_key> keys_;
};

inline proxy::session_result fake_target::acquire(const std::string& /*pool*/,
                                                  const state::target_description& /*target*/,
                                                  state::time_point /*deadline*/) {
    if (refuses_connections) {
        return transport::target_error{transport::target_failure_kind::refused, false};
    }
    return std::unique_ptr<proxy::target_session>(std::make_unique<fake_session>(*this));
}

inline int fake_target::get_quota(const std::string& /*pool*/,
                                  const state::target_description& /*target*/) {
    return 4;
}

}  // namespace hornbeamhook::tests
