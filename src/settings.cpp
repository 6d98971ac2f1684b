#include "settings.hpp"

#include <cmath>
#include <stdexcept>

namespace kelplb {

namespace {

void check(bool valid, const std::string& setting) {
    if (!valid) throw std::invalid_argument("kelplb: setting makes no sense: " + setting);
}
void check_amount(double value, const std::string& name) { check(std::isfinite(value) && value >= 0, name); }

}  // namespace

void validate(const Settings& s) {
    check(!s.classes.empty(), "classes (none given)");
    for (std::size_t i = 0; i < s.classes.size(); ++i) {
        const std::string prefix = "classes[" + std::to_string(i) + "].";
        const RequestClass& c = s.classes[i];
        check(std::isfinite(c.latency_target) && c.latency_target > 0, prefix + "aim");
        check_amount(c.dedup_window, prefix + "dedup_window");
        check_amount(c.latency_target_stretch, prefix + "aim_stretch");
        check_amount(c.worth, prefix + "worth");
        check_amount(c.late_worth, prefix + "late_worth");
    }
    check(s.sidecar_count >= 1, "siblings");
    check(s.max_attempts >= 1, "max_attempts");
    check_amount(s.warmup_time, "warm_within");
    check(std::isfinite(s.overload_multiple) && s.overload_multiple >= 1, "fall_multiple");
    check(s.cold_capacity >= 0 && s.cold_capacity <= 1, "cold_from");
    check_amount(s.fees.cross_zone, "fees.cross_zone");
    check_amount(s.fees.peer, "fees.peer");
    check_amount(s.fees.probe, "fees.probe");
    check_amount(s.fees.handshake, "fees.handshake");
    for (std::size_t i = 0; i < s.tenants.size(); ++i)
        check_amount(s.tenants[i].quota_per_s, "tenants[" + std::to_string(i) + "].quota_per_s");
    check(s.over_quota_worth >= 0 && s.over_quota_worth <= 1, "over_share_worth");
}

}  // namespace kelplb
