#include "load/caller_client.h"

#include <boost/leaf.hpp>
#include <utility>

#include "transport/transport_error.h"

namespace hornbeamhook::load {

namespace leaf = boost::leaf;

namespace {

// The proxy answers within the deadline; the rest covers the way there and back.
constexpr std::chrono::milliseconds answer_allowance{1000};

const char* to_code(transport::transport_failure failure) {
    switch (failure) {
        case transport::transport_failure::refused:
            return "transport_refused";
        case transport::transport_failure::unreachable:
            return "transport_unreachable";
        case transport::transport_failure::timeout:
            return "transport_timeout";
        case transport::transport_failure::closed:
            return "transport_closed";
        case transport::transport_failure::invalid:
            break;
    }
    return "transport_invalid";
}

}  // namespace

caller_client::caller_client(std::string credential)
    : authorization_("Bearer " + std::move(credential)) {}

api_answer caller_client::post(const std::string& address, const std::string& path,
                               const nlohmann::json& body, std::chrono::milliseconds deadline) {
    transport::http_call call;
    call.method = "POST";
    call.address = address;
    call.target = path;
    call.body = body.dump();
    call.authorization = authorization_;
    call.timeout = deadline + answer_allowance;
    return leaf::try_handle_all(
        [&]() -> leaf::result<api_answer> {
            BOOST_LEAF_AUTO(response, client_.call(call));
            return parse_api_answer(response.body);
        },
        [](const transport::transport_error& error) {
            api_answer answer;
            answer.outcome = error.was_sent ? state::outcome::unknown : state::outcome::not_run;
            answer.code = to_code(error.failure);
            answer.message = error.message;
            answer.is_retry_allowed = true;
            return answer;
        },
        [] {
            api_answer answer;
            answer.code = "transport_failed";
            return answer;
        });
}

nlohmann::json make_statement(const std::string& sql, const std::vector<std::string>& parameters) {
    return {{"sql", sql}, {"parameters", parameters}};
}

}  // namespace hornbeamhook::load
