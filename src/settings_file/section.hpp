// Typed access to one table of a TOML file. Every error is a SettingsError that names file, line and key.
// Used for the program's settings, sites, load plans and experiments.
#pragma once

#include <toml++/toml.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "settings_file/error.hpp"

namespace cobaltshift {

using boost::asio::ip::tcp;

// One table of the file. Each key that is asked for counts as known; reject_unknown_keys() rejects the
// others. The table and the file name must outlive the Section.
class Section {
public:
    Section(const toml::table& table, std::string name, const std::string& file)
        : table_(table), name_(std::move(name)), file_(file) {}

    // These readers leave `value` unchanged if the key is missing, and throw SettingsError for a value of the
    // wrong type or out of its range.
    void number(const char* key, double& value, double least, double most) {
        const toml::node* node = find(key);
        if (!node) return;
        const auto given = node->value<double>();
        if (!given || node->is_boolean()) fail(*node, key, "is not a number");
        if (!std::isfinite(*given) || *given < least || *given > most)
            fail(*node, key, "is not between " + formatted(least) + " and " + formatted(most));
        value = *given;
    }
    template <class Count>
    void count(const char* key, Count& value, double least, double most) {
        const toml::node* node = find(key);
        if (!node) return;
        const auto given = node->value_exact<std::int64_t>();
        if (!given) fail(*node, key, "is not a whole number");
        if (static_cast<double>(*given) < least || static_cast<double>(*given) > most)
            fail(*node, key, "is not between " + formatted(least) + " and " + formatted(most));
        value = static_cast<Count>(*given);
    }
    void text(const char* key, std::string& value) {
        if (const toml::node* node = find(key)) value = text_of(*node, key);
    }
    void endpoint(const char* key, tcp::endpoint& value) {
        if (const toml::node* node = find(key)) value = endpoint_of(*node, key);
    }
    void endpoints(const char* key, std::vector<tcp::endpoint>& values, std::size_t most) {
        const toml::node* node = find(key);
        if (!node) return;
        if (!node->is_array()) fail(*node, key, "is not a list");
        for (const toml::node& one : *node->as_array()) values.push_back(endpoint_of(one, key));
        if (values.size() > most) fail(*node, key, "has more than " + std::to_string(most) + " entries");
        for (std::size_t i = 0; i < values.size(); ++i)
            if (std::find(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(i), values[i]) !=
                values.begin() + static_cast<std::ptrdiff_t>(i))
                fail(*node, key, "names an address twice");
    }
    void flag(const char* key, bool& value) {
        const toml::node* node = find(key);
        if (!node) return;
        if (!node->is_boolean()) fail(*node, key, "is neither true nor false");
        value = *node->value<bool>();
    }
    void numbers(const char* key, std::vector<double>& values, std::size_t most) {
        const toml::node* node = find(key);
        if (!node) return;
        if (!node->is_array()) fail(*node, key, "is not a list");
        for (const toml::node& one : *node->as_array()) {
            const auto given = one.value<double>();
            if (!given || one.is_boolean() || !std::isfinite(*given))
                fail(one, key, "has what is not a number");
            values.push_back(*given);
        }
        if (values.empty() || values.size() > most)
            fail(*node, key, "has not 1 to " + std::to_string(most) + " entries");
    }
    // The tables of the array [[key]], at most `most`.
    std::vector<Section> sections(const char* key, std::size_t most) {
        std::vector<Section> all;
        const toml::node* node = find(key);
        if (!node) return all;
        if (!node->is_array_of_tables()) fail(*node, key, "is not a list of tables");
        for (const toml::node& one : *node->as_array()) all.emplace_back(*one.as_table(), key, file_);
        if (all.size() > most) fail(*node, key, "has more than " + std::to_string(most) + " entries");
        return all;
    }
    // All keys of the table, for tables with user-defined keys.
    std::vector<std::string> keys() const {
        std::vector<std::string> all;
        for (const auto& [key, node] : table_) all.emplace_back(key.str());
        return all;
    }
    // Throws an error about `key`; `what` follows its name in the message.
    [[noreturn]] void fail_key(const char* key, const std::string& what) {
        const toml::node* node = find(key);
        if (!node) throw SettingsError(file_ + ": " + qualified(key) + " " + what);
        fail(*node, key, what);
    }
    // Line of the table in the file.
    int line() const { return static_cast<int>(table_.source().begin.line); }
    bool has_table(const char* key) const {
        const toml::node* node = table_.get(key);
        return node && node->is_table();
    }
    bool has(const char* key) { return find(key) != nullptr; }
    // Throws if the key is missing.
    void require(const char* key) {
        if (!find(key)) throw SettingsError(file_ + ": " + qualified(key) + " is missing");
    }
    // The table [key]; empty if it is missing.
    Section section(const char* key) {
        static const toml::table none;
        const toml::node* node = find(key);
        if (!node) return {none, key, file_};
        if (!node->is_table()) fail(*node, key, "is not a table");
        return {*node->as_table(), key, file_};
    }
    // Throws if the table has a key that was not asked for.
    void reject_unknown_keys() const {
        for (const auto& [key, node] : table_)
            if (!known_.count(std::string(key.str()))) fail(node, std::string(key.str()), "is not known");
    }

private:
    std::string qualified(const std::string& key) const { return name_.empty() ? key : name_ + "." + key; }
    const toml::node* find(const char* key) {
        known_.insert(key);
        return table_.get(key);
    }
    std::string text_of(const toml::node& node, const char* key) const {
        const auto given = node.value<std::string>();
        if (!given) fail(node, key, "is not a text");
        return *given;
    }
    // Numeric ADDRESS:PORT; host names are not resolved.
    tcp::endpoint endpoint_of(const toml::node& node, const char* key) const {
        const std::string given = text_of(node, key);
        const auto colon = given.rfind(':');
        std::string host = given.substr(0, colon);
        if (host.size() > 2 && host.front() == '[' && host.back() == ']')
            host = host.substr(1, host.size() - 2);
        unsigned port = 70000;
        if (colon != std::string::npos) {
            const char *from = given.data() + colon + 1, *to = given.data() + given.size();
            if (const auto parsed = std::from_chars(from, to, port); from == to || parsed.ptr != to)
                port = 70000;
        }
        boost::system::error_code ec;
        const auto address = boost::asio::ip::make_address(host, ec);
        if (ec || port > 65535) fail(node, key, "is not address:port");
        return {address, static_cast<unsigned short>(port)};
    }
    static std::string formatted(double value) {
        std::ostringstream text;
        text << value;
        return text.str();
    }
    [[noreturn]] void fail(const toml::node& node, const std::string& key, const std::string& what) const {
        throw SettingsError(file_ + ":" + std::to_string(node.source().begin.line) + ": " + qualified(key) +
                            " " + what);
    }

    const toml::table& table_;
    std::string name_;
    const std::string& file_;
    std::set<std::string> known_;
};

// Parses a TOML file's text; throws SettingsError on a syntax error. `file`: its name for messages.
inline toml::table parsed_toml(const std::string& text, const std::string& file) {
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error& error) {
        throw SettingsError(file + ":" + std::to_string(error.source().begin.line) + ": " +
                            std::string(error.description()));
    }
}

}  // namespace cobaltshift
