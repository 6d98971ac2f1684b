// Case: a server's DELETE is acknowledged, and processes are killed at the same moment. Argument: the
// record's path.
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <set>

#include "mesh.hpp"

using namespace review;

namespace {
constexpr std::size_t kProxies = 5;
constexpr double kDrain = 2.5, kContact = 3, kDown = 0.5, kLate = 2, kServesOn = 10;
constexpr double kWork = 0.15;
}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) return 2;
    try {
        Record record(argv[1]);
        Mesh mesh(record, 3, std::vector<std::string>(kProxies, "bookings"));
        const auto handler = [](const Message&, const std::string& id) {
            Server::Answer answer;
            answer.body = "booked " + id;
            answer.after_s = kWork;
            return answer;
        };
        std::vector<std::unique_ptr<Server>> servers;
        for (std::size_t i = 0; i < kProxies; ++i)
            servers.push_back(std::make_unique<Server>(mesh, i, "bookings", 18, handler));
        mesh.start_all();
        for (std::size_t i = 0; i < kProxies; ++i) servers[i]->start("i-" + hex_id(100 + i));
        const std::string config = configuration(
            1, route("book", "desk.example", "/book/", "registered", "bookings", 3, 0.5, 2), {"bookings"});
        if (order(mesh, "PUT", "0", config, 10).status != 200 || !mesh.wait_ready(10)) {
            record.line("the mesh did not come up");
            return 2;
        }
        std::atomic<bool> on{true};
        std::atomic<std::uint64_t> next_id{1};
        std::mutex mutex;
        std::map<std::string, std::string> answers;  // by id
        // The clients stand on the machines whose proxies are not killed.
        const auto client = [&](std::size_t proxy) {
            while (on) {
                const std::string id = hex_id(next_id++), body = "one session, please: " + id;
                std::string said = "no connection";
                Socket socket = Socket::connect(mesh.proxy_ip(proxy), Mesh::kOutbound, 1);
                std::string rest;
                Message answer;
                if (socket.ok() &&
                    socket.write_all("POST /book/a HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
                                         "\r\nDeadline-Ms: 3000\r\nContent-Length: " +
                                         std::to_string(body.size()) + "\r\n\r\n" + body,
                                     now_s() + 1)) {
                    const Got got = read_message(socket, rest, answer, now_s() + 3.2);
                    said = got == Got::whole ? std::to_string(answer.status()) : "no whole answer";
                    if (got == Got::whole && answer.status() == 200 && answer.body != "booked " + id)
                        said = "200, wrong";
                }
                {
                    const std::lock_guard lock(mutex);
                    answers[id] = said;
                }
                sleep_s(0.05);
            }
        };
        std::vector<std::thread> clients;
        for (std::size_t proxy = 1; proxy < kProxies; ++proxy)
            for (int i = 0; i < 4; ++i) clients.emplace_back(client, proxy);
        sleep_s(kContact + 2);  // all machines are in touch

        // The leaving server is the first one. It sends a beat that arrives late, then DELETE.
        Server& leaving = *servers[0];
        const std::string instance = leaving.instance();
        leaving.beats(false);
        sleep_s(1.1);  // no beat is on its way but the late one
        const std::uint64_t late_call = leaving.next_call();
        leaving.healthy(false);  // it knows that it leaves
        leaving.next_call();
        const int said = leaving.deregister();
        const double acknowledged = now_s();
        record.line("DELETE of " + instance + " by its server: answered " + std::to_string(said));
        if (said != 200) return 2;
        if (trouble()) {
            for (Node* node : {&mesh.proxy(0), &mesh.hub(0), &mesh.hub(1), &mesh.hub(2)})
                mesh.signal(*node, SIGKILL);
            for (Node* node : {&mesh.proxy(0), &mesh.hub(0), &mesh.hub(1), &mesh.hub(2)}) mesh.kill(*node);
            sleep_s(kDown);
            for (Node* node : {&mesh.hub(0), &mesh.hub(1), &mesh.hub(2), &mesh.proxy(0)})
                mesh.start(*node, false);
        }
        const double restarted = now_s();
        sleep_s(acknowledged + kLate - now_s());
        record.line("the late beat (open, call_seq " + std::to_string(late_call) + "): answered " +
                    std::to_string(leaving.beat("open", late_call)));
        // From here on all machines are in touch, and drain_s is over.
        const double judged = std::max(acknowledged + kDrain, restarted + kContact) + 1;
        sleep_s(judged - now_s());
        record.line("all machines are in touch, drain_s is over");
        sleep_s(acknowledged + kServesOn - now_s());
        const double ended = now_s();
        leaving.stop();
        record.line("the server " + instance + " has ended");
        sleep_s(4);
        on = false;
        for (std::thread& one : clients) one.join();

        std::size_t late = 0, cut = 0, all = 0;
        std::map<std::string, std::size_t> statuses;
        for (const auto& [id, status] : answers) ++statuses[status];
        for (const Run& run : leaving.runs()) {
            ++all;
            if (run.at < judged) continue;
            ++late;
            const std::string status = answers.count(run.id) ? answers.at(run.id) : "none";
            if (status != "200") ++cut;
            if (late <= 20 || status != "200") {
                char text[64];
                std::snprintf(text, sizeof text, "%.3f s after the acknowledgement", run.at - acknowledged);
                record.line("ran at " + instance + ": " + run.id + ", " + text +
                            "; the client's answer: " + status);
            }
        }
        std::string sum;
        for (const auto& [status, count] : statuses) sum += status + ": " + std::to_string(count) + "  ";
        record.line("answers of all requests: " + sum);
        record.line("runs at " + instance + ": " + std::to_string(all) +
                    "; later than drain_s after the acknowledgement, "
                    "all machines in touch: " +
                    std::to_string(late) + "; of these cut off by its end: " + std::to_string(cut));
        const std::string by_themselves = mesh.ends_by_itself();
        if (!by_themselves.empty()) record.line("ended by themselves: " + by_themselves);
        std::printf("late runs %zu, cut off %zu; ended %.1f s after the acknowledgement\n", late, cut,
                    ended - acknowledged);
        return late > 0 || !by_themselves.empty() ? 1 : 0;
    } catch (const std::exception& fault) {
        std::fprintf(stderr, "%s\n", fault.what());
        return 2;
    }
}
