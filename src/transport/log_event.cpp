#include "transport/log_event.h"

#include <glog/logging.h>

#include "transport/format_event.h"

namespace hornbeamhook::transport {

void log_event(const event_type& type, std::initializer_list<event_field> fields) {
    const std::string line = format_event(type, fields);
    switch (type.severity) {
        case event_severity::info:
            LOG(INFO) << line;
            return;
        case event_severity::warning:
            LOG(WARNING) << line;
            return;
        case event_severity::error:
            LOG(ERROR) << line;
            return;
    }
}

void initialise_logging(const char* program) {
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

}  // namespace hornbeamhook::transport
