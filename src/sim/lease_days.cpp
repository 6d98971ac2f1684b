#include "sim/lease_days.hpp"

#include "sim/stream.hpp"

namespace cobaltshift::sim {

Case drawn_lease_day(std::uint64_t seed) {
    Stream lots(seed, "lease days");
    Case day;
    day.seed = seed;
    day.length = 40000;
    const std::size_t keepers = lots.chance(0.5) ? 3 : 5, holders = 2 + lots.below(4);
    day.set = {{"keepers", static_cast<double>(keepers)},
               {"holders", static_cast<double>(holders)},
               {"tasks", 1.0 + static_cast<double>(lots.below(4))},
               {"lease.length", 1000 + 2000 * lots.unit()},
               {"lease.compact", 5 + 40 * lots.unit()},
               {"lease.quiet", 1},
               {"servers", 0},
               {"forwarders", 0},
               {"planners", 0},
               {"load", 0}};
    const auto any = [&](std::size_t of) { return std::to_string(lots.below(of)); };
    const std::size_t count = 3 + lots.below(10);
    for (std::size_t n = 0; n < count; ++n) {
        Fault f;
        f.at = 2000 + 15000 * lots.unit();
        f.length = 200 + 5000 * lots.unit() * lots.unit();
        switch (lots.below(12)) {
            case 0:
                f.kind = "keeper-down", f.target = any(keepers), f.amount = 0;
                break;
            case 1:
                f.kind = "keeper-down", f.target = any(keepers),
                f.amount = static_cast<double>(1 + lots.below(4));
                break;
            case 2:
                f.kind = "leader-down";
                break;
            case 3:
                f.kind = "die-in-write", f.target = any(keepers);
                break;
            case 4:
                f.kind = "disk-slow", f.target = any(keepers),
                f.amount = 5 + 1500 * lots.unit() * lots.unit();
                break;
            case 5:
                f.kind = "keeper-pause", f.target = any(keepers);
                break;
            case 6:
                f.kind = "holder-pause", f.target = any(holders);
                break;
            case 7:
                f.kind = "holder-down", f.target = any(holders);
                break;
            case 8:
                f.kind = "holder-gives-up", f.target = any(holders);
                f.amount = static_cast<double>(lots.below(holders));
                break;
            case 9:
                f.kind = lots.chance(0.5) ? "lease-lossy" : "answers-lost", f.amount = 0.5 * lots.unit();
                break;
            case 10:
                f.kind = "keeper-cut", f.target = any(keepers), f.amount = static_cast<double>(lots.below(4));
                break;
            default:
                f.kind = "lease-split";
        }
        day.faults.push_back(f);
    }
    // Drawn apart, so that all else of the day is as it was before there were notes.
    if (Stream(seed, "lease notes").chance(0.5)) day.set["notes"] = 1;
    return day;
}

}  // namespace cobaltshift::sim
