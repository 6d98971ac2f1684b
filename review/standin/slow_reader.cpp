// Case: a client reads a long answer slowly but steadily, and is well inside its deadline. The proxy beside
// it closes the connection once a piece of the answer has waited 5 s for its reader. The machine gets a
// SIGHUP meanwhile, with and without the disruption. Without the disruption the client reads as fast as it
// can.
#include "mesh.hpp"

using namespace review;

namespace {
constexpr std::size_t kAnswerBytes = 16 << 20, kReadBytes = 25 * 1024;
constexpr double kReadPauseS = 0.1, kHupAfterS = 0.2, kWorkS = 0.1, kApplyS = 2.5;
constexpr int kClients = 4, kDeadlineMs = 100000;

struct Download {
    double sent_at = 0, ended_at = 0;
    std::string id;
    int status = 0;
    std::size_t bytes = 0, length = 0;
    bool whole() const { return status / 100 == 2 && bytes == length; }
};

// Reads the answer in pieces, each after a pause, as a client on a slow line does.
Download download(const Machine& machine, bool slowly) {
    Download result;
    Request request;
    result.id = request.id;
    const int small_buffer = 64 * 1024;
    const auto connection = Connection::open(machine.ip, kOutboundPort, 1, slowly ? small_buffer : 0);
    if (!connection) return result;
    connection->deadline_s = now_s() + kDeadlineMs / 1000.0;
    result.sent_at = now_s();
    connection->write("GET /master/1 HTTP/1.1\r\nHost: master.example\r\nRequest-Id: " + request.id +
                      "\r\nDeadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n\r\n");
    Connection::Head head;
    if (connection->read_head(head)) {
        result.status = std::atoi(head.start.c_str() + 9);
        result.length = std::strtoull(head.field("content-length").c_str(), nullptr, 10);
        while (result.bytes < result.length) {
            const std::size_t piece = std::min(kReadBytes, result.length - result.bytes);
            if (!connection->read_body(piece, nullptr)) break;
            result.bytes += piece;
            if (slowly) sleep_s(kReadPauseS);
        }
    }
    result.ended_at = now_s();
    return result;
}

bool holds(Record& record) {
    Deployment deployment(record, {"masters-room", "masters-room", "reel-library"});
    deployment.start_all();
    deployment.put_configuration(
        configuration({"masters-room", "reel-library"},
                      "\"r-master\":{\"host\":\"master.example\",\"path_prefix\":\"/master/\",\"route_kind\":"
                      "\"download\",\"deadline_s\":100,\"target_s\":2,\"priority\":1,\"service\":"
                      "\"masters-room\",\"tries\":2}"));
    deployment.wait_until_ready();
    std::vector<std::unique_ptr<Server>> servers;
    for (std::size_t i = 0; i < deployment.branches(); ++i)
        servers.push_back(std::make_unique<Server>(record, deployment.branch(i), kWorkS, kAnswerBytes));
    sleep_s(2 * kHeartbeatS + kContactS);

    const Machine machine = deployment.branch(2);
    std::vector<Download> downloads(kClients);
    std::vector<std::thread> clients;
    for (Download& one : downloads) clients.emplace_back([&] { one = download(machine, trouble()); });
    sleep_s(kHupAfterS);
    ::kill(machine.pid, SIGHUP);
    const double hup_at = now_s();
    record.line("SIGHUP to " + machine.name);
    for (std::thread& client : clients) client.join();

    // LOST: a request that was sent before apply_s past that machine's SIGHUP and cut after it, with no
    // unplanned trouble, has gone on to a server, and the connection closes without a complete answer.
    std::size_t lost = 0;
    for (const Download& one : downloads) {
        record.line(format("download %s: status %d, %zu of %zu bytes, sent at %.3f, ended at %.3f",
                           one.id.c_str(), one.status, one.bytes, one.length, one.sent_at, one.ended_at));
        bool ran = false;
        for (const auto& server : servers)
            for (const Server::Run& run : server->runs()) ran = ran || run.id == one.id;
        lost += ran && !one.whole() && one.status != 0 && one.sent_at < hup_at + kApplyS &&
                one.ended_at > hup_at && one.ended_at < one.sent_at + kDeadlineMs / 1000.0 - 1;
    }
    const std::string verdict = format(
        "%zu of %d downloads were cut, with %.0f s or more of their deadline left", lost, kClients,
        kDeadlineMs / 1000.0 - [&] {
            double longest = 0;
            for (const Download& one : downloads) longest = std::max(longest, one.ended_at - one.sent_at);
            return longest;
        }());
    record.line(verdict);
    std::printf("%s\n", verdict.c_str());
    return lost == 0;
}
}  // namespace

int main(int, char** argv) { return run_case(argv[1], holds); }
