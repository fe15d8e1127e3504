#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "standin/target/session_control.h"
#include "standin/target/sql_session.h"
#include "standin/target/target_context.h"
#include "standin/target/wire_format.h"

namespace hornbeamhook::standin::target {

/** Speaks the PostgreSQL protocol, version 3, on one accepted connection. Used by one thread. */
class wire_session {
public:
    /** `context` outlives this. `is_over_limit` refuses the connection with SQLSTATE 53300. */
    wire_session(target_context& context, std::shared_ptr<session_control> control,
                 bool is_over_limit);

    /** Serves the connection until it ends. */
    void run();

private:
    struct message {
        char type = 0;
        std::string body;
    };
    struct portal {
        std::string sql;
        sql_values parameters;
    };

    bool start_up();
    std::optional<std::string> read_start_up_packet();
    bool serve_one();
    std::optional<message> read_message();
    bool read_exactly(std::size_t length, std::string& target);
    bool fill_input();
    bool flush();
    void end_idle_transaction();

    bool handle(const message& value);
    boost::leaf::result<void> handle_extended(const message& value);
    void handle_query(const std::string& text);
    void handle_synchronise();
    boost::leaf::result<void> parse(wire_reader& reader);
    boost::leaf::result<void> bind(wire_reader& reader);
    boost::leaf::result<void> describe(wire_reader& reader);
    boost::leaf::result<void> execute(wire_reader& reader);
    boost::leaf::result<void> close(wire_reader& reader);
    boost::leaf::result<void> run_statement(const std::string& sql, const sql_values& parameters,
                                            bool is_described);
    boost::leaf::result<portal> find_portal(const std::string& name) const;
    boost::leaf::result<std::string> find_statement(const std::string& name) const;
    void lose_answer();
    void report(const sql_error& error);

    target_context& context_;
    const std::shared_ptr<session_control> control_;
    const bool is_over_limit_;
    std::unique_ptr<sql_session> sql_;
    wire_writer writer_;
    std::string input_;
    std::map<std::string, std::string> statements_;
    std::map<std::string, portal> portals_;
    bool skips_to_synchronise_ = false;
};

/** Splits a simple query at semicolons outside quotes and line comments; empty parts are left out.
 */
std::vector<std::string> split_statements(const std::string& text);

}  // namespace hornbeamhook::standin::target
