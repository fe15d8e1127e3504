#pragma once

#include <memory>

#include "standin/platform/platform_settings.h"

namespace hornbeamhook::standin::platform {

/**
 * The platform's table service, object store and VM list over HTTP, in memory, with settable
 * faults. docs/design.md, section 8, lists the requests.
 */
class platform_service {
public:
    explicit platform_service(const platform_settings& settings);
    ~platform_service();
    platform_service(const platform_service&) = delete;
    platform_service& operator=(const platform_service&) = delete;

    /** Binds and starts the threads. Throws std::runtime_error when the address is taken. */
    void start();

    /** Stops listening. Safe to call twice. Not thread safe. */
    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> implementation_;
};

}  // namespace hornbeamhook::standin::platform
