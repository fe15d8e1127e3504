#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace hornbeamhook::standin::target {

/** How a session behaves when an answer is lost, or when it was made silent. */
enum class answer_loss { close, silent };

/** Faults a test has switched on. */
struct fault_set {
    std::chrono::milliseconds replication_lag{0};
    std::set<std::string> cut_peers;  ///< No replication to or from these peers.
    bool refuse_connections = false;
    std::chrono::milliseconds answer_delay{0};
    int lose_commit_answers = 0;  ///< The answers to so many next commits get lost.
    answer_loss loss = answer_loss::close;

    bool operator==(const fault_set&) const = default;
};

/** The faults in force, shared by all threads of a target. Thread safe. */
class fault_state {
public:
    explicit fault_state(std::chrono::milliseconds replication_lag);

    fault_set get() const;
    void set(fault_set value);

    /** Whether the answer to the commit that just took effect gets lost. Counts it down. */
    bool take_commit_answer_loss();

private:
    mutable std::mutex mutex_;
    fault_set value_;
};

/** Changes `base` by the fields present in a `POST /control/faults` body. Fails with state_error.
 */
boost::leaf::result<fault_set> parse_faults(const nlohmann::json& object, const fault_set& base);

nlohmann::json to_json(const fault_set& value);

}  // namespace hornbeamhook::standin::target
