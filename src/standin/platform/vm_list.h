#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hornbeamhook::standin::platform {

/** State of a VM in the list. */
enum class vm_state { live, leaving, gone };

/** One VM as registered. */
struct listed_vm {
    std::string vm;
    std::string address;
    std::string place;
    std::string data_center;
    vm_state state = vm_state::live;

    auto operator<=>(const listed_vm&) const = default;
};

/** List of VMs that shows each change only after a lag. Thread safe. */
class vm_list {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /** Records the state of a VM as of `now`. */
    void put(listed_vm entry, time_point now);

    /** The live and leaving VMs as of `now - lag`, ordered by id. `now` must not decrease. */
    std::vector<listed_vm> get_list(time_point now, std::chrono::milliseconds lag);

private:
    struct change {
        time_point at;
        listed_vm entry;
    };

    std::mutex mutex_;
    std::map<std::string, listed_vm> shown_;
    std::deque<change> pending_;
};

}  // namespace hornbeamhook::standin::platform
