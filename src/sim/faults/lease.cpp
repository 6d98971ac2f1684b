// What happens to keepers, to holders, and to the links between them. Each counts itself where it truly
// struck.
#include "sim/faults/common.hpp"
#include "sim/models/holder.hpp"

namespace cobaltshift::sim {

namespace {

void struck(Scene& scene, const std::string& what) { scene.figure("struck: " + what) += 1; }

// Dies and comes back. amount: what has become of its folder meanwhile: 0 as a crash leaves it, 1 lost whole,
// 2 a bit of it rotten, 3 full for the time, 4 the copy taken at the fault's beginning less 3 s. One that
// would leave no majority with its folders (1, 2, 4) is a crash only.
const Registered kDown = Registered::fault("keeper-down", [](Scene& scene, const Fault& fault) {
    KeeperDesk& desk = one_of<KeeperDesk>(scene, fault, "keeper");
    if (fault.amount == 4) scene.kernel.at(std::max(0.0, fault.at - 3000), [&desk] { desk.keep_copy(); });
    scene.kernel.at(fault.at, [&scene, &desk, fault] {
        const bool spared = !desk.others_whole();
        if (!desk.office()) return;
        desk.stop();
        desk.disk().crash();
        int left = static_cast<int>(fault.amount);
        if (spared && left != 0 && left != 3) left = 0;
        struck(scene, std::string("keeper down, ") + (left == 0   ? "crash"
                                                      : left == 1 ? "folder lost"
                                                      : left == 2 ? "folder rotten"
                                                      : left == 3 ? "disk full"
                                                                  : "older folder"));
        if (left == 1) desk.disk().lose_all();
        if (left == 2) desk.disk().rot();
        if (left == 3) desk.disk().fill();
        if (left == 4) desk.restore_copy();
        scene.kernel.after(fault.length, [&desk, left] {
            if (left == 3) desk.disk().empty_out(16 << 20);
            desk.boot();
        });
    });
});
// The leader of that moment, whoever it is.
const Registered kLeaderDown = Registered::fault("leader-down", [](Scene& scene, const Fault& fault) {
    scene.kernel.at(fault.at, [&scene, fault] {
        for (KeeperDesk* desk : scene.all<KeeperDesk>()) {
            if (!desk->office() || desk->office()->keeper().role() != raft::RaftNode::Role::leader) continue;
            struck(scene, "leader down");
            desk->stop();
            desk->disk().crash();
            scene.kernel.after(fault.length, [desk] { desk->boot(); });
            return;
        }
    });
});
const Registered kDieInWrite = Registered::fault("die-in-write", [](Scene& scene, const Fault& fault) {
    KeeperDesk& desk = one_of<KeeperDesk>(scene, fault, "keeper");
    scene.kernel.at(fault.at, [&desk] { desk.die_in_write(); });
});
const Registered kSlowDisk = Registered::fault("disk-slow", [](Scene& scene, const Fault& fault) {
    KeeperDesk& desk = one_of<KeeperDesk>(scene, fault, "keeper");
    scene.kernel.at(fault.at, [&scene, &desk, fault] {
        struck(scene, "slow disk");
        desk.slow_disk(fault.amount);
    });
    scene.kernel.at(fault.at + fault.length, [&desk] { desk.slow_disk(0); });
});
const Registered kKeeperPause = Registered::fault("keeper-pause", [](Scene& scene, const Fault& fault) {
    KeeperDesk& desk = one_of<KeeperDesk>(scene, fault, "keeper");
    scene.kernel.at(fault.at, [&scene, &desk] {
        struck(scene, "keeper stopped");
        desk.pause(true);
    });
    scene.kernel.at(fault.at + fault.length, [&desk] { desk.pause(false); });
});
const Registered kHolderPause = Registered::fault("holder-pause", [](Scene& scene, const Fault& fault) {
    HolderDesk& desk = one_of<HolderDesk>(scene, fault, "holder");
    scene.kernel.at(fault.at, [&scene, &desk] {
        struck(scene, "holder stopped");
        desk.pause(true);
    });
    scene.kernel.at(fault.at + fault.length, [&desk] { desk.pause(false); });
});
const Registered kHolderDown = Registered::fault("holder-down", [](Scene& scene, const Fault& fault) {
    HolderDesk& desk = one_of<HolderDesk>(scene, fault, "holder");
    scene.kernel.at(fault.at, [&scene, &desk] {
        struck(scene, "holder down");
        desk.stop();
    });
    scene.kernel.at(fault.at + fault.length, [&desk] { desk.boot(); });
});
const Registered kGiveUp = Registered::fault("holder-gives-up", [](Scene& scene, const Fault& fault) {
    HolderDesk& desk = one_of<HolderDesk>(scene, fault, "holder");
    scene.kernel.at(fault.at,
                    [&desk, next = holder_name(static_cast<Node>(fault.amount))] { desk.give_up(next); });
});

bool of_leases(const std::string& name) {
    return name.starts_with("keeper-") || name.starts_with("holder-") || name == "target";
}
bool odd(const std::string& name) { return (name.back() - '0') % 2 != 0; }

// Everything between them: amount is the part lost; others are doubled, bent, overtaken, and a few come a
// minute late.
const Registered kLossy = Registered::fault("lease-lossy", [](Scene& scene, const Fault& fault) {
    Link link;
    link.delay = {0.5, 60, 0.03, 60000};
    link.loss = fault.amount, link.doubled = 0.1, link.bent = 0.02;
    impose(
        scene, fault,
        [](const std::string& from, const std::string& to) { return of_leases(from) && of_leases(to); }, link,
        true);
});
// One keeper apart. amount: 0 both ways from everybody, 1 from the keepers only (its holders hear it still),
// 2 it hears nothing, 3 nobody hears it.
const Registered kCut = Registered::fault("keeper-cut", [](Scene& scene, const Fault& fault) {
    Link link;
    link.cut = true;
    const std::string whom = "keeper-" + fault.target;
    const int how = static_cast<int>(fault.amount);
    impose(
        scene, fault,
        [whom, how](const std::string& from, const std::string& to) {
            if (how == 1)
                return (from == whom && to.starts_with("keeper-")) ||
                       (to == whom && from.starts_with("keeper-"));
            return (how != 2 && from == whom) || (how != 3 && to == whom);
        },
        link, true);
});
// Those with an odd number from the others, keepers and holders alike.
const Registered kSplit = Registered::fault("lease-split", [](Scene& scene, const Fault& fault) {
    Link link;
    link.cut = true;
    impose(
        scene, fault,
        [](const std::string& from, const std::string& to) {
            return of_leases(from) && of_leases(to) && from != "target" && to != "target" &&
                   odd(from) != odd(to);
        },
        link, true);
});
// Answers to holders are lost, questions are not.
const Registered kDeaf = Registered::fault("answers-lost", [](Scene& scene, const Fault& fault) {
    Link link;
    link.loss = fault.amount;
    impose(
        scene, fault,
        [](const std::string& from, const std::string& to) {
            return from.starts_with("keeper-") && to.starts_with("holder-");
        },
        link, true);
});

}  // namespace

}  // namespace cobaltshift::sim
