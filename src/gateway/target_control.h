#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "gateway/bounded_log.h"
#include "gateway/session_protocol.h"
#include "gateway/target_link.h"
#include "transport/event_loop.h"

namespace hornbeamhook::gateway {

/**
 * The target is alive but did not run the statement in time: it has no free slot, or too many
 * connections.
 */
struct target_refusal {
    std::string code;  ///< As received, or why there is no answer.

    auto operator<=>(const target_refusal&) const = default;
};

/** The target gave no usable answer. */
struct target_silence {
    auto operator<=>(const target_silence&) const = default;
};

/** Result of a status request. */
using report_answer = std::variant<target_report, target_refusal, target_silence>;

/**
 * Sends status requests and control statements to targets. Each opens a connection of its own; if
 * the target refuses that or is slow to accept it, an idle one of the VM's connections is used.
 * Loop thread only.
 */
class target_control {
public:
    /** Called until the target_control is destroyed. */
    struct control_callbacks {
        /// Returns a connection to the target that may carry a statement now; null without one.
        std::function<std::shared_ptr<target_link>(const std::string& group,
                                                   const std::string& target)>
            find_idle_link;
        /// A target answered on a connection opened here, to something sent at `sent_at`.
        std::function<void(const target_entry&, const target_ready&, std::int64_t sent_at)>
            answered;
        /// A target refused a connection because it has too many.
        std::function<void(const target_entry&)> limited;
    };

    target_control(transport::event_loop& loop, const session_protocol& protocol, bounded_log& log,
                   control_callbacks callbacks);

    ~target_control();
    target_control(const target_control&) = delete;
    target_control& operator=(const target_control&) = delete;

    /** Requests a target's report; `done` gets the answer once, within 2 s. */
    void request_report(const target_entry& target, std::function<void(const report_answer&)> done);

    /**
     * Sends a control statement, which must be safe to repeat. It is repeated while the target
     * refuses to run it, for a limited time.
     */
    void send(const target_entry& target, const std::string& bytes);

    /** Uses idle connections for statements that wait for one, if there are any. */
    void use_idle_links();

    /** Ends attempts that have timed out and begins those that are due. Call regularly. */
    void update(std::int64_t now);

private:
    struct exchange;
    using exchange_ptr = std::shared_ptr<exchange>;

    exchange_ptr start(const target_entry& target, std::string bytes);
    /** Sends the statement on an idle connection opened for it, or opens one. */
    void attempt(const exchange_ptr& started);
    void connect(const exchange_ptr& started);
    void handle_link_end(const exchange_ptr& ended, const target_link::link_end& end);
    void send_on(const exchange_ptr& started, const std::shared_ptr<target_link>& link,
                 bool is_own_link);
    void handle_answer(const exchange_ptr& started, const target_answer& answer, bool is_own_link);
    void refuse(const exchange_ptr& started, const target_refusal& refusal, std::int64_t retry_ms);
    void finish(const exchange_ptr& started, const report_answer& answer);

    transport::event_loop& loop_;
    const session_protocol& protocol_;
    bounded_log& log_;
    control_callbacks callbacks_;
    std::vector<exchange_ptr> exchanges_;
};

}  // namespace hornbeamhook::gateway
