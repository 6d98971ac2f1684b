// How a sidecar uses kelplb: pass events with their time, carry out the actions. Here a request arrives, is
// sent to a server that refuses the connection, is sent to another one and completes.
#include <iostream>

#include "kelplb/balancer.hpp"

using namespace kelplb;

int main() {
    Settings settings;
    RequestClass read;
    read.effect = Effect::repeatable;
    read.latency_target = 200;
    settings.classes = {read};
    Balancer balancer(settings, /*seed=*/42);

    std::vector<Action> actions;
    balancer.handle(1000, Started{}, actions);
    balancer.handle(1000, ServerList{ListKind::full, {{/*id=*/1}, {/*id=*/2}}}, actions);
    balancer.handle(1010, RequestArrived{/*id=*/7, /*class_index=*/0, /*time_left=*/500}, actions);

    std::uint32_t attempt = 0;
    for (std::size_t i = 0; i < actions.size(); ++i) {
        const Action action = actions[i];  // handle() may move the vector's storage
        if (const auto* send = std::get_if<Send>(&action)) {
            std::cout << "send request " << send->id << " to server " << send->server << '\n';
            AttemptEnded ended{send->id, attempt++};
            ended.outcome = attempt == 1 ? Outcome::refused_connection : Outcome::completed;
            ended.request_ended = ended.outcome == Outcome::completed;
            balancer.handle(1010 + 20 * attempt, ended, actions);
        } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
            std::cout << "timer at " << timer->at << '\n';  // pass TimerFired{timer->token} then
        }
    }
    return attempt == 2 && balancer.held().requests == 0 ? 0 : 1;
}
