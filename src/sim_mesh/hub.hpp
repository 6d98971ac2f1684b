// A hub: control::Replica with a model of its folder, glued as control_io::ControlNode and
// programs/control node.cpp glue them. Entry type: Hub, one life of its process. The Disk outlives it. Called
// by World and the Operator.
//
// Invariant of the Disk: what it holds is what a sync has finished; of a batch that failed either all or
// nothing is there.
#pragma once

#include "control/replica.hpp"
#include "sim_mesh/node.hpp"

namespace cobaltshift::simmesh {

struct Disk {
    std::optional<raft::PersistentState> stored;
    Millis sync = 1;                   // of a batch
    bool full = false, hangs = false;  // refuses writes; never returns from them
};

class Hub : public Node {
public:
    Hub(World& world, Ip ip, Disk& disk, bool first_boot);
    ~Hub() override;

    using Done = std::function<void(const control::Reply&)>;
    void change(config::Change change, Done done);
    void read(Done done);
    bool leads() const { return replica_ && replica_->raft().leads(); }
    const control::Replica* replica() const { return replica_.get(); }

private:
    void open();
    void refuses();
    void event(const std::function<void()>& what);
    void pump();
    void sync(Millis delay);
    void carry_out(const control::Output& output);
    void send(Ip to, const raft::Message& message);
    void look();
    std::uint64_t call(Done done);
    void heard_of(Ip, config::Edition) override {}  // a hub has it from the others' agreement

    Disk& disk_;
    const bool first_boot_;
    std::unique_ptr<control::Replica> replica_;
    bool pump_posted_ = false;
    std::shared_ptr<control::Output> writing_;  // being synced
    Millis armed_ = 1e18;
    std::map<std::uint64_t, Done> calls_;
    std::uint64_t next_ = 1;
};

}  // namespace cobaltshift::simmesh
