// Proxies over loopback sockets: one Outbound and the Inbounds of one to three servers, each behind a
// Listener. Checks what clients and servers see.
#include <doctest/doctest.h>

#include <atomic>
#include <future>

#include "config/parse.hpp"
#include "lab/scripted.hpp"
#include "net/listener.hpp"
#include "proxy/inbound.hpp"
#include "proxy/outbound.hpp"

using namespace cobaltshift;
using namespace cobaltshift::proxy;
using lab::FakeServer;
using lab::Wire;
using Reply = FakeServer::Reply;

namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;

// One route of each kind, all to the service "goods".
std::shared_ptr<const config::Configuration> a_configuration(unsigned tries = 2) {
    const auto route = [&](const char* name, const char* kind) {
        return "\"" + std::string(name) + R"(":{"host":"shop.example","path_prefix":"/)" + name +
               R"(/","route_kind":")" + kind +
               R"(","deadline_s":5,"target_s":1,"priority":0,"service":"goods","tries":)" +
               std::to_string(tries) + "}";
    };
    const auto parsed = config::parse_configuration(
        R"({"edition":"r1","routes":{)" + route("plain", "plain") + "," + route("registered", "registered") +
            R"(},"services":{"goods":{"health_path":"/health","max_connections":100}},)"
            R"("limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_read_s":3,"idle_timeout_s":15}})",
        0);
    REQUIRE(parsed.configuration);
    return parsed.configuration;
}

std::string stamped(const HttpRequest& request) {
    return "Request-Id: " + std::string(request[kRequestId]) + "\r\nPostmark: 3e1b\r\n";
}
bool serve(Wire& wire, const HttpRequest& request, int) {
    return wire.respond(200, "fine", stamped(request)), true;
}
// A server and the Inbound of the proxy beside it. The Inbound runs on the mesh's event loop.
struct ServerSide {
    ServerSide(asio::io_context& io, const Clock& clock, std::string its_instance_id, Reply reply)
        : instance_id(std::move(its_instance_id)),
          app(std::move(reply)),
          boot(a_boot(app)),
          inbound(io, clock, boot, {[] { return std::uint64_t{1}; }, [](std::uint64_t) {}}),
          listener(io, clock, inbound, {}) {
        listener.listen({asio::ip::address_v4(kLoopback), 0});
    }
    static boot::Boot a_boot(const FakeServer& app) {
        boot::Boot b;
        b.ip = "127.0.0.1";
        b.service = "goods";
        const std::string at = app.at();
        b.app_address = tcp::endpoint(asio::ip::address_v4(kLoopback),
                                      static_cast<std::uint16_t>(std::stoi(at.substr(at.rfind(':') + 1))));
        return b;
    }
    registry::NodeRecord record(std::uint32_t capacity) const {
        registry::NodeRecord node;
        node.ip = kLoopback;
        node.zone = "north";
        node.traffic_port = listener.endpoint().port();
        node.ready = true;
        node.server.emplace();
        node.server->instance_id = instance_id;
        node.server->service = "goods";
        node.server->capacity = capacity;
        return node;
    }
    std::string instance_id;
    FakeServer app;
    boot::Boot boot;
    Inbound inbound;
    Listener listener;
};

class Mesh {
public:
    explicit Mesh(std::vector<Reply> replies, std::uint32_t capacity = 4, bool configured = true,
                  const std::map<std::string, double>& bounds = {}) {
        boot_.ip = "127.0.0.1";
        boot_.zone = "north";
        boot_.zones["north"] = "upland";
        boot_.service = "till";
        boot_.bounds = bounds;
        for (Reply& reply : replies) {
            server_sides_.push_back(std::make_unique<ServerSide>(
                io_, clock_, "i-" + std::to_string(server_sides_.size()), std::move(reply)));
            records_.push_back(server_sides_.back()->record(capacity));
            server_sides_.back()->inbound.on_heartbeat(server_sides_.back()->instance_id, capacity, false, 1);
        }
        outbound_ = std::make_unique<Outbound>(
            io_, clock_, boot_,
            Outbound::Callbacks{[] { return std::size_t{1}; },
                                [this](const auto& visit) {
                                    for (const auto& record : records_)
                                        visit(record, registry::MemberState::alive);
                                },
                                [](std::uint32_t, std::uint64_t) {}, [](std::uint32_t) {}},
            7);
        listener_ = std::make_unique<Listener>(io_, clock_, *outbound_, Listener::Limits{});
        listener_->listen({asio::ip::address_v4(kLoopback), 0});
        endpoint = listener_->endpoint();
        thread_ = std::thread([this] { io_.run(); });
        if (configured) configure();
    }
    ~Mesh() {
        io_.stop();
        thread_.join();
    }
    // Runs a function on the event loop and waits until it has returned.
    void run(const std::function<void()>& what) {
        std::promise<void> done;
        asio::post(io_, [&] { what(), done.set_value(); });
        done.get_future().wait();
    }
    void configure(unsigned tries = 2) {
        run([&] { outbound_->apply_configuration(a_configuration(tries)); });
        run([] {});  // servers are listed in the next turn of the loop
    }
    Outbound& outbound() { return *outbound_; }  // for use on the event loop only
    ServerSide& server_side(std::size_t i = 0) { return *server_sides_.at(i); }
    FakeServer& app(std::size_t i = 0) { return server_side(i).app; }
    std::size_t seen() {
        std::size_t all = 0;
        for (auto& server_side : server_sides_) all += server_side->app.seen().size();
        return all;
    }
    // From now on requests for the proxy beside server `i` go to `proxy`.
    void redirect_to(std::size_t i, const FakeServer& proxy) {
        const std::string to = proxy.at();
        run([&] {
            records_.at(i).traffic_port = static_cast<std::uint16_t>(std::stoi(to.substr(to.rfind(':') + 1)));
            outbound_->registry_changed();
        });
        run([] {});  // servers are listed in the next turn of the loop
    }
    tcp::endpoint endpoint;  // where clients connect

private:
    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_{io_.get_executor()};
    Clock clock_;
    boot::Boot boot_;
    std::vector<registry::NodeRecord> records_;
    std::vector<std::unique_ptr<ServerSide>> server_sides_;
    std::unique_ptr<Outbound> outbound_;
    std::unique_ptr<Listener> listener_;
    std::thread thread_;
};

// A client's connection.
class Caller {
public:
    explicit Caller(const tcp::endpoint& at) : wire(connected(at)) {}
    HttpResponse ask(const std::string& text) {
        wire.write(text);
        return answer();
    }
    HttpResponse answer() {
        HttpResponse response;
        if (!wire.read(response)) response.result(0u);
        return response;
    }
    Wire wire;

private:
    static tcp::socket connected(const tcp::endpoint& at) {
        tcp::socket socket(io_);
        socket.connect(at);
        return socket;
    }
    static inline asio::io_context io_;
};

std::string a_request(const std::string& path, const std::string& body = "", const std::string& more = "",
                      const std::string& deadline = "2500") {
    static std::atomic<int> last{0};
    return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: 9c41d0" + std::to_string(++last) +
           "\r\nDeadline-Ms: " + deadline + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}
bool break_off(Wire&, const HttpRequest&, int) { return false; }

}  // namespace

TEST_CASE(
    "proxy: a request is forwarded with its method, path, body and id and the fields that servers need") {
    Mesh mesh({serve});
    Caller caller(mesh.endpoint);
    const HttpResponse response = caller.ask(
        "PUT /plain/2f?a=b%20c HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: 9c41\r\nDeadline-Ms: 2500\r\n"
        "Other: kept\r\nContent-Length: 9\r\n\r\ntwo words");
    CHECK(response.result_int() == 200);
    CHECK(response.body() == "fine");
    CHECK(response[kPostmark] == "3e1b");
    CHECK(response[kRequestId] == "9c41");
    for (const char* ours : {kHop, kVerdict, kEdition}) CHECK(response.count(ours) == 0);
    REQUIRE(mesh.seen() == 1);
    const HttpRequest seen = mesh.app().seen().at(0);
    CHECK(seen.method() == http::verb::put);
    CHECK(seen.target() == "/plain/2f?a=b%20c");
    CHECK(seen.body() == "two words");
    CHECK(seen[http::field::host] == "shop.example");
    CHECK(seen[kRequestId] == "9c41");
    CHECK(seen["Other"] == "kept");
    CHECK(seen[kInstance] == "i-0");
    CHECK(seen[kCaller] == "till");
    CHECK(seen.count(kHop) == 0);
    const double left = parse_ms(seen[kDeadline]).value_or(-1);
    CHECK(left > 0);
    CHECK(left < 2500);
}

TEST_CASE("proxy: a client's own Caller, Mesh-Hop and Expect-Instance fields are ignored") {
    Mesh mesh({break_off, break_off});
    Caller caller(mesh.endpoint);
    const HttpResponse response = caller.ask(
        a_request("/registered/x", "",
                  "Caller: another\r\nCaller: third\r\nMesh-Hop: p;0;9;9;1;9\r\nMesh-Hop: p;0;9;9;1;9\r\n"
                  "Expect-Instance: i-9\r\nMesh-Verdict: not-run full\r\nMesh-Edition: 99\r\n"));
    CHECK(response.result_int() == 502);
    REQUIRE(mesh.seen() == 1);  // not retried: the client's claim of a plain route is ignored
    const HttpRequest seen = mesh.app(mesh.app(0).seen().empty() ? 1 : 0).seen().at(0);
    CHECK(seen.count(kCaller) == 1);
    CHECK(seen[kCaller] == "till");
    CHECK(seen.count(kInstance) == 1);
    CHECK(seen[kInstance] != "i-9");
    for (const char* ours : {kHop, kVerdict, kEdition}) CHECK(seen.count(ours) == 0);
}

TEST_CASE("proxy: a Connection field can't remove fields that the server and the admission need") {
    Mesh mesh({serve});
    Caller caller(mesh.endpoint);
    const HttpResponse response = caller.ask(a_request(
        "/registered/x", "", "X-Hop: 1\r\nConnection: X-Hop, Request-Id, Caller, Host, Deadline-Ms\r\n"));
    CHECK(response.result_int() == 200);
    REQUIRE(mesh.seen() == 1);
    const HttpRequest seen = mesh.app().seen().at(0);
    CHECK(seen.count("X-Hop") == 0);
    CHECK(seen.count(kRequestId) == 1);
    CHECK(seen[http::field::host] == "shop.example");
    CHECK(seen[kCaller] == "till");
}

TEST_CASE("proxy: a late second answer on a kept connection reaches no other request") {
    Mesh mesh({[](Wire& wire, const HttpRequest& request, int number) {
        if (number > 0) wire.respond(200, "stale", "Request-Id: 9c41d0-before\r\nPostmark: 3e1b\r\n");
        return serve(wire, request, number);
    }});
    Caller caller(mesh.endpoint);
    for (int i = 0; i < 5; ++i) {
        const HttpResponse response = caller.ask(a_request("/registered/x"));
        CHECK(response.result_int() == 200);
        CHECK(response.body() == "fine");
    }
    CHECK(mesh.seen() == 5);
}

// The caller side checks answers itself, so a mix-up at the proxy beside the server reaches no client.
TEST_CASE("proxy: an answer to another request, sent by another proxy, reaches nobody") {
    Mesh mesh({serve});
    FakeServer proxy([](Wire& wire, const HttpRequest& request, int number) {
        const std::string stamp = "Mesh-Verdict: ran\r\nPostmark: 3e1b\r\n";
        wire.respond(200, "other", stamp + "Request-Id: 9c41d0-before\r\n");
        const std::string own = "Request-Id: " + std::string(request[kRequestId]) + "\r\n";
        return number == 0 ? (wire.respond(200, "fine", stamp + own), true) : false;
    });
    mesh.redirect_to(0, proxy);
    Caller caller(mesh.endpoint);
    const HttpResponse first = caller.ask(a_request("/registered/x"));
    CHECK(first.result_int() == 200);
    CHECK(first.body() == "fine");
    CHECK(caller.ask(a_request("/registered/x")).result_int() == 502);  // it may have run
    CHECK(proxy.seen().size() == 2);
}

TEST_CASE("proxy: bytes after a complete answer belong to no request") {
    Mesh mesh({[](Wire& wire, const HttpRequest& request, int) {
        wire.write("HTTP/1.1 200 OK\r\n" + stamped(request) +
                   "Content-Length: 4\r\n\r\nfineHTTP/1.1 200 OK\r\n" +
                   "Postmark: 3e1b\r\nContent-Length: 5\r\n\r\nextra");
        return true;
    }});
    Caller caller(mesh.endpoint);
    for (int i = 0; i < 5; ++i) {
        const HttpResponse response = caller.ask(a_request("/plain/x"));
        CHECK(response.result_int() == 200);
        CHECK(response.body() == "fine");
    }
}

TEST_CASE("proxy: a truncated, invalid or unstamped answer is a 502") {
    const std::vector<std::pair<const char*, std::string>> answers = {
        {"broken off", "HTTP/1.1 200 OK\r\nPostmark: 3e1b\r\nContent-Length: 100\r\n\r\nhalf"},
        {"broken off between chunks",
         "HTTP/1.1 200 OK\r\nPostmark: 3e1b\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
        {"broken off in its head", "HTTP/1.1 200 OK\r\nPostmark: 3e"},
        {"no answer", "not HTTP at all\r\n\r\n"},
        {"not stamped", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"},
        {"encoded",
         "HTTP/1.1 200 OK\r\nPostmark: 3e1b\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nfine"},
        {"full, but without Not-Run", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"},
    };
    for (const auto& [name, text] : answers) {
        CAPTURE(std::string(name));
        Mesh mesh({[&text = text](Wire& wire, const HttpRequest& request, int) {
            const auto line = text.find("\r\n") + 2;
            wire.write(
                text.substr(0, line) +
                (text.starts_with("HTTP") ? "Request-Id: " + std::string(request[kRequestId]) + "\r\n" : "") +
                text.substr(line));
            return false;
        }});
        Caller caller(mesh.endpoint);
        const HttpResponse response = caller.ask(a_request("/registered/x"));
        CHECK(response.result_int() == 502);
        CHECK(response.body().empty());
        CHECK(mesh.seen() == 1);
    }
}

TEST_CASE("proxy: a server error is passed on unchanged, and a registered request is not sent again") {
    Mesh mesh({[](Wire& wire, const HttpRequest& request, int) {
                   return wire.respond(500, "its words", stamped(request)), true;
               },
               [](Wire& wire, const HttpRequest& request, int) {
                   return wire.respond(500, "its words", stamped(request)), true;
               }});
    Caller caller(mesh.endpoint);
    const HttpResponse response = caller.ask(a_request("/registered/x"));
    CHECK(response.result_int() == 500);
    CHECK(response.body() == "its words");
    CHECK(response[kPostmark] == "3e1b");
    CHECK(mesh.seen() == 1);
}

TEST_CASE(
    "proxy: if a server closes without answering, a registered request gets 502 and is not sent again") {
    Mesh mesh({break_off, break_off, break_off});
    Caller caller(mesh.endpoint);
    CHECK(caller.ask(a_request("/registered/x", "body")).result_int() == 502);
    CHECK(mesh.seen() == 1);
}

TEST_CASE("proxy: if a server closes without answering, a plain request is sent to another server") {
    std::atomic<int> asked{0};
    const Reply reply = [&](Wire& wire, const HttpRequest& request, int number) {
        return asked++ > 0 && serve(wire, request, number);
    };
    Mesh mesh({reply, reply});
    Caller caller(mesh.endpoint);
    const HttpResponse response = caller.ask(a_request("/plain/x", "body"));
    CHECK(response.result_int() == 200);
    CHECK(mesh.app(0).seen().size() == 1);
    CHECK(mesh.app(1).seen().size() == 1);
    const HttpRequest one = mesh.app(0).seen().at(0), other = mesh.app(1).seen().at(0);
    CHECK(one[kRequestId] == other[kRequestId]);
    CHECK(one.body() == other.body());
    CHECK(one[kInstance] == "i-0");
    CHECK(other[kInstance] == "i-1");
}

TEST_CASE("proxy: a plain request is not sent again beyond the retry budget or its route's tries") {
    {
        Mesh mesh({break_off, break_off, break_off}, 4, true, {{"retry_ratio", 0}, {"retry_slack", 0}});
        Caller caller(mesh.endpoint);
        CHECK(caller.ask(a_request("/plain/x")).result_int() == 502);
        CHECK(mesh.seen() == 1);
    }
    Mesh mesh({break_off, break_off, break_off});
    Caller caller(mesh.endpoint);
    CHECK(caller.ask(a_request("/plain/x")).result_int() == 502);
    CHECK(mesh.seen() == 2);
}

TEST_CASE("proxy: a request refused with Not-Run is sent to another server, also if registered") {
    std::atomic<int> asked{0};
    const Reply reply = [&](Wire& wire, const HttpRequest& request, int number) {
        if (asked++ > 0) return serve(wire, request, number);
        return wire.respond(503, "", "Not-Run: 1\r\n" + stamped(request)), true;
    };
    Mesh mesh({reply, reply});
    Caller caller(mesh.endpoint);
    CHECK(caller.ask(a_request("/registered/x")).result_int() == 200);
    CHECK(mesh.seen() == 2);
}

TEST_CASE("proxy: a request that all servers refuse with Not-Run is refused, with a time to retry") {
    const Reply reply = [](Wire& wire, const HttpRequest& request, int) {
        return wire.respond(503, "", "Not-Run: 1\r\n" + stamped(request)), true;
    };
    Mesh mesh({reply, reply});
    Caller caller(mesh.endpoint);
    const HttpResponse response = caller.ask(a_request("/registered/x"));
    CHECK(response.result_int() == 503);
    CHECK(std::stod("0" + std::string(response[http::field::retry_after])) > 0);
    CHECK(mesh.seen() <= 2);
}

TEST_CASE("proxy: no more requests than the capacity run at once; further ones wait or are refused") {
    constexpr int kCapacity = 2, kRequests = 12;
    std::promise<void> release, full;
    const auto released = release.get_future().share();
    std::atomic<int> at_work{0}, most{0};
    std::atomic<bool> was_full{false};
    Mesh mesh({[&](Wire& wire, const HttpRequest& request, int number) {
                  const int now = ++at_work;
                  for (int before = most; before < now && !most.compare_exchange_weak(before, now);) continue;
                  if (now == kCapacity && !was_full.exchange(true)) full.set_value();
                  released.wait();
                  --at_work;
                  return serve(wire, request, number);
              }},
              kCapacity);
    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < kRequests; ++i) {
        callers.push_back(std::make_unique<Caller>(mesh.endpoint));
        callers.back()->wire.write(a_request("/registered/x"));
    }
    CHECK(mesh.app().wait_for(kCapacity));
    // A request that the server has read may not have been counted yet: if the requests were released now,
    // the first could end before the second is counted.
    CHECK(full.get_future().wait_for(lab::kPatience) == std::future_status::ready);
    mesh.run([&] { CHECK(mesh.server_side().inbound.admission().working() == kCapacity); });
    release.set_value();
    int served = 0;
    for (auto& caller : callers) {
        const HttpResponse response = caller->answer();
        if (response.result_int() == 200) {
            ++served;
        } else {
            CHECK(response.result_int() == 503);
            CHECK(response.count(http::field::retry_after) == 1);
        }
    }
    CHECK(served >= kCapacity);
    CHECK(mesh.seen() == static_cast<std::size_t>(served));
    CHECK(most == kCapacity);
}

TEST_CASE("proxy: a chunked body is forwarded complete") {
    Mesh mesh({serve});
    Caller caller(mesh.endpoint);
    const std::string large(100000, 'z');
    caller.wire.write(
        "POST /registered/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: 9c41\r\nDeadline-Ms: 2500\r\n"
        "Transfer-Encoding: chunked\r\n\r\n6\r\nhello \r\n");
    CHECK(caller.ask("5;x=y\r\nworld\r\n186a0\r\n" + large + "\r\n0\r\n\r\n").result_int() == 200);
    REQUIRE(mesh.seen() == 1);
    CHECK(mesh.app().seen().at(0).body() == "hello world" + large);
}

TEST_CASE("proxy: a request without a route gets 404, and the connection stays open") {
    Mesh mesh({serve});
    Caller caller(mesh.endpoint);
    CHECK(caller.ask(a_request("/other/x")).result_int() == 404);
    CHECK(caller.ask(a_request("/plain")).result_int() == 404);  // prefixes end with a slash
    std::string elsewhere = a_request("/plain/x");
    elsewhere.replace(elsewhere.find("shop.example"), 12, "shup.example");
    CHECK(caller.ask(elsewhere).result_int() == 404);
    CHECK(mesh.seen() == 0);
    CHECK(caller.ask(a_request("/plain/x")).result_int() == 200);
}

TEST_CASE("proxy: a request that arrives before the configuration waits for it") {
    Mesh mesh({serve}, 4, false);
    Caller caller(mesh.endpoint), lost(mesh.endpoint);
    caller.wire.write(a_request("/registered/x"));
    lost.wire.write(a_request("/other/x"));
    mesh.run([] {});
    mesh.configure();
    CHECK(caller.answer().result_int() == 200);
    CHECK(lost.answer().result_int() == 404);
    CHECK(mesh.seen() == 1);
}

TEST_CASE("proxy: if no configuration arrives, requests get 503 with a time to retry") {
    Mesh mesh({serve}, 4, false);
    Caller caller(mesh.endpoint);
    for (int i = 0; i < 2; ++i) {  // the first waits in vain, the second arrives after that time
        const HttpResponse response = caller.ask(a_request("/registered/x"));
        CHECK(response.result_int() == 503);
        CHECK(std::stod("0" + std::string(response[http::field::retry_after])) > 0);
    }
    CHECK(mesh.seen() == 0);
}

TEST_CASE(
    "proxy: ambiguous framing that could hide a second request is a 400, and nothing reaches a server") {
    const std::string head =
        "POST /plain/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: 9c41\r\nDeadline-Ms: 2500\r\n";
    const std::string hidden =
        "0\r\n\r\nGET /plain/hidden HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: 9c42\r\n\r\n";
    for (const std::string& framing :
         {"Content-Length: " + std::to_string(hidden.size()) + "\r\nTransfer-Encoding: chunked\r\n",
          std::string("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"),
          std::string("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"),
          std::string("Transfer-Encoding: chunked, identity\r\n"), std::string("Transfer-Encoding: gzip\r\n"),
          std::string("Content-Length: 5\r\nContent-Length: 6\r\n"), std::string("Content-Length: 5, 5\r\n"),
          std::string("Content-Length: +5\r\n")}) {
        CAPTURE(framing);
        Mesh mesh({serve});
        Caller caller(mesh.endpoint);
        CHECK(caller.ask(head + framing + "\r\n" + hidden).result_int() == 400);
        CHECK(mesh.seen() == 0);
    }
}

TEST_CASE("proxy: a request without a single id or with an invalid deadline is a 400") {
    Mesh mesh({serve});
    for (const char* fields : {"", "Request-Id: \r\n", "Request-Id: a\r\nRequest-Id: b\r\n",
                               "Request-Id: a\r\nDeadline-Ms: soon\r\n",
                               "Request-Id: a\r\nDeadline-Ms: 5\r\nDeadline-Ms: 6\r\n"}) {
        CAPTURE(std::string(fields));
        Caller caller(mesh.endpoint);
        CHECK(caller.ask("GET /plain/x HTTP/1.1\r\nHost: shop.example\r\n" + std::string(fields) + "\r\n")
                  .result_int() == 400);
    }
    CHECK(mesh.seen() == 0);
}

TEST_CASE("proxy: at the end of the grace time requests that may have run are answered with a failure") {
    std::promise<void> release;
    const auto released = release.get_future().share();
    Mesh mesh({[&](Wire& wire, const HttpRequest& request, int number) {
        released.wait();
        return serve(wire, request, number);
    }});
    std::vector<std::unique_ptr<Caller>> callers;
    for (const char* path : {"/registered/x", "/plain/x"}) {
        callers.push_back(std::make_unique<Caller>(mesh.endpoint));
        callers.back()->wire.write(a_request(path, "", "", "9000"));
    }
    CHECK(mesh.app().wait_for(2));
    mesh.run([&] { mesh.outbound().answer_all(); });
    for (auto& caller : callers) CHECK(caller->answer().result_int() == 504);  // it may have run
    mesh.run([&] { CHECK_FALSE(mesh.outbound().busy()); });
    release.set_value();
}

TEST_CASE("proxy: at the end of the grace time requests that wait for a configuration are refused") {
    Mesh mesh({serve}, 4, false);
    Caller caller(mesh.endpoint);
    caller.wire.write(a_request("/registered/x"));
    mesh.run([] {});
    mesh.run([&] { mesh.outbound().answer_all(); });
    const HttpResponse response = caller.answer();
    CHECK(response.result_int() == 503);
    CHECK(response.count(http::field::retry_after) == 1);
    CHECK(mesh.seen() == 0);
}

TEST_CASE(
    "proxy: a request that completes after a leaving proxy refuses new ones is refused and not forwarded") {
    Mesh mesh({serve});
    Caller caller(mesh.endpoint);
    CHECK(caller.ask(a_request("/registered/x")).result_int() == 200);
    const std::string late = a_request("/registered/x", "a body in two parts");
    caller.wire.write(late.substr(0, late.size() - 5));
    mesh.run([&] { mesh.outbound().refuse_new(); });
    const HttpResponse response = caller.ask(late.substr(late.size() - 5));
    CHECK(response.result_int() == 503);
    CHECK(response.count(http::field::retry_after) == 1);
    CHECK(mesh.seen() == 1);
}

TEST_CASE("proxy: requests that arrive after SIGTERM get no longer deadline than the grace time leaves") {
    Mesh mesh({serve});
    mesh.run([&] { mesh.outbound().leave(Clock().now() + 1000); });
    Caller caller(mesh.endpoint);
    CHECK(caller.ask(a_request("/registered/x", "", "", "4000")).result_int() == 200);
    REQUIRE(mesh.seen() == 1);
    CHECK(parse_ms(mesh.app().seen().at(0)[kDeadline]).value_or(9999) < 1000);
}
