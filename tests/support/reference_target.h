#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "transport/line_buffer.h"
#include "transport/tcp_stream.h"

namespace hornbeamhook::tests {

/** What a prepared statement runs. */
struct reference_statement {
    bool is_write = false;
    std::string shape;

    auto operator<=>(const reference_statement&) const = default;
};

/** A statement that reached a target, with the state of its connection at that moment. */
struct reference_run {
    std::string id;
    std::string text;  ///< Without the required position; for EXECUTE the item and data only.
    std::optional<reference_statement> prepared;  ///< For EXECUTE.
    std::map<std::string, std::string> values;
    std::string connection;       ///< Target and number; no number is used twice.
    std::string organisation;     ///< Named at the start of the connection.
    std::int64_t arrived_at = 0;  ///< At the target, which may run it later.
    std::uint64_t position = 0;   ///< What the log of the target had reached.
    std::string transaction;      ///< Id of the BEGIN; empty outside of a transaction.
    std::string proof;
    std::string row;  ///< Empty if it writes.
    bool is_write = false;
    bool is_reading = false;    ///< In a transaction that only reads.
    bool is_committed = false;  ///< Its effect is kept.
};

/** What a target does with a statement. */
enum class target_fault {
    none,
    refuse,          ///< Answers with an error and changes nothing.
    run_and_refuse,  ///< Answers with an error after it took effect.
    stay_silent,     ///< Never answers on this connection again.
    close_connection,
    run_and_close,     ///< Closes the connection in place of the answer.
    run_late,          ///< Runs it, and answers, after late_ms.
    answer_late,       ///< Runs it at once and answers after late_ms.
    refuse_as_busy,    ///< Answers BUSY; an open transaction stays open.
    roll_back,         ///< Rolls back and answers FAILED outside of a transaction.
    fail_after,        ///< Completes it; the transaction has failed then.
    roll_back_after,   ///< Completes it; the transaction is rolled back then.
    open_transaction,  ///< Completes it, then opens a transaction unless one is open.
    limit,             ///< Refuses a connection with CONNLIMIT.
    reject,            ///< Refuses a connection with WRONGNODE.
};

/** What a fault may be drawn for. */
enum class target_step { start, setup, begin, data, commit, rollback };

/**
 * A target on the test's own loop that parses each message strictly, keeps session values,
 * prepared statements and the transaction of each connection, and records what ran. Loop thread
 * only.
 */
class reference_target {
public:
    using fault_source = std::function<target_fault(target_step step)>;

    reference_target(transport::event_loop& loop, const transport::endpoint& address,
                     std::string id, bool is_primary, fault_source faults)
        : id_(std::move(id)),
          is_primary_(is_primary),
          faults_(std::move(faults)),
          listener_(loop, address, [this](const std::shared_ptr<transport::tcp_stream>& stream) {
              accept(stream);
          }) {}

    ~reference_target() {
        for (const connection_ptr& open : connections_) {
            open->stream->reset();
        }
    }
    reference_target(const reference_target&) = delete;
    reference_target& operator=(const reference_target&) = delete;

    /** Ends all connections, and their transactions. */
    void drop_connections() {
        for (const connection_ptr& open : connections_) {
            open->stream->reset();
            open->inputs.clear();
            end_transaction(*open, false);
        }
    }

    /** Runs and answers what is due. */
    void poll(std::int64_t now) {
        for (const connection_ptr& open : connections_) {
            while (!open->outputs.empty() && open->outputs.front().due_at <= now) {
                open->stream->write(open->outputs.front().bytes);
                open->outputs.pop_front();
            }
            while (!open->inputs.empty() && open->inputs.front().due_at <= now) {
                const std::string line = open->inputs.front().bytes;
                open->arrived_at = open->inputs.front().arrived_at;
                open->inputs.pop_front();
                handle_line(*open, line, open->is_deferred);
                open->is_deferred = false;
            }
        }
    }

    std::int64_t late_ms = 0;
    std::set<std::string> organisations{"hornbeamhook"};  ///< That connections may name.
    std::string forbidden_text;      ///< A line that holds it is a violation, unless it is empty.
    std::set<std::string> received;  ///< Ids of all statements, of those that did not run too.
    std::vector<reference_run> runs;
    std::vector<std::string> violations;  ///< Messages that break the protocol.
    std::uint64_t position = 5;
    std::size_t lagging_answers = 0;
    std::size_t max_prepared_count = 0;  ///< Most statements prepared on one connection.

private:
    static constexpr std::size_t max_message_bytes = 1U << 20;

    struct delayed_bytes {
        std::int64_t due_at = 0;
        std::string bytes;
        std::int64_t arrived_at = 0;
    };

    struct connection {
        std::deque<delayed_bytes> inputs;   ///< Lines behind one that runs late.
        std::deque<delayed_bytes> outputs;  ///< Answers behind one that is late.
        bool is_deferred = false;           ///< The first of the inputs has had its fault.
        std::shared_ptr<transport::tcp_stream> stream;
        transport::line_buffer lines{2 * max_message_bytes};
        int number = 0;
        std::string organisation;
        std::int64_t arrived_at = 0;  ///< Of the line that is handled.
        bool is_started = false;
        bool is_silent = false;
        std::map<std::string, std::string> values;
        std::map<std::string, reference_statement> prepared;
        std::string transaction;
        bool is_reading = false;  ///< The transaction only reads.
        bool is_failed = false;
        std::vector<std::size_t> written;  ///< Runs of the open transaction.
    };
    using connection_ptr = std::shared_ptr<connection>;

    static std::string take_word(std::string_view& rest) {
        const std::size_t blank = rest.find(' ');
        const std::string word(rest.substr(0, blank));
        rest = blank == std::string_view::npos ? std::string_view() : rest.substr(blank + 1);
        return word;
    }

    void accept(const std::shared_ptr<transport::tcp_stream>& stream) {
        const auto accepted = std::make_shared<connection>();
        accepted->stream = stream;
        connections_.push_back(accepted);
        accepted->number = static_cast<int>(connections_.size());
        stream->start({.connected = {},
                       .received =
                           [this, accepted](std::string_view bytes) {
                               accepted->lines.append(bytes);
                               while (accepted->stream->is_open()) {
                                   const auto line = accepted->lines.take_line();
                                   if (!line) {
                                       break;
                                   }
                                   const std::int64_t now = transport::get_boot_time();
                                   if (accepted->inputs.empty()) {
                                       accepted->arrived_at = now;
                                       handle_line(*accepted, std::string(*line), false);
                                   } else {
                                       accepted->inputs.push_back({0, std::string(*line), now});
                                   }
                               }
                           },
                       .ended = [](bool) {}});
    }

    std::string format_ready(const connection& to) const {
        const char* state = to.transaction.empty() ? "I" : to.is_failed ? "E" : "T";
        return std::string("READY ") + state + " 1." + std::to_string(position) + "\r\n";
    }

    void answer(connection& to, const std::string& result) { answer(to, result, 0); }

    void answer(connection& to, const std::string& result, std::int64_t delay_ms) {
        if (to.is_silent) {
            return;
        }
        const std::string bytes = result + "\r\n" + format_ready(to);
        if (delay_ms > 0 || !to.outputs.empty()) {
            to.outputs.push_back({transport::get_boot_time() + delay_ms, bytes});
        } else {
            to.stream->write(bytes);
        }
    }

    void reject(connection& from, const std::string& line, const std::string& reason) {
        violations.push_back(reason + ": " + line.substr(0, 200));
        answer(from, "ERROR MALFORMED " + reason);
    }

    void handle_line(connection& from, const std::string& line, bool is_deferred) {
        if (line.size() + 2 > max_message_bytes) {
            violations.push_back("message of " + std::to_string(line.size()) + " bytes");
            from.stream->reset();
            return;
        }
        if (!forbidden_text.empty() && line.find(forbidden_text) != std::string::npos) {
            violations.push_back("forbidden text: " + line.substr(0, 200));
        }
        std::string_view rest = line;
        const std::string word = take_word(rest);
        if (!from.is_started) {
            from.is_started = true;
            const std::string group = take_word(rest);
            from.organisation = take_word(rest);
            if (word != "STARTUP" || group != "g" || !organisations.contains(from.organisation) ||
                rest != id_) {
                reject(from, line, "unknown start");
                return;
            }
            const target_fault fault = faults_(target_step::start);
            if (fault == target_fault::limit || fault == target_fault::reject) {
                from.stream->write(fault == target_fault::limit ? "ERROR CONNLIMIT 4\r\n"
                                                                : "ERROR WRONGNODE other\r\n");
                from.stream->close();
                return;
            }
            from.stream->write(format_ready(from));
            return;
        }
        if (word != "QUERY") {
            reject(from, line, "unknown message");
            return;
        }
        const std::string id = take_word(rest);
        received.insert(id);
        handle_query(from, line, id, rest, is_deferred);
    }

    void handle_query(connection& from, const std::string& line, const std::string& id,
                      std::string_view rest, bool is_deferred) {
        std::string_view text = rest;
        std::string word = take_word(rest);
        bool is_lagging = false;
        if (word == "WAITLSN") {
            const std::string required = take_word(rest);
            if (!required.starts_with("1.")) {
                reject(from, line, "unknown position");
                return;
            }
            is_lagging = std::stoull(required.substr(2)) > position;
            text = rest;
            word = take_word(rest);
        }
        const bool is_setup =
            word == "SET" || word == "PARSE" || word == "DISCARD" || word == "CLOSE";
        if (is_setup != (id == "-") && word != "STATUS" && word != "ROLLBACK") {
            reject(from, line, "unexpected id");
            return;
        }
        const target_step step = is_setup             ? target_step::setup
                                 : word == "BEGIN"    ? target_step::begin
                                 : word == "COMMIT"   ? target_step::commit
                                 : word == "ROLLBACK" ? target_step::rollback
                                                      : target_step::data;
        const target_fault fault =
            word == "STATUS" || is_deferred ? target_fault::none : faults_(step);
        if (fault == target_fault::close_connection) {
            end(from);
            return;
        }
        if (fault == target_fault::run_late) {
            from.is_deferred = true;
            from.inputs.push_front({transport::get_boot_time() + late_ms, line, from.arrived_at});
            return;
        }
        from.is_silent = from.is_silent || fault == target_fault::stay_silent;
        if (fault == target_fault::refuse || fault == target_fault::roll_back) {
            from.is_failed = !from.transaction.empty();
            if (fault == target_fault::roll_back) {
                end_transaction(from, false);
            }
            answer(from, "ERROR FAILED refused");
            return;
        }
        if (from.is_failed && word != "ROLLBACK" && word != "COMMIT") {
            answer(from, "ERROR MALFORMED the transaction has failed");
            return;
        }
        if (fault == target_fault::refuse_as_busy || is_lagging) {
            lagging_answers += is_lagging ? 1 : 0;
            answer(from, is_lagging ? "ERROR LAGGING log too short" : "ERROR BUSY refused");
            return;
        }
        std::string result =
            is_setup ? run_setup(from, line, word, rest) : run(from, line, id, word, text, rest);
        if (fault == target_fault::run_and_close) {
            end(from);
            return;
        }
        const bool is_refused = fault == target_fault::run_and_refuse && is_setup;
        from.is_failed = !from.transaction.empty() &&
                         (from.is_failed || is_refused || fault == target_fault::fail_after);
        if (fault == target_fault::roll_back_after) {
            end_transaction(from, false);
        } else if (fault == target_fault::open_transaction && from.transaction.empty()) {
            from.transaction = "opened by the target";
        }
        result = is_refused ? "ERROR FAILED refused" : result;
        answer(from, result, fault == target_fault::answer_late ? late_ms : 0);
    }

    void end(connection& ended) {
        ended.stream->reset();
        ended.inputs.clear();
        end_transaction(ended, false);
    }

    std::string run_setup(connection& from, const std::string& line, const std::string& word,
                          std::string_view rest) {
        const std::string name = take_word(rest);
        if (word == "DISCARD") {
            from.values.clear();
            from.prepared.clear();
        } else if (word == "SET") {
            from.values[name] = rest;
        } else if (word == "CLOSE") {
            from.prepared.erase(name);
        } else {
            const std::string access = take_word(rest);
            if (name.empty() || rest.empty() || (access != "READ" && access != "WRITE")) {
                violations.push_back("malformed PARSE: " + line.substr(0, 200));
                return "ERROR MALFORMED no shape";
            }
            from.prepared[name] = {access == "WRITE", std::string(rest)};
            max_prepared_count = std::max(max_prepared_count, from.prepared.size());
        }
        return "COMPLETE -";
    }

    std::string run(connection& from, const std::string& line, const std::string& id,
                    const std::string& word, std::string_view text, std::string_view rest) {
        if (word == "STATUS") {
            return std::string("DATAROW ") + (is_primary_ ? "primary" : "replica") + " 1 1." +
                   std::to_string(position) + " 0 0 0 1\r\nCOMPLETE -";
        }
        if (word == "ROLLBACK") {
            end_transaction(from, false);
            return "COMPLETE -";
        }
        if (word == "BEGIN") {
            if (!from.transaction.empty()) {
                violations.push_back("BEGIN inside a transaction: " + line.substr(0, 200));
            }
            if (text != "BEGIN READ" && !is_primary_) {
                return "ERROR READONLY " + id_;
            }
            from.transaction = id;
            from.is_reading = text == "BEGIN READ";
            return "COMPLETE -";
        }
        reference_run entry;
        entry.id = id;
        entry.text = text;
        entry.values = from.values;
        entry.connection = id_ + "." + std::to_string(from.number);
        entry.organisation = from.organisation;
        entry.arrived_at = from.arrived_at;
        entry.position = position;
        entry.transaction = from.transaction;
        entry.is_reading = from.is_reading;
        entry.proof = id_ + "." + std::to_string(runs.size());
        entry.is_write = word == "WRITE";
        if (word == "EXECUTE") {
            const auto found = from.prepared.find(take_word(rest));
            if (found == from.prepared.end()) {
                violations.push_back("unknown prepared statement: " + line.substr(0, 200));
                return "ERROR NOSTMT unknown";
            }
            entry.prepared = found->second;
            entry.text = rest;
            entry.is_write = found->second.is_write;
        } else if (word != "READ" && word != "WRITE" && word != "COMMIT") {
            violations.push_back("unknown statement: " + line.substr(0, 200));
            return "ERROR MALFORMED unknown statement";
        }
        if (word == "COMMIT") {
            const bool is_kept = !from.is_failed;
            end_transaction(from, is_kept);
            entry.position = position;
            runs.push_back(entry);
            return is_kept ? "COMPLETE " + entry.proof : "ERROR ABORTED failed";
        }
        if (entry.is_write && (!is_primary_ || from.is_reading)) {
            from.is_failed = !from.transaction.empty();
            return "ERROR READONLY " + id_;
        }
        entry.row = entry.is_write ? "" : "row of " + entry.proof;
        if (entry.is_write && from.transaction.empty()) {
            entry.is_committed = true;
            ++position;
        } else if (entry.is_write) {
            from.written.push_back(runs.size());
        }
        runs.push_back(entry);
        return (entry.is_write ? "" : "DATAROW " + entry.row + "\r\n") + "COMPLETE " + entry.proof;
    }

    void end_transaction(connection& from, bool is_kept) {
        position += is_kept && !from.written.empty() ? 1 : 0;
        for (const std::size_t index : from.written) {
            runs[index].is_committed = is_kept;
        }
        from.written.clear();
        from.transaction.clear();
        from.is_failed = false;
        from.is_reading = false;
    }

    std::string id_;
    bool is_primary_;
    fault_source faults_;
    std::vector<connection_ptr> connections_;
    transport::tcp_listener listener_;
};

}  // namespace hornbeamhook::tests
