#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>

namespace hornbeamhook::standin::platform {

/** How requests fail while the service is down. */
enum class outage_kind {
    none,
    refuse,  ///< Answers 503 at once; nothing took effect.
    hang,    ///< Never answers; nothing took effect.
};

/** Faults in force. */
struct fault_settings {
    outage_kind outage = outage_kind::none;
    std::chrono::milliseconds latency{0};  ///< Added to each answer.
    std::uint64_t lose_answers = 0;        ///< Answers to writes still to be lost.
    double lose_answer_rate = 0;           ///< Share of answers to writes that is lost.
    std::string lose_answers_of;           ///< Only writes to this table, or all when empty.
    std::chrono::milliseconds vm_list_lag{0};
    std::uint64_t seed = 0;  ///< Of the random choice for lose_answer_rate.
};

/** What to do with one request. */
struct fault_decision {
    outage_kind outage = outage_kind::none;
    std::chrono::milliseconds latency{0};
    bool is_answer_lost = false;  ///< The effect takes place, the answer is never sent.
};

/** Faults set through POST /control/faults. Thread safe. */
class fault_plan {
public:
    explicit fault_plan(fault_settings initial);

    /** Changes the fields present in `object` and keeps the others. Fails with state_error. */
    boost::leaf::result<void> update(const nlohmann::json& object);

    /** Decides on one request; `written_table` is empty for reads. Consumes lost answers. */
    fault_decision decide(const std::string& written_table);

    /** The faults in force. */
    fault_settings get_settings() const;

private:
    mutable std::mutex mutex_;
    fault_settings settings_;
    std::mt19937_64 random_;
};

/** The faults as JSON with the field names of POST /control/faults. */
nlohmann::json to_json(const fault_settings& settings);

}  // namespace hornbeamhook::standin::platform
