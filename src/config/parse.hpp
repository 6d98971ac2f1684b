// A configuration's JSON, whole or as a patch, to a Configuration and back. Entries: read_whole(), patch(),
// to_json(). Called by the state machine; the codec makes single items with it. What is wrong is said all at
// once, each with its place.
#pragma once

#include <optional>

#include "config/configuration.hpp"

namespace cobaltshift::config {

struct Parsed {
    std::shared_ptr<const Configuration> configuration;  // none: see `complaints`
    std::vector<std::string> complaints;  // "routes.r-1.deadline_s: is over 600"; 50 at the most
};

constexpr double kLongestDeadlineS = 600;

// "r12", "12", each in quotes too, "0" and "r0" for none: an If-Match. None: it is no edition.
std::optional<Edition> parse_if_match(std::string_view text);
std::string to_text(Edition edition);  // "r12"

// `above`: the edition that is current.
Parsed read_whole(std::string_view json, Edition above);
Parsed patch(const Configuration& base, std::string_view json);
// As the operator reads it back.
std::string to_json(const Configuration& configuration);

// Items by their JSON texts, as they travel between nodes: checked as if they came from the operator.
struct Items {
    Edition edition = 0;
    std::vector<std::pair<std::string, std::string>> routes, services, others;  // name, text
    std::vector<std::string> gone_routes, gone_services, gone_others;           // of a patch
    std::string limits;  // empty in a patch: as they were
};
// On `base`, where given; else these are all.
Parsed from_items(const Configuration* base, const Items& items);

}  // namespace cobaltshift::config
