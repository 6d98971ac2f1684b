#include "settings.hpp"

#include <cmath>
#include <stdexcept>

namespace kelplb {

namespace {

void check(bool valid, const std::string& setting) {
    if (!valid) throw std::invalid_argument("kelplb: invalid setting: " + setting);
}
void check_amount(double value, const std::string& name) { check(std::isfinite(value) && value >= 0, name); }

}  // namespace

void validate(const Settings& s) {
    check(!s.classes.empty(), "classes (none given)");
    for (std::size_t i = 0; i < s.classes.size(); ++i) {
        const std::string prefix = "classes[" + std::to_string(i) + "].";
        const RequestClass& c = s.classes[i];
        check(std::isfinite(c.aim) && c.aim > 0, prefix + "aim");
        check_amount(c.dedup_window, prefix + "dedup_window");
        check_amount(c.aim_stretch, prefix + "aim_stretch");
        check_amount(c.worth, prefix + "worth");
        check_amount(c.late_worth, prefix + "late_worth");
    }
    check(s.siblings >= 1, "siblings");
    check(s.max_attempts >= 1, "max_attempts");
    check_amount(s.warm_within, "warm_within");
    check(std::isfinite(s.fall_multiple) && s.fall_multiple >= 1, "fall_multiple");
    check(s.cold_from >= 0 && s.cold_from <= 1, "cold_from");
    check_amount(s.fees.cross_zone, "fees.cross_zone");
    check_amount(s.fees.peer, "fees.peer");
    check_amount(s.fees.probe, "fees.probe");
    check_amount(s.fees.handshake, "fees.handshake");
    for (std::size_t i = 0; i < s.tenants.size(); ++i)
        check_amount(s.tenants[i].quota_per_s, "tenants[" + std::to_string(i) + "].quota_per_s");
    check(s.over_share_worth >= 0 && s.over_share_worth <= 1, "over_share_worth");
}

}  // namespace kelplb
