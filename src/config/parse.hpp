// Converts configurations from and to JSON, in full or as patches. Entries: parse_configuration(), patch(),
// to_json(). Used by the state machine, and by the codec for single items. All validation errors are reported
// at once, each with the path of its field.
#pragma once

#include <optional>

#include "config/configuration.hpp"

namespace cobaltshift::config {

struct Parsed {
    std::shared_ptr<const Configuration> configuration;  // null: see `complaints`
    std::vector<std::string> complaints;                 // like "routes.r-1.deadline_s: is 0"; at most 50
};

constexpr double kMaxDeadlineS = 600;

// The edition in an If-Match header: "r12" or "12", with or without quotes; 0 means that none exists yet.
// None if it is not an edition.
std::optional<Edition> parse_if_match(std::string_view text);
std::string to_text(Edition edition);  // "r12"

// Reads a full configuration, whose edition must be above `above`, the current one.
Parsed parse_configuration(std::string_view json, Edition above);
// Applies a patch (upserts and removals by name) to `base`.
Parsed patch(const Configuration& base, std::string_view json);
// The full configuration as the operator reads it back.
std::string to_json(const Configuration& configuration);

// A configuration, or the difference between two, as JSON texts by name: the form in which nodes exchange it.
struct ConfigurationItems {
    Edition edition = 0;
    std::vector<std::pair<std::string, std::string>> routes, services, unknown_fields;  // name, text
    std::vector<std::string> removed_routes, removed_services, removed_unknown_fields;  // of a delta
    std::string limits;  // empty in a delta: unchanged
};
// Applies a delta to `base`, or makes a full configuration if there is none. Validates like
// parse_configuration().
Parsed from_items(const Configuration* base, const ConfigurationItems& items);

}  // namespace cobaltshift::config
