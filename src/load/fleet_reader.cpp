#include "load/fleet_reader.h"

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>

#include "load/load_error.h"

namespace hornbeamhook::load {

namespace leaf = boost::leaf;

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds give_up_after{30'000};
constexpr milliseconds retry_interval{50};
constexpr milliseconds read_deadline{5'000};
constexpr int page_rows = 1000;
/// A fleet that answers this often with other requests' rows cannot be read at all.
constexpr int max_wrong_answers = 10;

}  // namespace

fleet_reader::fleet_reader(const load_settings& settings, const load_tables& tables,
                           caller_client& client)
    : settings_(settings), tables_(tables), client_(client) {}

leaf::result<api_answer> fleet_reader::repeat(const std::string& pool, const nlohmann::json& body) {
    const auto give_up_at = steady_clock::now() + give_up_after;
    while (true) {
        const proxy_endpoint& proxy = settings_.proxies[next_proxy_++ % settings_.proxies.size()];
        api_answer answer =
            client_.post(proxy.address, "/v1/pools/" + pool + "/statements", body, read_deadline);
        if (answer.is_ok()) {
            return answer;
        }
        const bool is_final = !answer.is_retry_allowed && answer.outcome == state::outcome::not_run;
        if (is_final || steady_clock::now() > give_up_at) {
            return leaf::new_error(load_error{"pool " + pool + ": proxy " + proxy.name +
                                              " answered " + answer.code + ": " + answer.message});
        }
        std::this_thread::sleep_for(retry_interval);
    }
}

leaf::result<void> fleet_reader::prepare(const std::string& pool) {
    nlohmann::json body{{"kind", "write"}, {"deadline_ms", read_deadline.count()}};
    body["statements"] = tables_.make_setup(settings_.mix);
    body["idempotency_key"] = settings_.run + "setup";
    BOOST_LEAF_CHECK(repeat(pool, body));
    return {};
}

std::vector<answer_record> fleet_reader::take_wrong_answers() {
    return std::exchange(wrong_answers_, {});
}

bool fleet_reader::is_own_answer(const std::string& pool, const std::string& echo,
                                 const api_result& result) {
    for (std::size_t row = 0; row < result.rows.size(); ++row) {
        if (result.get_cell(row, 0) == echo) {
            continue;
        }
        const proxy_endpoint& proxy =
            settings_.proxies[(next_proxy_ - 1) % settings_.proxies.size()];
        const time_point now = steady_clock::now();
        wrong_answers_.push_back(
            {proxy.name, pool, now, now, echo, result.get_cell(row, 0), "", false, 0});
        return false;
    }
    return true;
}

leaf::result<api_result> fleet_reader::read_own_rows(const std::string& pool,
                                                     const std::string& echo,
                                                     const nlohmann::json& statements) {
    const nlohmann::json body{{"kind", "read"},
                              {"read_policy", {{"strict", true}}},
                              {"deadline_ms", read_deadline.count()},
                              {"statements", statements}};
    for (int attempt = 0; attempt < max_wrong_answers; ++attempt) {
        BOOST_LEAF_AUTO(answer, repeat(pool, body));
        if (answer.results.size() != 1) {
            return leaf::new_error(load_error{"pool " + pool + ": a read returned no result"});
        }
        if (is_own_answer(pool, echo, answer.results.front())) {
            return std::move(answer.results.front());
        }
    }
    return leaf::new_error(
        load_error{"pool " + pool + ": the final read got only answers of other requests"});
}

leaf::result<std::size_t> fleet_reader::read_page(const std::string& pool, const std::string& echo,
                                                  const nlohmann::json& statements,
                                                  const row_handler& handle) {
    BOOST_LEAF_AUTO(result, read_own_rows(pool, echo, statements));
    for (std::size_t row = 0; row < result.rows.size(); ++row) {
        handle(result, row);
    }
    return result.rows.size();
}

leaf::result<void> fleet_reader::read_numbered(
    const std::string& pool,
    const std::function<nlohmann::json(const std::string&, std::int64_t)>& make_statements,
    const row_handler& handle) {
    std::int64_t last = 0;
    while (true) {
        const std::string echo = settings_.run + "final" + std::to_string(next_echo_++);
        const auto handle_row = [&](const api_result& result, std::size_t row) {
            last = std::max<std::int64_t>(
                last, std::strtoll(result.get_cell(row, 1).c_str(), nullptr, 10));
            handle(result, row);
        };
        BOOST_LEAF_AUTO(rows, read_page(pool, echo, make_statements(echo, last), handle_row));
        if (rows < page_rows) {
            return {};
        }
    }
}

leaf::result<final_state> fleet_reader::read(const std::string& pool) {
    final_state state;
    state.expected_balance_sum = load_tables::get_balance_sum(settings_.mix);
    BOOST_LEAF_CHECK(read_numbered(
        pool,
        [&](const std::string& echo, std::int64_t after) {
            return tables_.make_list_entries(echo, after, page_rows);
        },
        [&](const api_result& result, std::size_t row) {
            state.entries[result.get_cell(row, 2)] += 1;
            const std::string item = result.get_cell(row, 3);
            if (!item.empty()) {
                state.entries_by_item[item] += 1;
            }
        }));
    BOOST_LEAF_CHECK(read_numbered(
        pool,
        [&](const std::string& echo, std::int64_t after) {
            return tables_.make_list_legs(echo, after, page_rows);
        },
        [&](const api_result& result, std::size_t row) {
            state.legs[result.get_cell(row, 2)] += 1;
        }));
    const std::string echo = settings_.run + "final" + std::to_string(next_echo_++);
    BOOST_LEAF_CHECK(read_page(pool, echo, tables_.make_list_stock(echo),
                               [&](const api_result& result, std::size_t row) {
                                   state.versions[result.get_cell(row, 1)] =
                                       std::strtoll(result.get_cell(row, 2).c_str(), nullptr, 10);
                               }));
    const std::string sum_echo = settings_.run + "final" + std::to_string(next_echo_++);
    BOOST_LEAF_CHECK(read_page(pool, sum_echo, tables_.make_read_sum(sum_echo),
                               [&](const api_result& result, std::size_t row) {
                                   state.balance_sum =
                                       std::strtoll(result.get_cell(row, 1).c_str(), nullptr, 10);
                               }));
    return state;
}

}  // namespace hornbeamhook::load
