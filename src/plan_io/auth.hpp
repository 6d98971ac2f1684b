// Message authentication with a secret shared by all processes: an HMAC-SHA-256 (RFC 2104, by libsodium) over
// every message.
#pragma once

#include <initializer_list>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cobaltshift::plan {

struct SecretError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Secret {
public:
    Secret() = default;  // no secret: every code is empty, and authentication is off
    explicit Secret(std::string key) : key_(std::move(key)) {}
    // Reads the file and strips white space at both ends. Throws SecretError naming the file if it can't be
    // read or holds under 16 bytes. An empty name gives no secret.
    static Secret from_file(const std::string& file);

    bool given() const { return !key_.empty(); }
    // The HMAC over the parts in hex; empty without a secret. Each part is preceded by its length, so that
    // different splits of the same bytes give different codes.
    std::string code(std::initializer_list<std::string_view> parts) const;
    // Whether `code` is the code of these parts, compared in constant time.
    bool verify(std::string_view code, std::initializer_list<std::string_view> parts) const;

private:
    std::string key_;
};

}  // namespace cobaltshift::plan
