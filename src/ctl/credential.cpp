#include "ctl/credential.h"

#include <sodium.h>

#include <array>
#include <stdexcept>
#include <vector>

namespace hornbeamhook::ctl {

namespace {

constexpr std::size_t credential_bytes = 32;

void initialise() {
    static const int result = sodium_init();
    if (result < 0) {
        throw std::runtime_error("libsodium cannot be initialised");
    }
}

std::string to_hex(const unsigned char* data, std::size_t size) {
    std::vector<char> text(size * 2 + 1);
    sodium_bin2hex(text.data(), text.size(), data, size);
    return text.data();
}

}  // namespace

std::string generate_credential() {
    initialise();
    std::array<unsigned char, credential_bytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::array<char, sodium_base64_ENCODED_LEN(credential_bytes,
                                               sodium_base64_VARIANT_URLSAFE_NO_PADDING)>
        text{};
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(),
                      sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    return text.data();
}

std::string hash_credential(const std::string& credential) {
    initialise();
    std::array<unsigned char, crypto_generichash_BYTES> hash{};
    crypto_generichash(hash.data(), hash.size(),
                       reinterpret_cast<const unsigned char*>(credential.data()), credential.size(),
                       nullptr, 0);
    return to_hex(hash.data(), hash.size());
}

std::string generate_hex(std::size_t bytes) {
    initialise();
    std::vector<unsigned char> data(bytes);
    randombytes_buf(data.data(), data.size());
    return to_hex(data.data(), data.size());
}

}  // namespace hornbeamhook::ctl
