#pragma once

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "coordination/http_shares.h"

namespace hornbeamhook::transport {

class http_connection;

/** Called about once a second for each limit that closed connections, with their number. */
using http_limited_callback = std::function<void(coordination::http_limit, std::size_t count)>;

/** Keeps the connections of an http_server within http_shares. Thread safe. */
class http_limits : public std::enable_shared_from_this<http_limits> {
public:
    http_limits(coordination::http_share_limits callers, coordination::http_share_limits peers,
                http_limited_callback limited);
    ~http_limits();
    http_limits(const http_limits&) = delete;
    http_limits& operator=(const http_limits&) = delete;

    /** Starts the thread that enforces the time limits. */
    void start();
    /** Ends that thread; safe to call twice. */
    void stop();

    /** Counts a new connection, after closing another one if there are too many. */
    std::shared_ptr<http_connection> add(int descriptor);

    /** The largest answer that counts as it is; larger ones count as this many bytes. */
    std::size_t get_max_answer_bytes() const { return max_answer_bytes_; }

private:
    friend class http_connection;

    // Called with a connection's mutex held; close() is not, because it takes those of others.
    std::vector<coordination::http_closing> update(coordination::holder_number number,
                                                   const coordination::http_holding& holding);
    void set_peer(coordination::holder_number number);
    void remove(coordination::holder_number number);
    void close(const std::vector<coordination::http_closing>& closing);
    void run();

    const std::size_t max_answer_bytes_;
    const http_limited_callback limited_;
    std::mutex mutex_;
    coordination::http_shares shares_;
    std::map<coordination::holder_number, std::weak_ptr<http_connection>> connections_;
    std::map<coordination::http_limit, std::size_t> closed_;  ///< Not yet reported.
    coordination::holder_number last_number_ = 0;
    std::condition_variable stop_requested_;
    bool is_stopping_ = false;
    std::thread timer_;
};

/** What one connection holds. Counted until its destruction. Thread safe. */
class http_connection {
public:
    http_connection(std::shared_ptr<http_limits> limits, coordination::holder_number number,
                    int descriptor);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /** Counts bytes of an incomplete request. False if the connection is closed or refused: the
     * bytes have to be dropped. Closes a refused one that goes on for more than `max_dropped`. */
    bool receive(std::size_t bytes, std::size_t max_dropped);
    /** Bytes of the request that is being received. */
    std::size_t get_received();
    /** The request is complete or dropped; its bytes are free. */
    void forget_request();
    /** From now on the connection counts as one of another VM. */
    void set_peer();
    /** Counts a complete request until end_request(). */
    void begin_request(std::size_t body_bytes);
    void end_request(std::size_t body_bytes);
    /** Counts an answer until end_answer(). */
    void begin_answer(std::size_t bytes);
    void end_answer(std::size_t bytes);
    /** The client's request cannot be served: nothing more is received. */
    void refuse();
    /** Ends the sending side if refuse() was called and its answer is sent. */
    void finish_refused();
    /** The descriptor is about to be closed by its owner. */
    void release_descriptor();

private:
    friend class http_limits;

    void abort();
    void note_progress();
    void publish();
    coordination::http_holding make_holding() const;

    const std::shared_ptr<http_limits> limits_;
    const coordination::holder_number number_;
    std::mutex mutex_;
    int descriptor_;  ///< -1 when it may belong to another connection.
    bool is_closed_ = false;
    std::size_t received_ = 0;
    std::size_t dropped_ = 0;
    std::size_t request_bytes_ = 0;
    std::size_t answer_bytes_ = 0;
    std::size_t answers_ = 0;
    std::uint64_t acknowledged_bytes_ = 0;  ///< By the client, when last looked at.
    coordination::http_holding holding_;
};

}  // namespace hornbeamhook::transport
