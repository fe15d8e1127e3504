#include "load/direct_run.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

#include "load/latency_summary.h"
#include "load/load_error.h"
#include "transport/target_connection.h"

namespace hornbeamhook::load {

namespace leaf = boost::leaf;

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using transport::target_connection;

constexpr milliseconds exchange_time{5'000};

steady_clock::time_point get_deadline() {
    return steady_clock::now() + exchange_time;
}

leaf::result<void> prepare(const direct_settings& settings, const std::string& table) {
    BOOST_LEAF_AUTO(connection, target_connection::open(settings.address, get_deadline()));
    BOOST_LEAF_CHECK(connection->run(
        {{"CREATE TABLE " + table + " (item TEXT PRIMARY KEY, version INTEGER)", {}}},
        get_deadline()));
    BOOST_LEAF_CHECK(connection->run(
        {{"INSERT INTO " + table + " (item, version) VALUES ('item0', 0)", {}}}, get_deadline()));
    return {};
}

/** One client until the end; returns its latencies in ms. */
leaf::result<std::vector<double>> read_until(const direct_settings& settings,
                                             const std::string& table,
                                             steady_clock::time_point end) {
    std::vector<double> latencies;
    BOOST_LEAF_AUTO(connection, target_connection::open(settings.address, get_deadline()));
    const std::string sql = "SELECT $1 AS echo, version FROM " + table + " WHERE item = $2";
    while (steady_clock::now() < end) {
        const std::string echo = std::to_string(latencies.size());
        const auto begin = steady_clock::now();
        BOOST_LEAF_AUTO(results, connection->run({{sql, {echo, "item0"}}}, get_deadline()));
        const std::chrono::duration<double, std::milli> latency = steady_clock::now() - begin;
        if (results.size() != 1 || results[0].rows.size() != 1 || results[0].rows[0][0] != echo) {
            return leaf::new_error(load_error{"the target answered another request"});
        }
        latencies.push_back(latency.count());
    }
    return latencies;
}

}  // namespace

leaf::result<nlohmann::json> run_direct(const direct_settings& settings) {
    const std::string table = "direct_" + settings.run;
    const auto as_load_error = [](const transport::target_error& error) -> leaf::error_id {
        return leaf::new_error(load_error{"target: " + error.message});
    };
    BOOST_LEAF_CHECK(
        leaf::try_handle_some([&]() -> leaf::result<void> { return prepare(settings, table); },
                              [&](const transport::target_error& error) -> leaf::result<void> {
                                  return as_load_error(error);
                              }));
    const auto begin = steady_clock::now();
    const auto end = begin + settings.duration;
    std::mutex mutex;
    std::vector<double> latencies;
    std::string failure;
    std::vector<std::thread> threads;
    threads.reserve(settings.clients);
    for (int i = 0; i < settings.clients; ++i) {
        threads.emplace_back([&] {
            const auto keep_failure = [&](const std::string& message) {
                const std::scoped_lock lock(mutex);
                failure = message;
            };
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(mine, read_until(settings, table, end));
                    const std::scoped_lock lock(mutex);
                    latencies.insert(latencies.end(), mine.begin(), mine.end());
                    return {};
                },
                [&](const transport::target_error& error) { keep_failure(error.message); },
                [&](const load_error& error) { keep_failure(error.message); },
                [&] { keep_failure("a client failed"); });
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    if (!failure.empty()) {
        return leaf::new_error(load_error{failure});
    }
    const std::chrono::duration<double> seconds = steady_clock::now() - begin;
    return nlohmann::json{
        {"clients", settings.clients},
        {"statements_per_second",
         round_to_thousandths(static_cast<double>(latencies.size()) / seconds.count())},
        {"latency_ms", summarise_latencies(std::move(latencies))}};
}

}  // namespace hornbeamhook::load
