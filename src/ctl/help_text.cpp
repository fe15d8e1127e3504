#include "ctl/help_text.h"

#include <array>
#include <string_view>

namespace hornbeamhook::ctl {

namespace {

/** Help on one command. */
struct help_entry {
    std::string_view command;
    std::string_view form;
    std::string_view text;
};

constexpr std::array<help_entry, 14> entries{{
    {"help", "help [COMMAND];", "Shows the commands, or the form of one."},
    {"show",
     "show pools|callers|operators|token_keys|vms|failovers;\n"
     "show targets|homes|connections|sessions [of POOL];\nshow versions;\nshow change 'ID';",
     "Shows the configuration, the VM list, or what the proxies report of themselves.\n"
     "`show change` tells whether a change whose answer was lost took effect."},
    {"create", "create pool|target|caller|operator|token_key NAME [with FIELD = VALUE, ...];",
     "pool: queue_length, default_deadline_ms, default_read_policy (own_writes, strict),\n"
     "  max_age_ms\n"
     "target (named POOL/TARGET): address, place, data_center, connection_limit, slots\n"
     "caller, operator: read, write (a pool, a list of pools in parentheses, or *),\n"
     "  credential_hash; without it a credential is generated and shown once\n"
     "token_key: no field; the key is generated and never shown"},
    {"alter", "alter pool|target|caller|operator NAME [if version N] set FIELD = VALUE, ...;",
     "Changes the fields named. `if version N` fails with a conflict unless the object is at\n"
     "that version. `credential = new` generates a new credential."},
    {"drop", "drop pool|target|caller|operator|token_key NAME [if version N];",
     "Removes an object. Dropping a pool drops its targets."},
    {"drain", "drain vm NAME;\ndrain target POOL/TARGET;",
     "A leaving target or VM gets no new work."},
    {"undrain", "undrain vm NAME;\nundrain target POOL/TARGET;", "Ends a drain."},
    {"change", "change primary of POOL to TARGET;",
     "Replaces the primary once the target has caught up."},
    {"end", "end transaction ID;",
     "Rolls back an open transaction; `show sessions` names them. A statement that is running\n"
     "ends first; a commit that is running is not interrupted."},
    {"wait", "wait [for version N] [within SECONDS];",
     "Waits until every live proxy reports the version (default: that of the last change),\n"
     "at most 10 s or the time given."},
    {"select",
     "select *|ITEM, ... from usage|audit|failovers|sessions|connections [where CONDITION]\n"
     "  [group by FIELD, ...] [order by COLUMN [asc|desc], ...] [limit N];",
     "ITEM: FIELD, count(), sum(F), min(F), max(F), percentile(F, P), each with [as NAME]\n"
     "CONDITION: FIELD =|!=|<|<=|>|>=|like VALUE, joined by and, or, not and parentheses"},
    {"explain", "explain failover N|last;", "Tells what happened in a promotion, in order."},
    {"report",
     "report month YYYY-MM [as table|csv [FILE]|svg FILE];\n"
     "report night [YYYY-MM-DD]|last HOURS [as table|csv [FILE]];",
     "Share of reads served by replicas and failover gaps of a month; events of a night\n"
     "(18:00 to 06:00 UTC, named by its morning)."},
    {"exit", "exit;", "Ends the console or the script."},
}};

}  // namespace

std::string get_help(const std::string& topic) {
    std::string list;
    for (const help_entry& entry : entries) {
        if (entry.command == topic) {
            return std::string(entry.form) + "\n\n" + std::string(entry.text) + "\n";
        }
        list += "  " + std::string(entry.form.substr(0, entry.form.find('\n'))) + "\n";
    }
    return "Statements end with \";\". Comments run from \"--\" to the end of the line.\n" + list;
}

}  // namespace hornbeamhook::ctl
