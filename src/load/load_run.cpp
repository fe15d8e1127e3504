#include "load/load_run.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <thread>
#include <utility>

#include "load/fleet_reader.h"
#include "load/health_check.h"
#include "load/history_checker.h"
#include "load/load_error.h"
#include "load/load_events.h"
#include "load/load_report.h"

namespace hornbeamhook::load {

namespace leaf = boost::leaf;

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::steady_clock;

constexpr milliseconds progress_interval{1000};
constexpr milliseconds settle_interval{500};
constexpr milliseconds settle_time{30'000};

}  // namespace

load_run::load_run(load_settings settings)
    : settings_(std::move(settings)),
      tables_(settings_.run),
      client_(settings_.credential),
      proxies_(settings_.proxies),
      events_(progress_) {}

leaf::result<nlohmann::json> load_run::run() {
    start_control();
    fleet_reader reader(settings_, tables_, client_);
    for (const std::string& pool : settings_.pools) {
        BOOST_LEAF_CHECK(reader.prepare(pool));
    }
    for (int i = 0; i < settings_.clients; ++i) {
        sessions_.push_back(
            std::make_unique<session>(i, settings_, tables_, client_, proxies_, progress_));
    }
    transport::log_event(run_started, {{"deployment", settings_.deployment},
                                       {"seed", std::to_string(settings_.seed)},
                                       {"run", settings_.run}});
    events_.set_phase(event_log::phase::running);
    const time_point begin = steady_clock::now();
    drive(begin);
    events_.set_phase(event_log::phase::checking);
    std::cout << "reading the final rows" << std::endl;
    BOOST_LEAF_AUTO(pools, read_final_states());
    history seen;
    run_statistics statistics;
    for (const auto& caller : sessions_) {
        seen.append(caller->take_history());
        statistics.append(caller->take_statistics());
    }
    seen.answers.insert(seen.answers.end(), wrong_final_answers_.begin(),
                        wrong_final_answers_.end());
    seen.events = events_.get_events();
    const check_result checked = check_history(seen, pools);
    nlohmann::json report = make_report({settings_, seen, statistics, checked,
                                         begin + settings_.warm_up, begin + settings_.duration});
    events_.set_phase(event_log::phase::finished);
    if (control_) {
        control_->stop();
    }
    return report;
}

void load_run::start_control() {
    if (settings_.control_address.empty()) {
        return;
    }
    control_ = std::make_unique<transport::http_server>(
        transport::http_server_options{.address = settings_.control_address, .threads = 1},
        [this](const transport::http_request& request, const transport::http_responder& respond) {
            respond(events_.handle(request));
        });
    control_->start();
}

void load_run::drive(time_point begin) {
    const health_check checks(settings_.proxies, proxies_);
    std::vector<std::thread> threads;
    threads.reserve(sessions_.size());
    for (const auto& caller : sessions_) {
        threads.emplace_back([this, begin, &caller] { run_session(*caller, begin); });
    }
    watch(begin);
    for (std::thread& thread : threads) {
        thread.join();
    }
}

void load_run::run_session(session& caller, time_point begin) {
    const time_point end = begin + settings_.duration;
    while (true) {
        const time_point scheduled = settings_.rate ? take_arrival(begin) : steady_clock::now();
        if (scheduled >= end) {
            return;
        }
        std::this_thread::sleep_until(scheduled);
        caller.run_operation(scheduled);
    }
}

time_point load_run::take_arrival(time_point begin) {
    const double seconds = static_cast<double>(next_arrival_++) / *settings_.rate;
    return begin + duration_cast<nanoseconds>(std::chrono::duration<double>(seconds));
}

void load_run::watch(time_point begin) {
    const time_point end = begin + settings_.duration;
    std::int64_t completed_before = 0;
    time_point next_progress = begin + progress_interval;
    bool is_kill_pending = settings_.kill_primary_at.has_value();
    while (steady_clock::now() < end) {
        time_point wake = std::min(next_progress, end);
        if (is_kill_pending) {
            wake = std::min(wake, begin + *settings_.kill_primary_at);
        }
        std::this_thread::sleep_until(wake);
        if (is_kill_pending && steady_clock::now() >= begin + *settings_.kill_primary_at) {
            is_kill_pending = false;
            events_.set_kill_primary_due();
            transport::log_event(kill_primary_due, {});
        }
        if (steady_clock::now() >= next_progress) {
            next_progress += progress_interval;
            print_progress(begin, completed_before);
        }
    }
}

void load_run::print_progress(time_point begin, std::int64_t& completed_before) {
    const std::chrono::duration<double> elapsed = steady_clock::now() - begin;
    const std::int64_t completed = progress_.completed;
    std::cout << std::fixed << std::setprecision(1) << "t=" << elapsed.count()
              << "s completed=" << completed << " per_second=" << completed - completed_before
              << " refused=" << progress_.refused << " unknown=" << progress_.unknown << std::endl;
    completed_before = completed;
}

leaf::result<std::map<std::string, final_state>> load_run::read_final_states() {
    std::map<std::string, final_state> pools;
    fleet_reader reader(settings_, tables_, client_);
    for (const std::string& pool : settings_.pools) {
        BOOST_LEAF_AUTO(state, reader.read(pool));
        const time_point give_up_at = steady_clock::now() + settle_time;
        while (true) {
            // A request with unknown outcome may still land; the rows of one read of all tables
            // belong together only when nothing changes any more.
            std::this_thread::sleep_for(settle_interval);
            BOOST_LEAF_AUTO(again, reader.read(pool));
            if (again == state) {
                break;
            }
            if (steady_clock::now() > give_up_at) {
                return leaf::new_error(load_error{"pool " + pool + ": rows still change"});
            }
            state = std::move(again);
        }
        pools.emplace(pool, std::move(state));
    }
    wrong_final_answers_ = reader.take_wrong_answers();
    return pools;
}

}  // namespace hornbeamhook::load
