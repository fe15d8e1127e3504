#include "standin/platform/fault_plan.h"

#include "state/json_reader.h"

namespace hornbeamhook::standin::platform {

namespace leaf = boost::leaf;

namespace {

constexpr std::int64_t max_delay_ms = 600'000;
constexpr std::int64_t max_lost_answers = 1'000'000;
constexpr std::int64_t max_seed = std::numeric_limits<std::int64_t>::max();

const char* to_string(outage_kind kind) {
    switch (kind) {
        case outage_kind::refuse:
            return "refuse";
        case outage_kind::hang:
            return "hang";
        case outage_kind::none:
            break;
    }
    return "none";
}

}  // namespace

fault_plan::fault_plan(fault_settings initial)
    : settings_(std::move(initial)), random_(settings_.seed) {}

leaf::result<void> fault_plan::update(const nlohmann::json& object) {
    const std::scoped_lock lock(mutex_);
    fault_settings next = settings_;
    state::json_reader reader(object, "faults");
    const std::string outage =
        reader.get_choice("outage", {"none", "refuse", "hang"}, to_string(next.outage));
    next.outage = outage == "refuse" ? outage_kind::refuse
                  : outage == "hang" ? outage_kind::hang
                                     : outage_kind::none;
    next.latency = std::chrono::milliseconds(
        reader.get_integer("latency_ms", 0, max_delay_ms, next.latency.count()));
    next.lose_answers = reader.get_integer("lose_answers", 0, max_lost_answers,
                                           static_cast<std::int64_t>(next.lose_answers));
    next.lose_answer_rate = reader.get_number("lose_answer_rate", 0, 1, next.lose_answer_rate);
    next.lose_answers_of = reader.get_string("lose_answers_of", next.lose_answers_of);
    next.vm_list_lag = std::chrono::milliseconds(
        reader.get_integer("vm_list_lag_ms", 0, max_delay_ms, next.vm_list_lag.count()));
    const bool is_seeded = reader.has("seed");
    next.seed =
        reader.get_integer("seed", 0, max_seed, static_cast<std::int64_t>(next.seed & max_seed));
    BOOST_LEAF_CHECK(reader.finish());
    settings_ = next;
    if (is_seeded) {
        random_.seed(next.seed);
    }
    return {};
}

fault_decision fault_plan::decide(const std::string& written_table) {
    const std::scoped_lock lock(mutex_);
    fault_decision decision;
    decision.outage = settings_.outage;
    decision.latency = settings_.latency;
    if (settings_.outage != outage_kind::none || written_table.empty() ||
        (!settings_.lose_answers_of.empty() && settings_.lose_answers_of != written_table)) {
        return decision;
    }
    if (settings_.lose_answers > 0) {
        --settings_.lose_answers;
        decision.is_answer_lost = true;
    } else if (settings_.lose_answer_rate > 0) {
        decision.is_answer_lost =
            std::uniform_real_distribution<double>(0, 1)(random_) < settings_.lose_answer_rate;
    }
    return decision;
}

fault_settings fault_plan::get_settings() const {
    const std::scoped_lock lock(mutex_);
    return settings_;
}

nlohmann::json to_json(const fault_settings& settings) {
    return {{"outage", to_string(settings.outage)},
            {"latency_ms", settings.latency.count()},
            {"lose_answers", settings.lose_answers},
            {"lose_answer_rate", settings.lose_answer_rate},
            {"lose_answers_of", settings.lose_answers_of},
            {"vm_list_lag_ms", settings.vm_list_lag.count()},
            {"seed", settings.seed}};
}

}  // namespace hornbeamhook::standin::platform
