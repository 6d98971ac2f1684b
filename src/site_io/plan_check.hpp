// What a fleet's plan for the loss of sites says, as a table for people and as JSON, and whether it keeps
// what is marked as kept. Entry: check_plan(). `cobaltshift site plan check`.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "site_io/plan_file.hpp"

namespace cobaltshift::site {

struct PlanChecked {
    nlohmann::json json;
    std::string text;
    // A line for each kept class that would be refused, and where and when; empty: none.
    std::vector<std::string> broken;
};

// For the fleet as it is, each loss of one site, and with `pairs` of two.
PlanChecked check_plan(const PlanFile& plan, bool pairs);

}  // namespace cobaltshift::site
