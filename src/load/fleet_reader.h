#pragma once

#include <boost/leaf.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "load/answer_record.h"
#include "load/caller_client.h"
#include "load/final_state.h"
#include "load/load_settings.h"
#include "load/load_tables.h"

namespace hornbeamhook::load {

/** Prepares the tables of a run and reads all their rows strictly afterwards. */
class fleet_reader {
public:
    /** All references must outlive this. */
    fleet_reader(const load_settings& settings, const load_tables& tables, caller_client& client);

    /** Creates and fills the tables of one pool. Fails with load_error. */
    boost::leaf::result<void> prepare(const std::string& pool);

    /**
     * Reads all rows of one pool strictly. Reads again what was answered with the rows of another
     * request. Fails with load_error.
     */
    boost::leaf::result<final_state> read(const std::string& pool);

    /** Returns the answers to other requests that reads got, and forgets them. */
    std::vector<answer_record> take_wrong_answers();

private:
    using row_handler = std::function<void(const api_result& result, std::size_t row)>;

    boost::leaf::result<api_answer> repeat(const std::string& pool, const nlohmann::json& body);
    boost::leaf::result<api_result> read_own_rows(const std::string& pool, const std::string& echo,
                                                  const nlohmann::json& statements);
    bool is_own_answer(const std::string& pool, const std::string& echo, const api_result& result);
    boost::leaf::result<std::size_t> read_page(const std::string& pool, const std::string& echo,
                                               const nlohmann::json& statements,
                                               const row_handler& handle);
    boost::leaf::result<void> read_numbered(
        const std::string& pool,
        const std::function<nlohmann::json(const std::string&, std::int64_t)>& make_statements,
        const row_handler& handle);

    const load_settings& settings_;
    const load_tables& tables_;
    caller_client& client_;
    std::uint64_t next_echo_ = 0;
    std::size_t next_proxy_ = 0;
    std::vector<answer_record> wrong_answers_;
};

}  // namespace hornbeamhook::load
