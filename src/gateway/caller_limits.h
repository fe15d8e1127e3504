#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "coordination/holder_budget.h"
#include "coordination/vm_limits.h"
#include "gateway/bounded_log.h"
#include "gateway/gateway_counters.h"
#include "transport/event_loop.h"
#include "transport/tcp_stream.h"

namespace hornbeamhook::gateway {

class caller_session;

/** Who opened a session. */
enum class session_origin {
    caller,
    peer,  ///< Another VM that forwards statements for one target.
};

/**
 * Keeps the sessions of one VM within its memory and descriptors: closes those that hold the most,
 * make room for a new connection, or neither complete a message nor read their answers. Sessions of
 * callers and of other VMs have limits of their own. Loop thread only.
 */
class caller_limits {
public:
    caller_limits(transport::event_loop& loop, bounded_log& log, gateway_counters& counters);
    caller_limits(const caller_limits&) = delete;
    caller_limits& operator=(const caller_limits&) = delete;

    void set_limits(const coordination::vm_limits& limits);

    /** Counts a new session, after closing another one if there are too many. Empty if none may be
     * closed: the new one has to go. */
    std::optional<coordination::holder_number> add(const std::weak_ptr<caller_session>& session,
                                                   session_origin origin);
    /** Sets what a session holds, in bytes. May close any session, also this one. */
    void update(coordination::holder_number number, std::size_t bytes);
    void remove(coordination::holder_number number);

    /** Counts a closed stream that still sends its last answers, and resets it after a time limit.
     */
    void add_closing(const std::shared_ptr<transport::tcp_stream>& stream, session_origin origin);

    std::size_t get_used_bytes(session_origin origin) const;

private:
    struct holder {
        std::weak_ptr<caller_session> session;
        std::shared_ptr<transport::tcp_stream> closing;  ///< Set instead of a session.
        session_origin origin = session_origin::caller;
        std::int64_t closing_since = 0;
    };

    struct share {
        coordination::holder_budget bytes;
        std::size_t max_connections;
        std::size_t connections = 0;
    };

    share& get_share(session_origin origin) {
        return origin == session_origin::peer ? peers_ : callers_;
    }
    bool make_room(session_origin origin);
    void close_payers(session_origin origin);
    void end(coordination::holder_number number, const std::string& reason);
    void enforce_time_limits();

    bounded_log& log_;
    gateway_counters& counters_;
    share callers_;
    share peers_;
    std::map<coordination::holder_number, holder> holders_;
    coordination::holder_number last_number_ = 0;
    transport::loop_timer timer_;
};

}  // namespace hornbeamhook::gateway
