#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "coordination/holder_budget.h"

namespace hornbeamhook::coordination {

/** Who opened an HTTP connection. */
enum class http_origin {
    caller,
    peer,  ///< Another VM, after a request with the fleet's secret.
};

/** What one HTTP connection holds and waits for. Times in ms of any clock, the same for all. */
struct http_holding {
    std::size_t bytes = 0;
    std::size_t outstanding = 0;               ///< Requests without an answer.
    std::int64_t active_at = 0;                ///< Last byte received.
    std::optional<std::int64_t> begun_at;      ///< First byte of an incomplete request.
    std::optional<std::int64_t> unread_since;  ///< An answer waits and none was taken since.
    std::optional<std::int64_t> refused_at;    ///< Only the answer to a bad request is left.

    bool operator==(const http_holding&) const = default;
};

/** Why a connection is closed. */
enum class http_limit { memory, connections, request_time, answer_time, refused };

const char* to_string(http_limit limit);

/** A connection that has to be closed. */
struct http_closing {
    holder_number number = 0;
    http_limit limit = http_limit::memory;

    bool operator==(const http_closing&) const = default;
};

/** Limits of one origin. */
struct http_share_limits {
    std::size_t bytes = 0;
    std::size_t connections = 0;
};

/**
 * Decides which HTTP connections of a VM are closed so that it stays within its memory. Callers and
 * other VMs have shares of their own. A connection that is to be closed counts until remove(),
 * because its memory is freed only then. Pure: no clock, no network. Not thread safe.
 */
class http_shares {
public:
    http_shares(http_share_limits callers, http_share_limits peers)
        : callers_(callers), peers_(peers) {}

    /** Adds a connection of a caller; returns the one that makes room, which may be the new one. */
    std::vector<http_closing> add(holder_number number, std::int64_t now);

    /** Sets what a connection holds; returns those that have to go, the holders of the most first.
     * Ignored after a connection was returned by any function. */
    std::vector<http_closing> update(holder_number number, const http_holding& holding);

    /** Counts the connection as one of another VM from now on; ignored for an unknown one. */
    void set_peer(holder_number number);

    /** Connections whose time is over at `now`. */
    std::vector<http_closing> take_overdue(std::int64_t now);

    /** The connection is closed and its memory is free; harmless for an unknown one. */
    void remove(holder_number number);

    /** Bytes of one origin, in bytes, with those of connections that are to be closed. */
    std::size_t get_used(http_origin origin) const;

private:
    struct share {
        explicit share(http_share_limits value) : limits(value), budget(value.bytes) {}

        http_share_limits limits;
        holder_budget budget;  ///< Of connections that stay.
        std::size_t closing_bytes = 0;
        std::size_t connections = 0;  ///< That stay.
    };

    struct entry {
        http_holding holding;
        http_origin origin = http_origin::caller;
        bool is_closing = false;
    };

    share& get_share(http_origin origin) { return origin == http_origin::peer ? peers_ : callers_; }
    http_closing begin_closing(holder_number number, http_limit limit);

    share callers_;
    share peers_;
    std::map<holder_number, entry> entries_;
};

}  // namespace hornbeamhook::coordination
