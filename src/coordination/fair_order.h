#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamhook::coordination {

/** What decides the turn of a statement that waits for a connection. Times are in ms. */
struct waiting_statement {
    std::int64_t priority = 0;               ///< Class of the statement; 0 is the highest.
    std::string_view organisation;           ///< Empty if the caller is not identified.
    std::int64_t organisation_priority = 0;  ///< 0 is the highest.
    std::int64_t arrived_at = 0;
    std::int64_t objective_ms = 0;  ///< Time from its arrival to a timely answer.
    std::int64_t answer_ms = 0;     ///< Usual time from sending to the answer.
};

/**
 * Order of the statements that wait for the same connections. Classes go by priority; a class that
 * waits for long keeps a tenth of the room. Organisations of one class take turns, whatever number
 * of statements each of them has waiting (start-time fair queueing); a statement that can still be
 * answered within its objective goes before an older one of its class and organisation that cannot.
 * While the room does not suffice, an organisation that recently sent more than its share of all
 * classes comes after the others: otherwise its surplus in a high class would take the room of
 * their lower ones.
 * With one organisation and without long waits the order is priority, then arrival. Not thread
 * safe.
 */
class fair_order {
public:
    /** Indices of `waiting`, the next one to send first. `now` is in ms. */
    std::vector<std::size_t> arrange(const std::vector<waiting_statement>& waiting,
                                     std::int64_t now) const;

    /** Counts a statement that is sent at `now`, in ms, whether it waited or not. */
    void add_sent(std::int64_t priority, std::string_view organisation, std::int64_t now);

private:
    /** Turns of one class. Tags count statements of an organisation in virtual time. */
    struct class_turns {
        double time = 0;      ///< Start tag of the newest statement sent.
        int passed_over = 0;  ///< Statements of other classes sent since, up to the floor.
        std::map<std::string, double, std::less<>> next_tags;  ///< By organisation.
    };

    /** Statements that an organisation sent recently; older ones count less. */
    struct recent_use {
        double count = 0;  ///< At the time `updated_at`.
        std::int64_t updated_at = 0;

        double get(std::int64_t now) const;
    };

    static double get_next_tag(const class_turns& turns, std::string_view organisation);
    /** Organisations that used more than their share while others wait. */
    std::set<std::string_view> find_over_share(const std::vector<waiting_statement>& waiting,
                                               std::int64_t now) const;
    /** Appends the indices in the order of their turns. */
    void append_arranged(std::vector<std::size_t>& result, std::vector<std::size_t> sorted,
                         const std::vector<waiting_statement>& waiting, std::int64_t now) const;

    std::map<std::int64_t, class_turns> classes_;          ///< By priority.
    std::map<std::string, recent_use, std::less<>> uses_;  ///< By organisation.
};

}  // namespace hornbeamhook::coordination
