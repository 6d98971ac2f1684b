// Counts a forwarder's requests by server and builds its reports. For each planner a report holds only the
// servers that changed after the last report that this planner acknowledged.
#pragma once

#include <map>
#include <optional>

#include "plan/types.hpp"

namespace cobaltshift::plan {

class Meter {
public:
    // `name`: the forwarder's name, which survives a restart, cut to kMaxName bytes; `incarnation`: a random
    // number, new at each start; `classes`: number of request classes, kMaxClasses at most are counted.
    Meter(std::string name, std::uint64_t incarnation, std::size_t classes, std::size_t planners);

    // Updates the servers from discovery. `whole`: the list is complete, so servers missing from it are gone;
    // otherwise it holds changes, in which phase `off` marks a server that is gone.
    void listed(const std::vector<kelplb::ServerInfo>& servers, bool whole);
    // Counts a request received by the forwarder.
    void arrived(std::uint32_t class_index);
    // Counts an attempt sent to the server.
    void sent(ServerId server);
    // Counts the end of an attempt. `duration` (ms) and `late` (past its latency target) count only if it
    // completed. Ignored if no attempt is outstanding, i.e. it was sent to a former incarnation.
    void ended(ServerId server, kelplb::Outcome outcome, Millis duration, bool late);
    // Records whether the forwarder's own outlier detection has removed the server.
    void set_removed(ServerId server, bool removed);

    // Builds the next report for this planner; `seen` goes into it unchanged.
    Report report(std::size_t planner, std::vector<PlanId> seen);
    // The planner has accepted the report with this sequence number; with `want_full` it asks for all servers
    // in the next one. An acknowledgement of any report but the newest is ignored.
    void acknowledged(std::size_t planner, std::uint64_t sequence, bool want_full);

    std::size_t servers() const { return servers_.size(); }

private:
    struct Entry {
        ServerReport report;
        std::uint64_t changed_at = 0;  // value of tick_ at the last change
        bool listed = true;
    };
    struct PlannerState {                              // what one planner has been sent
        std::uint64_t sequence = 0;                    // of the newest report
        std::uint64_t built_at = 0, acknowledged = 0;  // values of tick_
        bool full = true;                              // the next report must be full
    };
    Entry* find(ServerId server);
    void touch(Entry& entry) { entry.changed_at = ++tick_; }

    std::string name_;
    std::uint64_t incarnation_;
    std::uint64_t tick_ = 0;  // logical clock, incremented at every change
    // Listed servers, and those no longer listed that have attempts outstanding; kMaxServers at most.
    std::map<ServerId, Entry> servers_;
    std::vector<std::uint64_t> demand_;
    std::vector<PlannerState> planners_;
};

}  // namespace cobaltshift::plan
