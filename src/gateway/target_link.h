#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/session_protocol.h"
#include "gateway/target_entry.h"
#include "transport/event_loop.h"
#include "transport/line_buffer.h"
#include "transport/tcp_stream.h"

namespace hornbeamhook::gateway {

/** Values set in a session, by name. */
using session_values = std::map<std::string, std::string>;

/** What a prepared statement runs. */
struct prepared_statement {
    bool is_write = false;
    std::string shape;

    auto operator<=>(const prepared_statement&) const = default;
};

/** A target's complete answer to one statement, or the loss of the connection before it. */
struct target_answer {
    std::vector<std::string> rows;
    std::optional<target_completion> completion;
    std::optional<target_failure> failure;
    target_ready ready;
    std::int64_t sent_at = 0;  ///< Boot time at which the statement was sent.
    bool is_lost = false;      ///< The connection ended or was closed first.
};

/** One statement that only sets up a connection, as logs name it. */
struct setup_step {
    std::string kind;  ///< reset, set, prepare or begin.
    std::string name;  ///< Of the session value or prepared statement.
};

/** Another VM through which a target is reached. */
struct link_home {
    std::string vm;
    transport::endpoint address;

    auto operator<=>(const link_home&) const = default;
};

/** One connection to a target, direct or through a home. Loop thread only. */
class target_link : public std::enable_shared_from_this<target_link> {
public:
    using answer_callback = std::function<void(const target_answer&)>;

    /** How a connection ended. */
    struct link_end {
        std::uint64_t link = 0;                 ///< Number of the connection.
        std::optional<target_failure> failure;  ///< Failure that the target reported or caused.
        bool is_refused = false;                ///< The address refused the connection.
        bool is_local = false;                  ///< This side closed the connection.
        std::string reason;                     ///< Why this side closed it.
        std::optional<setup_step> setup;        ///< Set-up statement that `failure` answers.
    };

    struct link_events {
        std::function<void()> opened;
        std::function<void(const link_end&)> ended;
        /// Called for each complete answer, with the log position that the target reported.
        std::function<void(const target_ready&, std::int64_t sent_at)> answered;
    };

    /** Connects to the target, or to `home`, which forwards the statements to it. */
    static std::shared_ptr<target_link> open(transport::event_loop& loop,
                                             const session_protocol& protocol,
                                             const target_entry& target, link_events events,
                                             const std::optional<link_home>& home = std::nullopt);

    /**
     * Sends formatted statements together. The first ones, `setup`, only set up the connection; if
     * one fails the link ends, because the main statement would run with wrong session state.
     * `done` gets the answer to the last statement, exactly once. Precondition: is_open().
     */
    void send(std::string bytes, const std::vector<setup_step>& setup, answer_callback done);

    /** Closes the connection; outstanding statements get a lost answer. `reason` is logged. */
    void close(const std::string& reason);

    /** Closes the connection without any callback; for use when the owner is destroyed. */
    void abandon();

    /** Numbers the connections of this process, for the log. */
    std::uint64_t get_number() const { return number_; }
    bool is_open() const { return is_open_; }
    bool is_ended() const { return is_ended_; }
    bool is_idle() const { return is_open_ && outstanding_.empty(); }
    bool is_pinned() const { return is_pinned_; }

    /** Reserves the link for one session's transaction. */
    void set_pinned(bool is_pinned) { is_pinned_ = is_pinned; }

    transaction_state get_state() const { return state_; }
    const std::string& get_target() const { return target_; }
    /** The VM that forwards the statements; empty for a direct connection. */
    const std::string& get_home() const { return home_; }
    bool is_relayed() const { return !home_.empty(); }
    std::int64_t get_opened_at() const { return opened_at_; }
    std::int64_t get_idle_since() const { return idle_since_; }

    /** When the oldest outstanding statement was sent; 0 if there is none. */
    std::int64_t get_oldest_sent_at() const;

    /** Session state of the connection once all sent statements have run. */
    session_values values;
    std::map<prepared_statement, std::string> prepared;  ///< With their names there.

    /** A name for a statement to prepare; none is returned twice. */
    std::string take_statement_name() { return "p" + std::to_string(++last_statement_name_); }

private:
    struct outstanding_statement {
        std::optional<setup_step> setup;
        answer_callback done;
        std::int64_t sent_at = 0;
    };

    target_link(const session_protocol& protocol, const target_entry& target);
    void start_session();
    void end_stream(bool is_refused);
    void receive(std::string_view bytes);
    void handle(const target_message& message);
    void complete(const target_ready& ready);
    void end(link_end cause);

    const session_protocol& protocol_;
    std::uint64_t number_;
    std::string group_;
    std::string target_;
    std::string home_;
    link_events events_;
    std::shared_ptr<transport::tcp_stream> stream_;
    transport::line_buffer lines_;
    std::deque<outstanding_statement> outstanding_;
    target_answer answer_;
    std::size_t answer_bytes_ = 0;
    std::uint64_t last_statement_name_ = 0;
    transaction_state state_ = transaction_state::idle;
    std::int64_t opened_at_ = 0;
    std::int64_t idle_since_ = 0;
    bool is_open_ = false;
    bool is_ended_ = false;
    bool is_pinned_ = false;
};

}  // namespace hornbeamhook::gateway
