#include "protocol/authenticated_text.h"

#include <sodium.h>

#include <array>
#include <vector>

#include "protocol/caller_error.h"

namespace hornbeamhook::protocol {

namespace leaf = boost::leaf;

namespace {

constexpr int base64_variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;
using mac_bytes = std::array<unsigned char, crypto_auth_BYTES>;
using key_bytes = std::array<unsigned char, crypto_auth_KEYBYTES>;

const unsigned char* as_bytes(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

std::string encode(const unsigned char* data, std::size_t size) {
    std::string text(sodium_base64_encoded_len(size, base64_variant), '\0');
    sodium_bin2base64(text.data(), text.size(), data, size, base64_variant);
    text.pop_back();  // The terminating zero.
    return text;
}

bool decode(std::string_view text, std::string& bytes) {
    bytes.resize(text.size());
    std::size_t length = 0;
    const char* end = nullptr;
    if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
                          text.size(), nullptr, &length, &end, base64_variant) != 0 ||
        end != text.data() + text.size()) {
        return false;
    }
    bytes.resize(length);
    return true;
}

bool read_key(const state::token_key& key, key_bytes& bytes) {
    std::size_t length = 0;
    return sodium_hex2bin(bytes.data(), bytes.size(), key.secret.data(), key.secret.size(), nullptr,
                          &length, nullptr) == 0 &&
           length == bytes.size();
}

mac_bytes compute_mac(std::string_view purpose, std::string_view key_id, std::string_view payload,
                      const key_bytes& key) {
    // Lengths are part of the input, so that moving bytes between the parts changes the MAC.
    const std::string input = std::to_string(purpose.size()) + ":" + std::string(purpose) +
                              std::to_string(key_id.size()) + ":" + std::string(key_id) +
                              std::string(payload);
    mac_bytes mac{};
    crypto_auth(mac.data(), as_bytes(input), input.size(), key.data());
    return mac;
}

caller_error make_error(const char* message) {
    return {error_code::bad_token, message};
}

}  // namespace

leaf::result<std::string> sign_text(std::string_view purpose, std::string_view payload,
                                    const token_key_map& keys) {
    key_bytes key{};
    if (keys.empty() || !read_key(keys.rbegin()->second, key)) {
        return leaf::new_error(
            caller_error{error_code::unavailable, "the configuration holds no usable token key"});
    }
    const std::string& id = keys.rbegin()->first;
    const mac_bytes mac = compute_mac(purpose, id, payload, key);
    return id + "." + encode(as_bytes(payload), payload.size()) + "." +
           encode(mac.data(), mac.size());
}

leaf::result<std::string> verify_text(std::string_view purpose, std::string_view text,
                                      const token_key_map& keys) {
    const std::size_t last = text.rfind('.');
    const std::size_t first = last == std::string_view::npos || last == 0
                                  ? std::string_view::npos
                                  : text.rfind('.', last - 1);
    if (first == std::string_view::npos) {
        return leaf::new_error(make_error("token: not of the form key.payload.mac"));
    }
    const std::string id(text.substr(0, first));
    const auto entry = keys.find(id);
    key_bytes key{};
    if (entry == keys.end() || !read_key(entry->second, key)) {
        return leaf::new_error(make_error("token: signed with a key that is not listed"));
    }
    std::string payload;
    std::string mac;
    if (!decode(text.substr(first + 1, last - first - 1), payload) ||
        !decode(text.substr(last + 1), mac) || mac.size() != crypto_auth_BYTES) {
        return leaf::new_error(make_error("token: not valid base64"));
    }
    const mac_bytes expected = compute_mac(purpose, id, payload, key);
    if (sodium_memcmp(expected.data(), mac.data(), expected.size()) != 0) {
        return leaf::new_error(make_error("token: authentication failed"));
    }
    return payload;
}

std::string hash_text(std::string_view text) {
    std::array<unsigned char, crypto_generichash_BYTES> hash{};
    crypto_generichash(hash.data(), hash.size(), as_bytes(text), text.size(), nullptr, 0);
    std::string hex(hash.size() * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
    hex.pop_back();
    return hex;
}

bool is_equal_in_constant_time(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace hornbeamhook::protocol
