#include "plan_io/auth.hpp"

#include <sodium.h>

#include <array>
#include <fstream>
#include <iterator>

namespace cobaltshift::plan {

Secret Secret::from_file(const std::string& file) {
    if (file.empty()) return {};
    std::ifstream in(file, std::ios::binary);
    std::string key((std::istreambuf_iterator<char>(in)), {});
    if (!in) throw SecretError("secret " + file + " can't be read");
    const char* space = " \t\r\n";
    key.erase(key.find_last_not_of(space) + 1);
    key.erase(0, key.find_first_not_of(space));
    if (key.size() < 16) throw SecretError("secret " + file + " holds under 16 bytes");
    return Secret(std::move(key));
}

std::string Secret::code(std::initializer_list<std::string_view> parts) const {
    if (!given()) return {};
    const auto bytes = [](std::string_view text) {
        return reinterpret_cast<const unsigned char*>(text.data());
    };
    crypto_auth_hmacsha256_state state;
    crypto_auth_hmacsha256_init(&state, bytes(key_), key_.size());
    for (const std::string_view part : parts) {
        std::array<unsigned char, 8> size{};
        for (std::size_t i = 0; i < size.size(); ++i)
            size[i] = static_cast<unsigned char>(part.size() >> 8 * i);
        crypto_auth_hmacsha256_update(&state, size.data(), size.size());
        crypto_auth_hmacsha256_update(&state, bytes(part), part.size());
    }
    std::array<unsigned char, crypto_auth_hmacsha256_BYTES> code{};
    crypto_auth_hmacsha256_final(&state, code.data());
    std::array<char, 2 * crypto_auth_hmacsha256_BYTES + 1> hex{};
    sodium_bin2hex(hex.data(), hex.size(), code.data(), code.size());
    return hex.data();
}

bool Secret::verify(std::string_view code, std::initializer_list<std::string_view> parts) const {
    const std::string expected = this->code(parts);
    return expected.size() == code.size() &&
           sodium_memcmp(expected.data(), code.data(), expected.size()) == 0;
}

}  // namespace cobaltshift::plan
