#pragma once

#include <atomic>
#include <boost/leaf.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load/caller_client.h"
#include "load/event_log.h"
#include "load/final_state.h"
#include "load/load_settings.h"
#include "load/load_tables.h"
#include "load/progress_counters.h"
#include "load/proxy_directory.h"
#include "load/session.h"
#include "transport/http_server.h"

namespace hornbeamhook::load {

/** One run: prepares tables, drives all sessions, reads the final rows, checks and reports. */
class load_run {
public:
    explicit load_run(load_settings settings);

    /** Blocks until the report is complete. Prints progress lines. Fails with load_error. */
    boost::leaf::result<nlohmann::json> run();

private:
    void start_control();
    void drive(time_point begin);
    void run_session(session& caller, time_point begin);
    time_point take_arrival(time_point begin);
    void watch(time_point begin);
    void print_progress(time_point begin, std::int64_t& completed_before);
    boost::leaf::result<std::map<std::string, final_state>> read_final_states();

    const load_settings settings_;
    const load_tables tables_;
    caller_client client_;
    proxy_directory proxies_;
    progress_counters progress_;
    event_log events_;
    std::unique_ptr<transport::http_server> control_;
    std::vector<std::unique_ptr<session>> sessions_;
    std::atomic<std::uint64_t> next_arrival_ = 0;
    std::vector<answer_record> wrong_final_answers_;
};

}  // namespace hornbeamhook::load
