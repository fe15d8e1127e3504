#include "gateway/organisation_table.h"

#include <sodium.h>

namespace hornbeamhook::gateway {

key_digest make_key_digest(std::string_view key) {
    using secret = std::array<unsigned char, crypto_generichash_KEYBYTES>;
    static const secret process_secret = [] {
        secret value{};
        randombytes_buf(value.data(), value.size());
        return value;
    }();
    key_digest digest;
    crypto_generichash(digest.bytes.data(), digest.bytes.size(),
                       reinterpret_cast<const unsigned char*>(key.data()), key.size(),
                       process_secret.data(), process_secret.size());
    return digest;
}

const organisation* organisation_table::find_by_key(const key_digest& key) const {
    const auto entry = names.find(key);
    return entry == names.end() ? nullptr : find(entry->second);
}

const organisation* organisation_table::find(const std::string& name) const {
    const auto entry = organisations.find(name);
    return entry == organisations.end() ? nullptr : &entry->second;
}

std::set<std::string> get_large_organisations(const organisation_table& table, double share) {
    double total = 0;
    for (const auto& [name, value] : table.organisations) {
        total += value.limit ? static_cast<double>(value.limit->rate_per_s) : 0;
    }
    std::set<std::string> result;
    for (const auto& [name, value] : table.organisations) {
        if (value.limit && static_cast<double>(value.limit->rate_per_s) > share * total) {
            result.insert(name);
        }
    }
    return result;
}

}  // namespace hornbeamhook::gateway
