// Case: clients that leave during a long answer. Argument: the record's path.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <random>

#include "mesh.hpp"

using namespace review;

namespace {
constexpr std::size_t kLongBytes = 6u << 20, kShortBytes = 600;
// Those who leave do so before so many bytes have come.
constexpr std::size_t kLeaveBefore = kLongBytes - 1;
constexpr double kDay = 80, kTenth = 0.1, kShare = 0.2;

// The whole body names the request that it answers.
std::string body_for(const std::string& id, std::size_t bytes) {
    std::string body;
    body.reserve(bytes + 32);
    while (body.size() < bytes) body += "<answer to " + id + ">";
    body.resize(bytes);
    return body;
}

std::string printable(const std::string& bytes, std::size_t most) {
    std::string text;
    for (const char c : bytes.substr(0, most)) text += c >= 0x20 && c < 0x7f ? c : '.';
    return text;
}

struct Counts {
    std::atomic<std::uint64_t> long_asked{0}, left{0}, long_whole{0}, short_asked{0}, short_whole{0},
        others{0}, broken{0}, foreign{0}, lost{0};
};
}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) return 2;
    try {
        Record record(argv[1]);
        Mesh mesh(record, 3, {"masters", "masters", "masters"});
        const auto handler = [](const Message& request, const std::string& id) {
            Server::Answer answer;
            answer.body =
                body_for(id, request.start.find("/long/") != std::string::npos ? kLongBytes : kShortBytes);
            return answer;
        };
        std::vector<std::unique_ptr<Server>> servers;
        for (std::size_t i = 0; i < 3; ++i)
            servers.push_back(std::make_unique<Server>(mesh, i, "masters", 18, handler));
        mesh.start_all();
        for (std::size_t i = 0; i < 3; ++i) servers[i]->start("i-" + hex_id(100 + i));
        const std::string config =
            configuration(1,
                          route("long", "media.example", "/long/", "download", "masters", 6, 2, 1) + "," +
                              route("short", "media.example", "/short/", "plain", "masters", 3, 0.5, 2),
                          {"masters"});
        if (order(mesh, "PUT", "0", config, 10).status != 200 || !mesh.wait_ready(10)) {
            record.line("the mesh did not come up");
            return 2;
        }
        sleep_s(3.5);  // all machines are in touch
        Counts counts;
        std::atomic<std::uint64_t> next_id{1};
        std::atomic<bool> on{true};
        const auto faulty = [&](const std::string& what, const std::string& id, const std::string& bytes) {
            if (counts.foreign++ < 20)
                record.line("MIXED: " + what + ", request " + id + ": \"" + printable(bytes, 160) + "\"");
        };
        const auto request = [&](const std::string& kind, const std::string& id, int deadline_ms) {
            return "GET /" + kind + "/a HTTP/1.1\r\nHost: media.example\r\nRequest-Id: " + id +
                   "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n\r\n";
        };
        // Whether the bytes that came, whatever they are, are the answer to this request.
        const auto check = [&](Got got, const Message& answer, const std::string& rest, const std::string& id,
                               std::size_t bytes) {
            if (got == Got::broken || (got == Got::cut && !rest.empty() &&
                                       rest.compare(0, std::min<std::size_t>(5, rest.size()), "HTTP/",
                                                    std::min<std::size_t>(5, rest.size())) != 0 &&
                                       answer.start.empty()))
                return faulty("bytes that are no answer", id, rest), false;
            if (got != Got::whole) return ++counts.lost, false;
            if (answer.status() / 100 != 2) return ++counts.others, false;
            if (answer.header("request-id") != id || answer.body != body_for(id, bytes))
                return faulty("a success with another body", id, answer.start + " " + answer.body), false;
            if (!rest.empty()) return faulty("bytes behind the answer", id, rest), false;
            return true;
        };
        std::vector<std::thread> clients;
        const auto long_client = [&](std::size_t proxy, unsigned seed) {
            std::mt19937 random(seed);
            while (on) {
                const std::string id = hex_id(next_id++);
                Socket socket = Socket::connect(mesh.proxy_ip(proxy), Mesh::kOutbound, 1);
                if (!socket.ok() || !socket.write_all(request("long", id, 6000), now_s() + 1)) {
                    sleep_s(0.05);
                    continue;
                }
                ++counts.long_asked;
                const std::size_t leave_at = trouble() ? 1 + random() % kLeaveBefore : kLongBytes + 1;
                std::string rest;
                Message answer;
                const Got got = read_message(socket, rest, answer, now_s() + 7,
                                             [&](std::size_t bytes) { return bytes < leave_at; });
                if (got == Got::late && rest.size() >= leave_at) {
                    ++counts.left;
                    continue;
                }
                if (check(got, answer, rest, id, kLongBytes)) ++counts.long_whole;
            }
        };
        const auto short_client = [&](std::size_t proxy, unsigned) {
            while (on) {
                const std::string id = hex_id(next_id++);
                Socket socket = Socket::connect(mesh.proxy_ip(proxy), Mesh::kOutbound, 1);
                if (!socket.ok() || !socket.write_all(request("short", id, 3000), now_s() + 1)) {
                    sleep_s(0.05);
                    continue;
                }
                ++counts.short_asked;
                std::string rest;
                Message answer;
                const Got got = read_message(socket, rest, answer, now_s() + 4);
                if (check(got, answer, rest, id, kShortBytes)) ++counts.short_whole;
                sleep_s(0.003);
            }
        };
        for (std::size_t proxy = 0; proxy < 3; ++proxy) {
            for (unsigned i = 0; i < 2; ++i)
                clients.emplace_back(long_client, proxy, unsigned(proxy * 10 + i));
            for (unsigned i = 0; i < 4; ++i) clients.emplace_back(short_client, proxy, i);
        }
        // The share of a core is a quota, as the platform gives it on some days.
        std::thread quota([&] {
            while (on) {
                for (std::size_t i = 0; i < mesh.proxies(); ++i) mesh.pause(mesh.proxy(i), false);
                sleep_s(kTenth * kShare);
                for (std::size_t i = 0; i < mesh.proxies(); ++i) mesh.pause(mesh.proxy(i), true);
                sleep_s(kTenth * (1 - kShare));
            }
            for (std::size_t i = 0; i < mesh.proxies(); ++i) mesh.pause(mesh.proxy(i), false);
        });
        const double until = now_s() + kDay;
        std::string ended;
        while (now_s() < until && ended.empty() && counts.foreign < 30) {
            sleep_s(0.2);
            ended = mesh.ends_by_itself();
        }
        on = false;
        quota.join();
        for (std::thread& client : clients) client.join();
        ended = mesh.ends_by_itself();
        const auto count = [](const std::atomic<std::uint64_t>& n) { return std::to_string(n.load()); };
        record.line("long requests " + count(counts.long_asked) + ": left early " + count(counts.left) +
                    ", whole " + count(counts.long_whole) + "; short requests " + count(counts.short_asked) +
                    ": whole " + count(counts.short_whole) + "; other statuses " + count(counts.others) +
                    ", ended without an answer " + count(counts.lost));
        std::size_t runs = 0;
        for (const auto& server : servers) runs += server->runs().size();
        record.line("runs at the servers: " + std::to_string(runs));
        record.line("wrong answers " + count(counts.foreign) +
                    "; processes that ended by themselves: " + (ended.empty() ? "none" : ended));
        std::printf("wrong answers %s, ended by themselves: %s\n", count(counts.foreign).c_str(),
                    ended.c_str());
        return counts.foreign > 0 || !ended.empty() ? 1 : 0;
    } catch (const std::exception& fault) {
        std::fprintf(stderr, "%s\n", fault.what());
        return 2;
    }
}
