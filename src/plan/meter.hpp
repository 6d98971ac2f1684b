// A forwarder's counts, and the reports made of them: by planner, only what changed since the last report
// that this planner acknowledged.
#pragma once

#include <map>
#include <optional>

#include "plan/types.hpp"

namespace cobaltshift::plan {

class Meter {
public:
    // `name`: the forwarder's, the same after a restart; `incarnation`: drawn anew at each start.
    Meter(std::string name, std::uint64_t incarnation, std::size_t classes, std::size_t planners);

    void listed(const std::vector<kelplb::ServerInfo>& servers, bool whole);
    void arrived(std::uint32_t class_index);
    void sent(ServerId server);
    // `late`: completed, but past its aim. Outcomes that say nothing of the server count as outcomes only.
    void ended(ServerId server, kelplb::Outcome outcome, Millis duration, bool late);
    void standing(ServerId server, bool removed);

    // The next report for this planner.
    Report report(std::size_t planner, std::vector<PlanId> seen);
    // The planner has taken the report of this sequence, or wants the next one full.
    void acknowledged(std::size_t planner, std::uint64_t sequence, bool want_full);

    std::size_t servers() const { return servers_.size(); }

private:
    struct Entry {
        ServerReport report;
        std::uint64_t changed = 0;  // tick of the last change
        bool listed = true;
    };
    struct Reader {
        std::uint64_t sequence = 0;                    // of the newest report
        std::uint64_t built_at = 0, acknowledged = 0;  // ticks
        bool full = true;                              // the next one
    };
    Entry* find(ServerId server);
    void touch(Entry& entry) { entry.changed = ++tick_; }

    std::string name_;
    std::uint64_t incarnation_;
    std::uint64_t tick_ = 0;
    std::map<ServerId, Entry>
        servers_;  // those listed, and those gone with attempts out; kMaxServers at most
    std::vector<std::uint64_t> demand_;
    std::vector<Reader> readers_;
};

}  // namespace cobaltshift::plan
