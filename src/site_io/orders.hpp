// What people want of sites, left as a note under a right of its own, which whoever leads the sites reads: a
// site drained, or given back. Entry: order(), of `cobaltshift site drain|return`; Orders is the note.
#pragma once

#include <map>
#include <string>

#include "lease_io/settings.hpp"

namespace cobaltshift::site {

// The right to be held for leaving an order, and the right to lead.
inline const std::string kOrderTask = "site/order", kLeadTask = "site/lead";

// By site: whether it is to be drained. What can't be read of a note is left out.
std::map<std::string, bool> read_orders(const std::string& note);
std::string orders_text(const std::map<std::string, bool>& orders);

enum class Ordered { left, not_left, held_by_another };
// Leaves it within `within`. Throws plan::SecretError.
Ordered order(const lease::KeepersSettings& settings, const std::string& site, bool drained,
              lease::Millis within);

}  // namespace cobaltshift::site
