// Case: the machines were stopped and started in turn, so that each server is in a new life; then all
// processes of the system are killed, and the last beats of the former lives come late. Argument: the
// record's path.
#include <signal.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "mesh.hpp"

using namespace review;

namespace {
constexpr std::size_t kHubs = 3, kProxies = 3;
constexpr double kContact = 3, kDrain = 2.5, kGrace = 6, kGap = 1, kDown = 0.5, kLateAfter = 2, kRecover = 15,
                 kJudged = 8;
}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) return 2;
    try {
        Record record(argv[1]);
        Mesh mesh(record, kHubs, std::vector<std::string>(kProxies, "bookings"));
        const auto handler = [](const Message&, const std::string& id) {
            Server::Answer answer;
            answer.body = "booked " + id;
            answer.after_s = 0.03;
            return answer;
        };
        std::vector<std::unique_ptr<Server>> servers;
        for (std::size_t i = 0; i < kProxies; ++i)
            servers.push_back(std::make_unique<Server>(mesh, i, "bookings", 18, handler));
        mesh.start_all();
        for (std::size_t i = 0; i < kProxies; ++i) servers[i]->start("i-" + hex_id(100 + i));
        const auto config = [&](int edition, const char* target) {
            return configuration(
                edition,
                route("book", "desk.example", "/book/", "registered", "bookings", 3, std::atof(target), 2),
                {"bookings"});
        };
        if (order(mesh, "PUT", "0", config(1, "0.5"), 15).status != 200 || !mesh.wait_ready(10)) {
            record.line("the mesh did not come up");
            return 2;
        }
        std::atomic<bool> on{true};
        std::atomic<std::uint64_t> next_id{1};
        std::mutex mutex;
        struct Asked {
            double at;
            std::string said;
        };
        std::vector<Asked> all;
        std::vector<std::atomic<bool>> usable(kProxies);
        for (auto& one : usable) one = true;
        const auto client = [&](std::size_t proxy) {
            while (on) {
                if (!usable[proxy]) {
                    sleep_s(0.05);
                    continue;
                }
                const std::string id = hex_id(next_id++), body = "one session, please: " + id;
                const double at = now_s();
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
                    if (said == "200" && answer.body != "booked " + id) said = "200, wrong";
                }
                {
                    const std::lock_guard lock(mutex);
                    all.push_back({at, said});
                }
                sleep_s(0.1);
            }
        };
        std::vector<std::thread> clients;
        for (std::size_t proxy = 0; proxy < kProxies; ++proxy)
            for (int i = 0; i < 2; ++i) clients.emplace_back(client, proxy);
        sleep_s(kContact + 3);  // all machines are in touch

        // Planned work: the machines are stopped and started in turn. The last beat of each server is still
        // on its way when the server ends.
        struct Late {
            std::string instance;
            std::uint64_t call_seq = 0;
            double sent = 0;
        };
        std::vector<Late> late(kProxies);
        const auto roll = [&](std::size_t i) {
            Server& server = *servers[i];
            server.closing(true);
            while (server.beat("closing") != 200) sleep_s(0.2);
            record.line(server.instance() + " says closing: acknowledged");
            sleep_s(kDrain + 0.2);
            server.beats(false);
            late[i] = {server.instance(), server.next_call(), now_s()};
            server.next_call();
            server.deregister();
            usable[i] = false;  // the platform sees that the sidecar is not ready
            server.stop();
            record.line(server.instance() + " has ended");
            mesh.signal(mesh.proxy(i), SIGTERM);
            const double until = now_s() + kGrace;
            while (mesh.running(mesh.proxy(i)) && now_s() < until) sleep_s(0.02);
            if (mesh.running(mesh.proxy(i))) mesh.kill(mesh.proxy(i));
            mesh.start(mesh.proxy(i), false);
            server.closing(false);
            server.beats(true);
            server.start("i-" + hex_id(200 + i));
            record.line("the server beside " + mesh.proxy(i).name + " is back as " + server.instance());
            while (!mesh.ready(i)) sleep_s(0.1);
            usable[i] = true;
        };
        {
            std::vector<std::thread> rolling;
            for (std::size_t i = 0; i < kProxies; ++i) {
                rolling.emplace_back(roll, i);
                sleep_s(kGap);
            }
            for (std::thread& one : rolling) one.join();
        }
        const int acknowledged = order(mesh, "PUT", "r1", config(2, "0.6"), 5).status;
        record.line("change to r2: " + std::to_string(acknowledged));
        const double fault = now_s();
        if (trouble()) {
            std::vector<Node*> nodes;
            for (std::size_t i = 0; i < kHubs; ++i) nodes.push_back(&mesh.hub(i));
            for (std::size_t i = 0; i < kProxies; ++i) nodes.push_back(&mesh.proxy(i));
            for (Node* node : nodes) mesh.signal(*node, SIGKILL);
            for (Node* node : nodes) mesh.kill(*node);
            sleep_s(kDown);
            for (Node* node : nodes) mesh.start(*node, false);
        }
        const double returned = now_s();
        sleep_s(kLateAfter);
        for (std::size_t i = 0; i < kProxies; ++i) {
            const int said = servers[i]->beat_of(late[i].instance, "closing", late[i].call_seq);
            char text[64];
            std::snprintf(text, sizeof text, "%.1f s late", now_s() - late[i].sent);
            record.line("the last beat of " + late[i].instance + " (call_seq " +
                        std::to_string(late[i].call_seq) + ") comes " + text + " at " + mesh.proxy(i).name +
                        ": answered " + std::to_string(said));
        }
        sleep_s(returned + kRecover + kJudged - now_s());
        on = false;
        for (std::thread& one : clients) one.join();
        const auto served = [&](double from, double to, const std::string& name) {
            std::map<std::string, std::size_t> statuses;
            std::size_t count = 0, good = 0;
            for (const Asked& one : all) {
                if (one.at < from || one.at >= to) continue;
                ++count;
                good += one.said == "200";
                ++statuses[one.said];
            }
            std::string text =
                name + ": " + std::to_string(count) + " requests, served " + std::to_string(good) + " (";
            for (const auto& [status, n] : statuses) text += status + ": " + std::to_string(n) + "  ";
            record.line(text + ")");
            return count ? static_cast<double>(good) / static_cast<double>(count) : 0.0;
        };
        const double before = served(0, fault, "before the closing fault");
        served(returned, returned + kRecover, "in recover_s after the return");
        const double after = served(returned + kRecover, 1e9, "later than recover_s after the return");
        for (std::size_t i = 0; i < kProxies; ++i) {
            std::size_t runs = 0;
            for (const Run& run : servers[i]->runs()) runs += run.at > returned + kRecover;
            record.line("runs at " + servers[i]->instance() +
                        " later than recover_s: " + std::to_string(runs) + "; its beats are answered " +
                        std::to_string(servers[i]->beat("open")));
        }
        const std::string by_themselves = mesh.ends_by_itself();
        if (!by_themselves.empty()) record.line("ended by themselves: " + by_themselves);
        std::printf("served before %.2f, after %.2f\n", before, after);
        return (before >= 0.25 && after < 0.25) || !by_themselves.empty() ? 1 : 0;
    } catch (const std::exception& fault) {
        std::fprintf(stderr, "%s\n", fault.what());
        return 2;
    }
}
