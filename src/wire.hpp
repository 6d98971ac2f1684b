// Adapter to the simulator: the codec of its line protocol and the host that runs one Balancer for each
// simulated sidecar. It decides nothing; the decisions are in src/balance.cpp.
#pragma once

#include <array>
#include <iosfwd>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "module.hpp"

namespace cobaltshift::wire {

// A malformed line. what() names line number, message kind and field.
struct WireError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A parsed line: the message's kind and its name=value fields. The accessors throw WireError if the field is
// missing or malformed; those with a fallback return it for a missing field. Refers to the line's text, which
// must outlive the message.
class Message {
public:
    Message(std::string_view line, std::size_t number);

    std::string_view kind() const { return kind_; }
    bool has(std::string_view field) const { return find(field) != nullptr; }
    std::string_view text(std::string_view field) const;
    double number(std::string_view field) const;
    double number_or(std::string_view field, double fallback) const;
    std::uint64_t integer(std::string_view field) const;
    std::uint64_t integer_or(std::string_view field, std::uint64_t fallback) const;
    bool flag_or(std::string_view field, bool fallback) const;

    [[noreturn]] void fail(std::string_view field, std::string_view what) const;

private:
    const std::string_view* find(std::string_view field) const;

    std::string_view kind_;
    std::size_t line_;
    std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

// The contents of START: the library's settings and the names of the zones, classes and tenants that these
// refer to by index.
struct StartConfig {
    Settings settings;
    std::vector<std::string> zones;
    std::vector<std::string> classes;
    std::vector<std::string> tenants;

    ZoneId zone(std::string_view name);  // adds a name that is new
};
StartConfig read_start(const Message& start);
Outcome read_outcome(const Message& message);
std::vector<std::uint8_t> read_bytes(const Message& message, std::string_view field);

struct CatalogEntry {
    std::string server;
    std::string zone;
    std::uint32_t cell = 0;
    Phase phase = Phase::on;
    Millis online_since = 0;
    double units = 1;
};

// Reads batches of events and writes the actions, until the end of input. Not thread-safe.
class Host {
public:
    Host(std::istream& in, std::ostream& out, std::ostream& err);
    ~Host();
    int run();  // returns the process's exit status: 0, or 2 after a malformed line

private:
    struct Instance;
    bool next_line(std::string& line);
    void run_batch(const Message& mark);
    void handle_event(const Message& message);
    void read_catalog(const Message& message);
    void start_instance(const Message& message);
    void handle_list(Instance& instance, const Message& message);
    void handle_attempt_ended(Instance& instance, const Message& message);
    void deliver(Instance& instance, const Event& event);
    void write_action(Instance& instance, const Action& action);

    std::istream& in_;
    std::ostream& out_;
    std::ostream& err_;
    std::size_t line_ = 0;
    double now_ = 0;
    std::string reply_;
    std::array<std::vector<CatalogEntry>, 16> catalogs_;
    std::map<std::string, Instance, std::less<>> instances_;
    std::vector<std::string> unknown_kinds_;
    std::vector<Action> actions_;
};

}  // namespace cobaltshift::wire
