#include "load/health_check.h"

#include <boost/leaf.hpp>

namespace hornbeamhook::load {

namespace leaf = boost::leaf;

namespace {

using std::chrono::milliseconds;

// Well below the grace a draining proxy gives its balancer (1 s).
constexpr milliseconds check_interval{250};
constexpr milliseconds check_timeout{1000};
constexpr int http_ok = 200;

}  // namespace

health_check::health_check(const std::vector<proxy_endpoint>& proxies, proxy_directory& directory)
    : directory_(directory) {
    for (std::size_t i = 0; i < proxies.size(); ++i) {
        threads_.emplace_back([this, i, &proxy = proxies[i]] { run(i, proxy); });
    }
}

health_check::~health_check() {
    is_stopping_ = true;
    for (std::thread& thread : threads_) {
        thread.join();
    }
}

void health_check::run(std::size_t index, const proxy_endpoint& proxy) {
    while (!is_stopping_) {
        directory_.set_ready(index, is_ready(proxy));
        std::this_thread::sleep_for(check_interval);
    }
}

bool health_check::is_ready(const proxy_endpoint& proxy) {
    transport::http_call call;
    call.address = proxy.address;
    call.target = "/readyz";
    call.timeout = check_timeout;
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(response, client_.call(call));
            return response.status == http_ok;
        },
        [] { return false; });
}

}  // namespace hornbeamhook::load
