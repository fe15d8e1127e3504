#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "proxy/target_lane.h"
#include "support/random_seed.h"

namespace hornbeamhook::proxy {
namespace {

using coordination::request_kind;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const state::time_point start{std::chrono::hours(1)};
constexpr seconds run_time{20};
// The lane learns the service times and the parallelism of the target first.
constexpr seconds learning_time{5};
constexpr milliseconds expire_interval{10};
constexpr int quiet_callers = 4;
constexpr double load_factor = 3;
// Of the capacity of a kind; four quiet callers together stay below a third of it.
constexpr double quiet_share = 0.08;

/** A target that runs a fixed number of requests of a kind at once, in the order of arrival. */
struct kind_model {
    microseconds service_time{0};
    std::vector<state::time_point> free_at;
    milliseconds deadline{0};

    double get_capacity() const {  // Requests per second.
        return 1e6 * static_cast<double>(free_at.size()) /
               static_cast<double>(service_time.count());
    }

    state::time_point run(state::time_point now) {
        const auto first = std::min_element(free_at.begin(), free_at.end());
        *first = std::max(*first, now) + service_time;
        return *first;
    }
};

struct caller_count {
    int offered = 0;
    int in_time = 0;
};

/** One lane and one target in virtual time, under an open loop of one busy and some quiet callers.
 */
class overload_run {
public:
    explicit overload_run(std::uint64_t seed) : random_(seed) {
        for (const request_kind kind : {request_kind::read, request_kind::write}) {
            kind_model& model = models_[kind];
            model.service_time = microseconds(4000 + random_() % 16'000);
            model.free_at.resize(kind == request_kind::read ? 3 : 1 + random_() % 3, start);
            model.deadline = milliseconds(300 + random_() % 700);
            schedule_arrival(kind, start);
        }
        schedule(start + expire_interval, [this](state::time_point now) { expire(now); });
    }

    void run() {
        while (!events_.empty()) {
            const event next = events_.top();
            events_.pop();
            next.action(next.at);
            for (const std::function<void()>& each : lane_.take(next.at)) {
                now_ = next.at;
                each();
            }
        }
    }

    int get_in_time() const {
        int in_time = 0;
        for (const auto& [key, each] : counts_) {
            in_time += each.in_time;
        }
        return in_time;
    }

    double get_used_share(request_kind kind) {
        const double possible =
            models_[kind].get_capacity() * static_cast<double>((run_time - learning_time).count());
        int in_time = 0;
        for (const auto& [key, each] : counts_) {
            in_time += key.first == kind ? each.in_time : 0;
        }
        return in_time / possible;
    }

    double get_lowest_quiet_share(request_kind kind) const {
        double lowest = 1;
        for (const auto& [key, each] : counts_) {
            if (key.first == kind && key.second != "busy") {
                lowest = std::min(lowest, static_cast<double>(each.in_time) / each.offered);
            }
        }
        return lowest;
    }

    int late = 0;                  ///< Started, and ended after the deadline.
    int late_within_estimate = 0;  ///< Of these, those that took no longer than estimated.
    int kept_too_long = 0;  ///< Refused after the deadline, with the interval of expire() allowed.
    int unresolved = 0;     ///< Neither started nor refused.

private:
    struct event {
        state::time_point at;
        std::uint64_t number;
        std::function<void(state::time_point)> action;

        bool operator<(const event& other) const {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    void schedule(state::time_point at, std::function<void(state::time_point)> action) {
        events_.push({at, next_number_++, std::move(action)});
    }

    void schedule_arrival(request_kind kind, state::time_point now) {
        std::exponential_distribution<double> gap(load_factor * models_[kind].get_capacity());
        const state::time_point at =
            now + microseconds(static_cast<std::int64_t>(1e6 * gap(random_)));
        if (at < start + run_time) {
            schedule(at, [this, kind](state::time_point time) { arrive(kind, time); });
        }
    }

    std::string choose_caller() {
        const double share = std::uniform_real_distribution<>(0, load_factor)(random_);
        const int number = static_cast<int>(share / quiet_share);
        return number < quiet_callers ? "quiet" + std::to_string(number) : "busy";
    }

    void arrive(request_kind kind, state::time_point now) {
        schedule_arrival(kind, now);
        const std::string caller = choose_caller();
        const state::time_point deadline = now + models_[kind].deadline;
        const bool is_counted = now >= start + learning_time;
        counts_[{kind, caller}].offered += is_counted ? 1 : 0;
        ++unresolved;
        now_ = now;
        lane_.offer(
            {0, caller, kind, deadline},
            [this, kind, caller, deadline, is_counted](const lane_place& place) {
                --unresolved;
                const state::time_point end = models_[kind].run(now_);
                const bool is_late = is_counted && end > deadline;
                const bool is_within = end - now_ <= place_needed(kind);
                late += is_late ? 1 : 0;
                late_within_estimate += is_late && is_within ? 1 : 0;
                counts_[{kind, caller}].in_time += is_counted && end <= deadline ? 1 : 0;
                schedule(end, [this, place](state::time_point time) {
                    lane_.finish(place, true, time);
                });
            },
            [this, deadline](lane_refusal /*reason*/) {
                --unresolved;
                kept_too_long += now_ > deadline + expire_interval ? 1 : 0;
            },
            now);
    }

    microseconds place_needed(request_kind kind) {
        return lane_.get_service_rate(kind).needed_time;
    }

    void expire(state::time_point now) {
        now_ = now;
        lane_.expire(now);
        if (now < start + run_time + seconds(5)) {
            schedule(now + expire_interval, [this](state::time_point time) { expire(time); });
        }
    }

    std::mt19937_64 random_;
    target_lane lane_{256, 3, 9};
    std::map<request_kind, kind_model> models_;
    std::map<std::pair<request_kind, std::string>, caller_count> counts_;
    std::priority_queue<event> events_;
    std::uint64_t next_number_ = 0;
    state::time_point now_{};
};

// Guards against work that ends too late, callers that starve, requests that wait for ever and a
// target that idles, at three times what the target can do.
TEST(overload_exploration, decisions_hold_at_three_times_the_capacity) {
    const std::uint64_t first_seed = tests::get_seed("overload_exploration", 500);
    for (std::uint64_t seed = first_seed; seed < first_seed + 20; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        overload_run load(seed);
        load.run();
        EXPECT_EQ(load.late_within_estimate, 0);
        EXPECT_LE(load.late, load.get_in_time() / 200);
        EXPECT_EQ(load.kept_too_long, 0);
        EXPECT_EQ(load.unresolved, 0);
        for (const request_kind kind : {request_kind::read, request_kind::write}) {
            SCOPED_TRACE(kind == request_kind::read ? "reads" : "writes");
            EXPECT_GE(load.get_used_share(kind), 0.9);
            EXPECT_GE(load.get_lowest_quiet_share(kind), 0.95);
        }
    }
}

}  // namespace
}  // namespace hornbeamhook::proxy
