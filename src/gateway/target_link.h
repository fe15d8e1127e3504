#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/answer_flow.h"
#include "gateway/link_request.h"
#include "gateway/session_protocol.h"
#include "gateway/target_entry.h"
#include "transport/event_loop.h"
#include "transport/line_buffer.h"
#include "transport/tcp_stream.h"

namespace hornbeamhook::gateway {

/** A target's complete answer to one statement, or the loss of the connection before it. */
struct target_answer {
    std::vector<std::string> rows;
    std::optional<target_completion> completion;
    std::optional<target_failure> failure;
    target_ready ready;
    std::int64_t sent_at = 0;  ///< Boot time at which the statement was sent.
    bool is_lost = false;      ///< The connection ended or was closed first.
    bool was_sent = true;      ///< If not, the statement has not run; `failure` tells why.
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

        /** The target refused it because it has too many connections. */
        bool is_limited() const {
            return failure && failure->code == failure_code::too_many_connections;
        }
    };

    struct link_events {
        std::function<void()> opened;
        std::function<void(const link_end&)> ended;
        /// Called for each complete answer, with the log position that the target reported.
        std::function<void(const target_ready&, std::int64_t sent_at)> answered;
        /// The target refused a step that sets up the connection with this number.
        std::function<void(std::uint64_t link, const coordination::setup_step&,
                           const target_failure&)>
            setup_failed;
        answer_flow* flow = nullptr;  ///< Told of incomplete answers; must outlive the connection.
    };

    /** Connects to the target on behalf of `organisation`, or of none if it is empty, or to `home`,
     * which forwards the statements of all organisations to it. */
    static std::shared_ptr<target_link> open(transport::event_loop& loop,
                                             const session_protocol& protocol,
                                             const target_entry& target, link_events events,
                                             const std::optional<link_home>& home = std::nullopt,
                                             std::string organisation = {});

    /**
     * Sends a statement after the set-up that it needs. `done` gets its answer, or learns that it
     * was not sent because the set-up failed, exactly once. On a direct connection each part waits
     * for the answers to the one before. A home gets all parts at once, because it ends the
     * connection after a step that it refuses and runs nothing that follows. Precondition:
     * is_idle().
     */
    void send(link_request request, answer_callback done);

    /** Sends one formatted statement without a set-up. Precondition: is_idle(). */
    void send(std::string statement, answer_callback done);

    /** Closes the connection; outstanding statements get a lost answer. `reason` is logged. */
    void close(const std::string& reason);

    /** Closes the connection without any callback; for use when the owner is destroyed. */
    void abandon();

    /** Numbers the connections of this process, for the log. */
    std::uint64_t get_number() const { return number_; }
    bool is_open() const { return is_open_; }
    bool is_ended() const { return is_ended_; }
    bool is_idle() const { return is_open_ && !active_; }
    bool is_pinned() const { return is_pinned_; }

    /** Reserves the link for one session's transaction. */
    void set_pinned(bool is_pinned) { is_pinned_ = is_pinned; }

    transaction_state get_state() const { return state_; }
    const std::string& get_target() const { return target_; }
    /** The VM that forwards the statements; empty for a direct connection. */
    const std::string& get_home() const { return home_; }
    bool is_relayed() const { return !home_.empty(); }
    /** On whose behalf a direct connection runs statements. */
    const std::string& get_organisation() const { return organisation_; }
    std::int64_t get_opened_at() const { return opened_at_; }
    std::int64_t get_idle_since() const { return idle_since_; }

    /** Bytes queued because the other end does not read. */
    std::size_t get_unsent_bytes() const { return stream_ ? stream_->get_queued_bytes() : 0; }

    /** When the oldest outstanding statement was sent; 0 if there is none. */
    std::int64_t get_oldest_sent_at() const;

    /** Whether a statement waits for the answers to its set-up. Never on a connection to a home. */
    bool is_setting_up() const {
        return !is_relayed() && !awaited_.empty() && awaited_.front().role == answer_role::setup;
    }

    /** What the target holds for this connection. */
    coordination::connection_state& get_session_state() { return session_state_; }
    const coordination::connection_state& get_session_state() const { return session_state_; }

private:
    enum class answer_role { setup, begin, statement };

    struct awaited_answer {
        answer_role role = answer_role::statement;
        std::optional<coordination::setup_step> step;  ///< For setup.
        std::int64_t sent_at = 0;
    };

    struct active_request {
        link_request request;  ///< Parts that were sent are empty.
        answer_callback done;
        bool is_statement_sent = false;
        std::optional<target_failure> setup_failure;  ///< The first one.
    };

    target_link(const session_protocol& protocol, const target_entry& target);
    void start_session();
    void end_stream(bool is_refused);
    void receive(std::string_view bytes);
    void handle(const target_message& message);
    void complete(const target_ready& ready);
    /** Sends the next part of the active request, or all parts to a home. */
    void send_next();
    /** False if a step cannot be formatted; nothing may be sent then. */
    bool append_setup(std::string& bytes);
    void append_begin(std::string& bytes);
    /** False if the statement is no longer wanted; the request has then ended. */
    bool append_statement(std::string& bytes);
    void finish_step(const coordination::setup_step& step, const target_answer& answer,
                     bool is_state_changed);
    void finish_begin(const target_answer& answer);
    /** Ends the active request, whose statement was not sent. */
    void finish_unsent(const target_failure& failure);
    void end(link_end cause);

    const session_protocol& protocol_;
    std::uint64_t number_;
    std::string group_;
    std::string target_;
    std::string home_;
    std::string organisation_;
    link_events events_;
    std::shared_ptr<transport::tcp_stream> stream_;
    transport::line_buffer lines_;
    std::optional<active_request> active_;
    std::deque<awaited_answer> awaited_;  ///< Of the active request.
    coordination::connection_state session_state_;
    target_answer answer_;
    std::size_t answer_bytes_ = 0;
    transaction_state state_ = transaction_state::idle;
    std::int64_t opened_at_ = 0;
    std::int64_t idle_since_ = 0;
    bool is_open_ = false;
    bool is_ended_ = false;
    bool is_pinned_ = false;
};

}  // namespace hornbeamhook::gateway
