#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
    int connection = 0;
    std::string transaction;  ///< Id of the BEGIN; empty outside of a transaction.
    std::string proof;
    std::string row;  ///< Empty if it writes.
    bool is_write = false;
    bool is_committed = false;  ///< Its effect is kept.
};

/** What a target does with a statement. */
enum class target_fault {
    none,
    refuse,          ///< Answers with an error and changes nothing.
    run_and_refuse,  ///< Answers with an error after it took effect.
    stay_silent,     ///< Never answers on this connection again.
    close_connection,
};

/**
 * A primary on the test's own loop that parses each message strictly, keeps session values,
 * prepared statements and the transaction of each connection, and records what ran. Loop thread
 * only.
 */
class reference_target {
public:
    using fault_source = std::function<target_fault(bool is_setup)>;

    reference_target(transport::event_loop& loop, const transport::endpoint& address,
                     std::string id, fault_source faults)
        : id_(std::move(id)),
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

    std::vector<reference_run> runs;
    std::vector<std::string> violations;  ///< Messages that break the protocol.
    std::uint64_t position = 5;
    std::size_t max_prepared_count = 0;  ///< Most statements prepared on one connection.

private:
    static constexpr std::size_t max_message_bytes = 1U << 20;

    struct connection {
        std::shared_ptr<transport::tcp_stream> stream;
        transport::line_buffer lines{2 * max_message_bytes};
        int number = 0;
        bool is_started = false;
        bool is_silent = false;
        std::map<std::string, std::string> values;
        std::map<std::string, reference_statement> prepared;
        std::string transaction;
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
                                   handle_line(*accepted, std::string(*line));
                               }
                           },
                       .ended = [](bool) {}});
    }

    std::string format_ready(const connection& to) const {
        const char* state = to.transaction.empty() ? "I" : to.is_failed ? "E" : "T";
        return std::string("READY ") + state + " 1." + std::to_string(position) + "\r\n";
    }

    void answer(connection& to, const std::string& result) {
        if (!to.is_silent) {
            to.stream->write(result + "\r\n" + format_ready(to));
        }
    }

    void reject(connection& from, const std::string& line, const std::string& reason) {
        violations.push_back(reason + ": " + line.substr(0, 200));
        answer(from, "ERROR MALFORMED " + reason);
    }

    void handle_line(connection& from, const std::string& line) {
        if (line.size() + 2 > max_message_bytes) {
            violations.push_back("message of " + std::to_string(line.size()) + " bytes");
            from.stream->reset();
            return;
        }
        std::string_view rest = line;
        const std::string word = take_word(rest);
        if (!from.is_started) {
            from.is_started = true;
            if (word != "STARTUP" || rest != "g hornbeamhook " + id_) {
                reject(from, line, "unknown start");
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
        handle_query(from, line, id, rest);
    }

    void handle_query(connection& from, const std::string& line, const std::string& id,
                      std::string_view rest) {
        std::string_view text = rest;
        std::string word = take_word(rest);
        if (word == "WAITLSN") {
            take_word(rest);
            text = rest;
            word = take_word(rest);
        }
        const bool is_setup =
            word == "SET" || word == "PARSE" || word == "DISCARD" || word == "CLOSE";
        if (is_setup != (id == "-") && word != "STATUS" && word != "ROLLBACK") {
            reject(from, line, "unexpected id");
            return;
        }
        const target_fault fault =
            word == "STATUS" || word == "ROLLBACK" ? target_fault::none : faults_(is_setup);
        if (fault == target_fault::close_connection) {
            from.stream->reset();
            return;
        }
        from.is_silent = from.is_silent || fault == target_fault::stay_silent;
        if (fault == target_fault::refuse) {
            from.is_failed = !from.transaction.empty();
            answer(from, "ERROR FAILED refused");
            return;
        }
        if (from.is_failed && word != "ROLLBACK" && word != "COMMIT") {
            answer(from, "ERROR MALFORMED the transaction has failed");
            return;
        }
        const std::string result =
            is_setup ? run_setup(from, line, word, rest) : run(from, line, id, word, text, rest);
        const bool is_refused = fault == target_fault::run_and_refuse && is_setup;
        from.is_failed = from.is_failed || (is_refused && !from.transaction.empty());
        answer(from, is_refused ? "ERROR FAILED refused" : result);
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
            return "DATAROW primary 1 1." + std::to_string(position) + " 0 0 0 1\r\nCOMPLETE -";
        }
        if (word == "ROLLBACK") {
            end_transaction(from, false);
            return "COMPLETE -";
        }
        if (word == "BEGIN") {
            if (!from.transaction.empty()) {
                violations.push_back("BEGIN inside a transaction: " + line.substr(0, 200));
            }
            from.transaction = id;
            return "COMPLETE -";
        }
        reference_run entry;
        entry.id = id;
        entry.text = text;
        entry.values = from.values;
        entry.connection = from.number;
        entry.transaction = from.transaction;
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
            runs.push_back(entry);
            return is_kept ? "COMPLETE " + entry.proof : "ERROR ABORTED failed";
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
    }

    std::string id_;
    fault_source faults_;
    std::vector<connection_ptr> connections_;
    transport::tcp_listener listener_;
};

}  // namespace hornbeamhook::tests
