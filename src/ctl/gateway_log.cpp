#include "ctl/gateway_log.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <set>

#include "transport/format_event.h"

namespace hornbeamhook::ctl {

namespace {

constexpr std::string_view first_field = "boot_ms=";
/// Lines of a promotion's story, in the order of docs/events/gateway.md.
const std::set<std::string> promotion_events{
    "leadership_record_changed", "primary_right_lost", "primary_right_gained",
    "primary_right_revoked",     "promotion_step",     "promotion_ended",
    "promotion_abandoned",       "primary_suspected"};

using line_filter = std::function<bool(const gateway_log_line&)>;

/** The byte of an escape "xHH"; empty if the text begins with none. */
std::optional<char> parse_escaped_byte(std::string_view text) {
    constexpr std::size_t escape_length = 3;
    constexpr int base = 16;
    if (text.size() < escape_length || text.front() != 'x') {
        return std::nullopt;
    }
    unsigned char byte = 0;
    const char* const begin = text.data() + 1;
    const char* const end = text.data() + escape_length;
    const auto [parsed, error] = std::from_chars(begin, end, byte, base);
    if (error != std::errc() || parsed != end) {
        return std::nullopt;
    }
    return static_cast<char>(byte);
}

/** Takes "key=value" or a word from the front; quoted values may hold blanks. */
std::string take_item(std::string_view& rest) {
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    bool is_quoted = false;
    std::string item;
    std::size_t used = 0;
    for (; used < rest.size(); ++used) {
        const char c = rest[used];
        if (c == '\\' && is_quoted && used + 1 < rest.size()) {
            const std::optional<char> byte = parse_escaped_byte(rest.substr(used + 1));
            item += byte.value_or(rest[used + 1]);
            used += byte ? 3 : 1;
        } else if (c == '"') {
            is_quoted = !is_quoted;
        } else if (c == ' ' && !is_quoted) {
            break;
        } else {
            item += c;
        }
    }
    rest.remove_prefix(used);
    return item;
}

std::string format_line(const gateway_log_line& line) {
    std::string text = line.time + " " + transport::format_event_value(line.vm) + " " + line.event;
    for (const auto& [name, value] : line.fields) {
        text += " " + name + "=" + transport::format_event_value(value);
    }
    return text;
}

/** The last line before `end` that fits. */
const gateway_log_line* find_last(const std::vector<gateway_log_line>& log, std::size_t end,
                                  const line_filter& fits) {
    for (std::size_t i = end; i-- > 0;) {
        if (fits(log[i])) {
            return &log[i];
        }
    }
    return nullptr;
}

const gateway_log_line* find_next(const std::vector<gateway_log_line>& log, std::size_t begin,
                                  const line_filter& fits) {
    const auto found =
        std::find_if(log.begin() + static_cast<std::ptrdiff_t>(begin), log.end(), fits);
    return found == log.end() ? nullptr : &*found;
}

void add(std::vector<std::string>& story, const std::string& label, const gateway_log_line* line) {
    if (line != nullptr) {
        story.push_back("  " + label + ": " + format_line(*line));
    }
}

/** What the VM had learned of its right to a primary and of the store. */
void explain_right(const std::vector<gateway_log_line>& log, std::size_t at,
                   std::vector<std::string>& story) {
    const std::string vm = log[at].vm;
    const std::string primary = log[at].get("primary");
    const gateway_log_line* listed = find_last(log, at, [&](const gateway_log_line& line) {
        return line.event == "target_listed" && line.get("target") == primary;
    });
    const std::string group = listed == nullptr ? std::string() : listed->get("group");
    const gateway_log_line* lost = find_last(log, at, [&](const gateway_log_line& line) {
        return line.vm == vm && line.get("group") == group &&
               (line.event == "primary_right_lost" || line.event == "primary_right_revoked");
    });
    add(story, "right", lost);
    add(story, "store", find_last(log, at, [&](const gateway_log_line& line) {
            return line.vm == vm && (line.event == "store_lost" || line.event == "store_regained");
        }));
    // A revocation is in force before the loss of the right is noticed and written.
    if (lost != nullptr &&
        (lost->event == "primary_right_revoked" || lost->get("revoked") == "yes")) {
        story.emplace_back("  cause: another VM was replacing the primary");
    } else if (lost != nullptr) {
        story.emplace_back(
            "  cause: the VM could neither read the store nor get the promises of all members");
    } else {
        story.emplace_back("  cause: the VM had no right to a primary yet");
    }
}

void explain_refusal(const std::vector<gateway_log_line>& log, std::size_t at,
                     std::vector<std::string>& story) {
    const gateway_log_line& line = log[at];
    const std::string reason = line.get("reason");
    if (reason == "no primary may be used" || reason == "no right to this primary" ||
        reason == "no position is recent enough") {
        explain_right(log, at, story);
        return;
    }
    if (reason == "the limit of the organisation is reached") {
        story.push_back("  cause: organisation " + line.get("organisation") +
                        " asked for more operations than its limit allows, or no accountant "
                        "answered");
        return;
    }
    if (reason == "no connection became free" || reason == "the queue is too long") {
        const gateway_log_line* limit = find_last(log, at, [&](const gateway_log_line& other) {
            return other.vm == line.vm && other.event == "target_link_ended" &&
                   other.get("limited") == "yes";
        });
        add(story, "limit", limit);
        story.push_back(std::string("  cause: all connections were taken") +
                        (limit != nullptr ? "; the target had refused more before" : ""));
        return;
    }
    const std::string sent_to = line.get("sent_to");
    const std::string target = sent_to.substr(0, sent_to.find(','));
    add(story, "suspicion", find_last(log, at, [&](const gateway_log_line& other) {
            return other.event == "primary_suspected" && other.get("target") == target;
        }));
    story.push_back("  cause: " + (sent_to.empty() ? "it was not sent" : sent_to) +
                    " did not answer in time");
}

void explain_lost_answer(const std::vector<gateway_log_line>& log, std::size_t at,
                         std::vector<std::string>& story) {
    const std::string target = log[at].get("target");
    const gateway_log_line* ended = find_last(log, at, [&](const gateway_log_line& line) {
        return line.vm == log[at].vm && line.event == "target_link_ended" &&
               line.get("target") == target;
    });
    add(story, "connection", ended);
    const gateway_log_line* suspected = find_last(log, at, [&](const gateway_log_line& line) {
        return line.event == "primary_suspected" && line.get("target") == target;
    });
    add(story, "suspicion", suspected);
    const gateway_log_line* listed = find_last(log, at, [&](const gateway_log_line& line) {
        return line.event == "target_listed" && line.get("target") == target;
    });
    const std::string group = listed == nullptr ? std::string() : listed->get("group");
    const auto is_record = [&](const gateway_log_line& line) {
        return line.event == "leadership_record_changed" && line.get("group") == group &&
               line.get("changer").empty();
    };
    const gateway_log_line* record = find_last(log, at, is_record);
    if (record != nullptr && record->get("target") != target) {
        story.emplace_back("  cause: the answer of a replica was lost; it has no effect to lose");
        return;
    }
    const gateway_log_line* changed = find_next(log, at, [&](const gateway_log_line& line) {
        return is_record(line) && line.get("target") != target;
    });
    add(story, "afterwards", changed);
    story.push_back(std::string("  cause: the primary's answer was lost") +
                    (changed != nullptr
                         ? "; it was replaced afterwards, so an effect may be gone"
                         : "; it stayed the primary, so an effect is there to be read"));
}

}  // namespace

std::string gateway_log_line::get(const std::string& field) const {
    const auto entry = fields.find(field);
    return entry == fields.end() ? std::string() : entry->second;
}

std::optional<gateway_log_line> parse_gateway_line(std::string_view line) {
    const std::size_t start = line.find(first_field);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    gateway_log_line result;
    std::string_view prefix = line.substr(0, start);
    result.time = take_item(prefix);
    std::string_view rest = line.substr(start);
    while (!rest.empty()) {
        const std::string item = take_item(rest);
        const std::size_t equals = item.find('=');
        if (equals == std::string::npos) {
            // The event's name follows its number without a key.
            result.event = result.event.empty() ? item : result.event;
            continue;
        }
        result.fields[item.substr(0, equals)] = item.substr(equals + 1);
    }
    result.vm = result.get("vm");
    if (result.time.empty()) {
        result.time = result.get("boot_ms");
    }
    if (result.vm.empty() || result.event.empty()) {
        return std::nullopt;
    }
    for (const char* name : {"boot_ms", "vm", "event"}) {
        result.fields.erase(name);
    }
    return result;
}

std::vector<gateway_log_line> parse_gateway_log(std::string_view text) {
    std::vector<gateway_log_line> result;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        if (auto line = parse_gateway_line(text.substr(0, end))) {
            result.push_back(std::move(*line));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return result;
}

std::vector<std::string> explain_request(const std::vector<gateway_log_line>& log,
                                         const std::string& id) {
    std::vector<std::string> story;
    for (std::size_t i = 0; i < log.size(); ++i) {
        if (log[i].get("id") != id) {
            continue;
        }
        story.push_back(format_line(log[i]));
        if (log[i].event == "statement_refused") {
            explain_refusal(log, i, story);
        } else if (log[i].event == "answer_lost") {
            explain_lost_answer(log, i, story);
        } else if (log[i].event == "statement_hedged") {
            story.emplace_back(
                "  cause of the delay: the first target was silent for half of the "
                "objective");
        }
    }
    return story;
}

std::vector<std::string> explain_promotion(const std::vector<gateway_log_line>& log,
                                           const std::string& group) {
    std::vector<std::string> story;
    for (const gateway_log_line& line : log) {
        if (line.get("group") == group && promotion_events.contains(line.event)) {
            story.push_back(format_line(line));
        }
    }
    return story;
}

}  // namespace hornbeamhook::ctl
