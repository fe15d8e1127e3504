#pragma once

#include <boost/leaf.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "ctl/change_builder.h"
#include "ctl/ctl_settings.h"
#include "ctl/platform_rows.h"
#include "ctl/proxy_client.h"
#include "ctl/result_table.h"
#include "ctl/session_rows.h"
#include "ctl/statement.h"
#include "protocol/configuration_store.h"
#include "protocol/table_client.h"

namespace hornbeamhook::ctl {

/** The answer to one statement. */
struct statement_answer {
    std::string text;  ///< For the console; may be empty.
    std::optional<result_table> table;
    nlohmann::json fields = nlohmann::json::object();  ///< For example version, credential.
    bool is_exit = false;
};

/**
 * Carries out statements. Blocking; used by one thread.
 *
 * A change is based on the configuration that read_base() read, and on the session's own changes
 * since; it conflicts with any other change of the same object.
 */
class executor {
public:
    /** With `is_dry_run` changes are checked and shown, but not made. */
    executor(ctl_settings settings, bool is_dry_run);

    /** Reads the versions that changes are based on; call after parsing, before run(). */
    void read_base();

    /** Carries out one statement. Fails with command_error at the statement's position. */
    boost::leaf::result<statement_answer> run(const statement& item);

private:
    using answer_result = boost::leaf::result<statement_answer>;

    answer_result execute(const help_statement& item);
    answer_result execute(const show_statement& item);
    answer_result execute(const create_statement& item);
    answer_result execute(const alter_statement& item);
    answer_result execute(const drop_statement& item);
    answer_result execute(const drain_statement& item);
    answer_result execute(const primary_statement& item);
    answer_result execute(const end_statement& item);
    answer_result execute(const wait_statement& item);
    answer_result execute(const select_statement& item);
    answer_result execute(const explain_statement& item);
    answer_result execute(const report_statement& item);
    answer_result execute(const exit_statement& item);

    template <class Statement>
    answer_result change(const Statement& item, const std::string& kind, const std::string& name);
    answer_result commit(planned_change plan);
    answer_result drain_vm(const drain_statement& item);
    answer_result show_objects(const show_statement& item);
    answer_result show_versions();
    answer_result show_vms();
    answer_result show_change(const std::string& id);
    answer_result show_homes(const std::string& name);
    answer_result show_sessions(const std::string& what, const std::string& name);
    answer_result post_end(const proxy_answer& home, const transaction_name& transaction,
                           const nlohmann::json& was);
    boost::leaf::result<source_rows> read_rows(const std::string& source);
    answer_result write_report(const report_statement& item);

    boost::leaf::result<void> authorise(const std::string& kind, const std::string& name);
    boost::leaf::result<void> expect_base(const std::string& kind, const std::string& name);
    std::uint64_t get_base_version(const std::string& kind, const std::string& name) const;
    void remember_own(const coordination::change_draft& draft, std::uint64_t version);
    protocol::table_write make_audit_row(const std::string& kind, const std::string& subject,
                                         nlohmann::json details);
    void append_audit(const std::string& kind, const std::string& subject, nlohmann::json details);

    ctl_settings settings_;
    bool is_dry_run_;
    protocol::table_client client_;
    protocol::configuration_store store_;
    proxy_client proxies_;
    std::uint64_t session_;   ///< Start time in ms; numbers audit rows together with sequence_.
    std::string session_id_;  ///< Random; keeps audit rows of different sessions apart.
    std::uint64_t sequence_ = 0;
    std::string statement_text_;
    std::string base_error_;  ///< Why the base could not be read, or empty.
    state::configuration base_;
    state::configuration latest_;
    std::map<std::string, std::uint64_t> own_versions_;  ///< "kind/name" changed by this session.
    std::uint64_t last_version_ = 0;                     ///< Of this session's last change.
};

}  // namespace hornbeamhook::ctl
