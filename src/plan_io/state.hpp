// A planner's state on disk, which lets a restarted planner continue: the id of its plan and the servers that
// it had removed. Saving is atomic: the state is written to a new file, which is synced and renamed over the
// old one.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "plan/types.hpp"

namespace cobaltshift::plan {

struct State {
    PlanId id;
    std::vector<ServerIncarnation> removed;
    bool operator==(const State&) const = default;
};

// Returns nothing if there is no file, with `why` empty, or if the file can't be read or is damaged; `why`
// then says what is wrong.
std::optional<State> load_state(const std::string& folder, std::string& why);
// Returns false if the state could not be written; `why` then says what failed. Unless only the sync of the
// folder failed, the former file remains.
bool save_state(const std::string& folder, const State& state, std::string& why);

}  // namespace cobaltshift::plan
