#include "proxy/fleet_service.h"

#include <utility>

#include "proxy/fleet_control.h"

namespace hornbeamhook::proxy {

struct fleet_service::implementation {
    fleet_control control;
};

fleet_service::fleet_service(protocol::proxy_settings settings, std::uint64_t incarnation,
                             audit_log& audit)
    : implementation_(new implementation{{std::move(settings), incarnation, audit}}) {}

fleet_service::~fleet_service() {
    stop();
}

void fleet_service::start() {
    implementation_->control.start();
}

void fleet_service::stop() {
    implementation_->control.stop();
}

std::shared_ptr<const state::fleet_view> fleet_service::get_view() const {
    return implementation_->control.get_view();
}

void fleet_service::request_poll(const std::string& pool) {
    if (const std::shared_ptr<group_slot> slot = implementation_->control.find_slot(pool)) {
        slot->request_poll();
    }
}

std::shared_ptr<const state::group_view> fleet_service::wait_for_group(
    const std::string& pool, state::time_point deadline,
    const std::function<bool(const state::group_view&)>& is_satisfied) {
    const std::shared_ptr<group_slot> slot = implementation_->control.find_slot(pool);
    return slot ? slot->wait(deadline, is_satisfied) : nullptr;
}

void fleet_service::report_target_failure(const std::string& pool, const std::string& /*target*/) {
    request_poll(pool);
}

void fleet_service::report_primary(const std::string& pool, const state::primary_view& primary) {
    implementation_->control.report_primary(pool, primary);
}

transport::http_response fleet_service::handle(const transport::http_request& request) {
    return implementation_->control.handle(request);
}

void fleet_service::begin_drain() {
    implementation_->control.begin_drain();
}

bool fleet_service::is_ready() const {
    const std::shared_ptr<const state::fleet_view> view = get_view();
    return view->config->version > 0 && view->is_configuration_confirmed && !view->is_draining;
}

}  // namespace hornbeamhook::proxy
