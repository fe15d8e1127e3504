#include "gateway/target_control.h"

#include <utility>

namespace hornbeamhook::gateway {

namespace {

constexpr std::int64_t control_timeout_ms = 500;  ///< A report needs a free slot and two trips.

}  // namespace

target_control::~target_control() {
    // The loop closes handles after this; their callbacks must not reach this object.
    for (const std::shared_ptr<target_link>& link : links_) {
        link->abandon();
    }
}

void target_control::request_report(const target_entry& target,
                                    std::function<void(const std::optional<target_report>&)> done) {
    struct request {
        std::function<void(const std::optional<target_report>&)> done;
        std::weak_ptr<target_link> link;
        void finish(const std::optional<target_report>& report) {
            if (const auto callback = std::exchange(done, nullptr)) {
                callback(report);
            }
        }
    };
    const auto shared = std::make_shared<request>();
    shared->done = std::move(done);
    const std::shared_ptr<target_link> link = target_link::open(
        loop_, protocol_, target,
        {.opened =
             [this, shared] {
                 const auto opened = shared->link.lock();
                 opened->send(protocol_.format_report_request(), 0,
                              [this, shared](const target_answer& answer) {
                                  shared->finish(answer.rows.empty()
                                                     ? std::nullopt
                                                     : protocol_.parse_report(answer.rows[0]));
                                  if (const auto used = shared->link.lock()) {
                                      used->close();
                                  }
                              });
             },
         .ended = [shared](const auto&) { shared->finish(std::nullopt); },
         .answered = {}});
    shared->link = link;
    links_.push_back(link);
}

void target_control::send(const target_entry& target, const std::string& bytes) {
    const auto shared = std::make_shared<std::weak_ptr<target_link>>();
    const std::shared_ptr<target_link> link =
        target_link::open(loop_, protocol_, target,
                          {.opened =
                               [shared, bytes] {
                                   const auto opened = shared->lock();
                                   opened->send(bytes, 0, [shared](const target_answer&) {
                                       if (const auto used = shared->lock()) {
                                           used->close();
                                       }
                                   });
                               },
                           .ended = {},
                           .answered = {}});
    *shared = link;
    links_.push_back(link);
}

void target_control::close_timed_out(std::int64_t now) {
    // Iterate over a copy, because the callback of one report may request the next.
    const std::vector<std::shared_ptr<target_link>> links = links_;
    for (const std::shared_ptr<target_link>& link : links) {
        if (!link->is_ended() && now - link->get_opened_at() > control_timeout_ms) {
            link->close();
        }
    }
    std::erase_if(links_, [](const auto& link) { return link->is_ended(); });
}

}  // namespace hornbeamhook::gateway
