#include "load/run_statistics.h"

#include <iterator>
#include <utility>

namespace hornbeamhook::load {

void run_statistics::append(run_statistics other) {
    samples.insert(samples.end(), other.samples.begin(), other.samples.end());
    for (const auto& [code, count] : other.refusals) {
        refusals[code] += count;
    }
    for (const auto& [code, count] : other.unknowns) {
        unknowns[code] += count;
    }
    messages.merge(std::move(other.messages));
}

}  // namespace hornbeamhook::load
