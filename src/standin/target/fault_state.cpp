#include "standin/target/fault_state.h"

#include <utility>

#include "state/json_reader.h"

namespace hornbeamhook::standin::target {

namespace leaf = boost::leaf;

namespace {
constexpr std::int64_t max_delay_ms = 3'600'000;
}  // namespace

fault_state::fault_state(std::chrono::milliseconds replication_lag) {
    value_.replication_lag = replication_lag;
}

fault_set fault_state::get() const {
    const std::scoped_lock lock(mutex_);
    return value_;
}

void fault_state::set(fault_set value) {
    const std::scoped_lock lock(mutex_);
    value_ = std::move(value);
}

bool fault_state::take_commit_answer_loss() {
    const std::scoped_lock lock(mutex_);
    if (value_.lose_commit_answers == 0) {
        return false;
    }
    --value_.lose_commit_answers;
    return true;
}

leaf::result<fault_set> parse_faults(const nlohmann::json& object, const fault_set& base) {
    state::json_reader reader(object, "");
    fault_set next = base;
    next.replication_lag = std::chrono::milliseconds(
        reader.get_integer("replication_lag_ms", 0, max_delay_ms, base.replication_lag.count()));
    next.refuse_connections = reader.get_boolean("refuse_connections", base.refuse_connections);
    next.answer_delay = std::chrono::milliseconds(
        reader.get_integer("answer_delay_ms", 0, max_delay_ms, base.answer_delay.count()));
    next.lose_commit_answers = static_cast<int>(
        reader.get_integer("lose_commit_answers", 0, 1'000'000, base.lose_commit_answers));
    next.loss = reader.get_choice("lose_commit_mode", {"close", "silent"},
                                  base.loss == answer_loss::close ? "close" : "silent") == "close"
                    ? answer_loss::close
                    : answer_loss::silent;
    if (const nlohmann::json* peers = reader.get_array("cut_peers", false)) {
        next.cut_peers.clear();
        for (const nlohmann::json& peer : *peers) {
            if (!peer.is_string()) {
                reader.fail("cut_peers", peer.dump() + " is not allowed; allowed: names of peers");
                break;
            }
            next.cut_peers.insert(peer.get<std::string>());
        }
    }
    BOOST_LEAF_CHECK(reader.finish());
    return next;
}

nlohmann::json to_json(const fault_set& value) {
    return {{"replication_lag_ms", value.replication_lag.count()},
            {"cut_peers", value.cut_peers},
            {"refuse_connections", value.refuse_connections},
            {"answer_delay_ms", value.answer_delay.count()},
            {"lose_commit_answers", value.lose_commit_answers},
            {"lose_commit_mode", value.loss == answer_loss::close ? "close" : "silent"}};
}

}  // namespace hornbeamhook::standin::target
