// Case: a server has deregistered, its proxy loses power and starts again, and a beat that the server sent
// before comes late. The restarted proxy takes it for news and admits requests to the server that has left.
#include "mesh.hpp"

using namespace review;

namespace {
constexpr double kWarmUpS = 2, kLateBeatS = 2, kServesOnS = 11, kWorkS = 0.1, kClientPauseS = 0.04;
constexpr int kClients = 8;

struct Try {
    double sent_at;
    std::string id;
    int status;
};

bool holds(Record& record) {
    const std::vector<std::string> services{"session-desk", "session-desk", "reel-library"};
    Deployment deployment(record, services);
    deployment.start_all();
    deployment.put_configuration(
        configuration({"session-desk", "reel-library"},
                      "\"r-book\":{\"host\":\"book.example\",\"path_prefix\":\"/book/\",\"route_kind\":"
                      "\"registered\",\"deadline_s\":4,\"target_s\":1,\"priority\":1,\"service\":"
                      "\"session-desk\",\"tries\":1}"));
    deployment.wait_until_ready();
    std::vector<std::unique_ptr<Server>> servers;
    for (std::size_t i = 0; i < deployment.branches(); ++i)
        servers.push_back(std::make_unique<Server>(record, deployment.branch(i), kWorkS));
    Machine& leaving_machine = deployment.branch(0);
    const Machine client_machine = deployment.branch(2);
    Server& leaving = *servers[0];
    sleep_s(kHeartbeatS);

    std::atomic<bool> stop{false};
    std::mutex mutex;
    std::vector<Try> tries;
    std::vector<std::thread> clients;
    for (int i = 0; i < kClients; ++i)
        clients.emplace_back([&] {
            while (!stop) {
                Request request;
                request.method = "POST", request.host = "book.example", request.path = "/book/1";
                request.body_bytes = 100, request.deadline_ms = 4000;
                const double sent_at = now_s();
                const Answer answer = send_request(client_machine, request);
                record.line("answer " + request.id + " " + std::to_string(answer.status) + ", sent at " +
                            format("%.3f", sent_at));
                {
                    const std::lock_guard<std::mutex> lock(mutex);
                    tries.push_back({sent_at, request.id, answer.status});
                }
                sleep_s(kClientPauseS);
            }
        });
    sleep_s(kWarmUpS);

    // The server leaves without ever saying `closing`. One beat of before is still on its way.
    leaving.stop_beats();
    const std::string late_beat = leaving.next_beat();
    record.line("the beat " + late_beat + " is on its way");
    leaving.leave();
    const int acknowledged = leaving.deregister();
    const double left_at = now_s();
    record.line("DELETE of " + leaving.id() + " is answered with " + std::to_string(acknowledged));
    if (trouble()) {
        record.line("kill " + leaving_machine.name);
        deployment.stop(leaving_machine);
        sleep_s(0.5);
        deployment.start(leaving_machine);
    }
    sleep_s(left_at + kLateBeatS - now_s());
    record.line("the late beat is answered with " + std::to_string(leaving.send_beat(late_beat)));
    sleep_s(left_at + kServesOnS - now_s());
    record.line("the server " + leaving.id() + " ends");
    leaving.end();
    sleep_s(1);
    stop = true;
    for (std::thread& client : clients) client.join();
    if (acknowledged / 100 != 2) throw CannotRun("the DELETE was not acknowledged");

    // DRAIN: a request reaches the server later than drain_s after the acknowledgement. Counted are requests
    // that were sent once all machines had been in touch for contact_s, counted from the proxy's restart.
    std::map<std::string, const Try*> by_id;
    for (const Try& one : tries) by_id[one.id] = &one;
    std::size_t late = 0, lost = 0;
    double first = 0, last = 0;
    for (const Server::Run& run : leaving.runs()) {
        const auto sent = by_id.find(run.id);
        if (sent == by_id.end() || run.at <= left_at + kDrainS) continue;
        if (sent->second->sent_at <= left_at + 1 + kContactS) continue;
        ++late;
        if (first == 0) first = run.at;
        last = run.at;
        lost += sent->second->status / 100 != 2;
    }
    const std::string verdict = format(
        "%zu requests from machines in touch reached the server that had left, %.1f to %.1f s after the "
        "acknowledgement; %zu of them were lost when it ended",
        late, late ? first - left_at : 0, late ? last - left_at : 0, lost);
    record.line(verdict);
    std::printf("%s\n", verdict.c_str());
    return late == 0;
}
}  // namespace

int main(int, char** argv) { return run_case(argv[1], holds); }
