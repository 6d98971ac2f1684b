// Who may speak in the plan: a secret shared by planners and forwarders, and a code over every message
// (HMAC-SHA-256, RFC 2104, by libsodium).
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
    Secret() = default;  // none: every code is empty, and every one is right
    explicit Secret(std::string key) : key_(std::move(key)) {}
    // The file's content without white space at its ends; throws SecretError naming the file if it can't be
    // read or holds under 16 bytes. An empty name: none.
    static Secret from_file(const std::string& file);

    bool given() const { return !key_.empty(); }
    // Over the parts with their lengths, so that none can borrow from the next. In hex.
    std::string code(std::initializer_list<std::string_view> parts) const;
    // Takes the same time wherever they differ.
    bool right(std::string_view code, std::initializer_list<std::string_view> parts) const;

private:
    std::string key_;
};

}  // namespace cobaltshift::plan
