// The HTTP resources for heartbeats and readiness without sockets: which heartbeats are valid, what is
// answered and which handler is called.
#include "proxy/heartbeat_resource.hpp"

#include <doctest/doctest.h>

#include "admission/admission.hpp"

using namespace cobaltshift;
using namespace cobaltshift::proxy;

namespace {

// The example of the platform's wire description (`fleetbench wire`).
const std::string kHeartbeatJson =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"nottingham","edition":"v1","capacity":6,)"
    R"("state":"open","warmup_left_s":0,"call_seq":4})";

struct Fixture {
    std::vector<Heartbeat> beats;
    std::vector<std::string> gone;
    HeartbeatResource resource{{[this](const Heartbeat& heartbeat) { beats.push_back(heartbeat); },
                                [this](const std::string& instance_id) { gone.push_back(instance_id); }}};
    ApiAnswer call(const std::string& method, const std::string& target, const std::string& body = "") {
        int answers = 0;
        ApiAnswer answer;
        REQUIRE(resource.handle({method, target, body, "", ""}, [&](ApiAnswer response) {
            ++answers;
            answer = std::move(response);
        }));
        CHECK(answers == 1);
        return answer;
    }
    bool nothing_received() const { return beats.empty() && gone.empty(); }
};

std::string with(const std::string& from, const std::string& to) {
    const auto at = kHeartbeatJson.find(from);
    REQUIRE(at != std::string::npos);
    return std::string(kHeartbeatJson).replace(at, from.size(), to);
}

}  // namespace

TEST_CASE("heartbeats: the example of the wire description") {
    Fixture fixture;
    const ApiAnswer answer = fixture.call("PUT", "/api/servers/i-7f3a91c2", kHeartbeatJson);
    CHECK(answer.status == 200);
    CHECK(answer.body.size() <= 4096);
    REQUIRE(fixture.beats.size() == 1);
    const Heartbeat& heartbeat = fixture.beats.front();
    CHECK(heartbeat.instance_id == "i-7f3a91c2");
    CHECK(heartbeat.service == "huvo11a");
    CHECK(heartbeat.address == "10.128.0.9:8080");
    CHECK(heartbeat.zone == "nottingham");
    CHECK(heartbeat.edition == "v1");
    CHECK(heartbeat.capacity == 6);
    CHECK_FALSE(heartbeat.closing);
    CHECK(heartbeat.warmup_left_s == 0);
    CHECK(heartbeat.call_seq == 4);
}

TEST_CASE("heartbeats: closing state and remaining warm-up") {
    Fixture fixture;
    fixture.call("PUT", "/api/servers/i-1", with("open", "closing"));
    fixture.call("PUT", "/api/servers/i-1", with("\"warmup_left_s\":0", "\"warmup_left_s\":2.5"));
    REQUIRE(fixture.beats.size() == 2);
    CHECK(fixture.beats[0].closing);
    CHECK(fixture.beats[1].warmup_left_s == 2.5);
}

TEST_CASE("heartbeats: DELETE deregisters an instance") {
    Fixture fixture;
    CHECK(fixture.call("DELETE", "/api/servers/i-1").status == 200);
    CHECK(fixture.gone == std::vector<std::string>{"i-1"});
    CHECK(fixture.beats.empty());
}

TEST_CASE("heartbeats: other methods and paths that name no server change nothing") {
    Fixture fixture;
    for (const char* method : {"GET", "POST", "PATCH", "HEAD", "put", ""}) {
        CAPTURE(std::string(method));
        CHECK(fixture.call(method, "/api/servers/i-1", kHeartbeatJson).status == 405);
    }
    for (const char* target : {"/api/servers/", "/api/servers/a/b", "/api/servers/a?b", "/api/servers/a#b"})
        for (const char* method : {"PUT", "DELETE"}) {
            CAPTURE(std::string(target));
            CHECK(fixture.call(method, target, kHeartbeatJson).status == 400);
        }
    CHECK(fixture.nothing_received());
    CHECK_FALSE(fixture.resource.handle({"PUT", "/api/config", kHeartbeatJson, "", ""}, [](ApiAnswer) {}));
    CHECK_FALSE(fixture.resource.handle({"PUT", "/api/servers", kHeartbeatJson, "", ""}, [](ApiAnswer) {}));
}

TEST_CASE("heartbeats: names have at most 200 characters") {
    Fixture fixture;
    const std::string most(200, 'n');
    CHECK(fixture.call("PUT", "/api/servers/" + most, with("huvo11a", most)).status == 200);
    CHECK(fixture.call("PUT", "/api/servers/" + most + "n", kHeartbeatJson).status == 400);
    CHECK(fixture.call("DELETE", "/api/servers/" + most + "n").status == 400);
    for (const char* field : {"huvo11a", "10.128.0.9:8080", "nottingham", "v1"})
        CHECK(fixture.call("PUT", "/api/servers/i-1", with(field, most + "n")).status == 400);
    CHECK(fixture.beats.size() == 1);
    CHECK(fixture.gone.empty());
}

TEST_CASE("heartbeats: a body that is not one JSON object is a 400") {
    Fixture fixture;
    for (const std::string& body :
         {std::string(), std::string("{"), std::string("[]"), std::string("7"), std::string("null"),
          std::string("\"x\""), kHeartbeatJson + "x", kHeartbeatJson + kHeartbeatJson,
          kHeartbeatJson.substr(0, kHeartbeatJson.size() - 1), std::string(10000, '['),
          std::string("{\"a\":") + std::string(500, '['), std::string("\0\0", 2)}) {
        CAPTURE(body.substr(0, 40));
        const ApiAnswer answer = fixture.call("PUT", "/api/servers/i-1", body);
        CHECK(answer.status == 400);
        CHECK(answer.body.find("error") != std::string::npos);
        CHECK(answer.body.size() <= 4096);
    }
    CHECK(fixture.nothing_received());
}

TEST_CASE("heartbeats: the answer names a missing or invalid field") {
    const std::vector<std::tuple<const char*, const char*, const char*>> wrong = {
        {"service", "\"service\":\"huvo11a\",", ""},
        {"service", "\"huvo11a\"", "7"},
        {"service", "\"huvo11a\"", "\"\""},
        {"address", "\"address\":\"10.128.0.9:8080\",", ""},
        {"address", "\"10.128.0.9:8080\"", "[]"},
        {"zone", "\"nottingham\"", "7"},
        {"edition", "\"v1\"", "{}"},
        {"state", "\"state\":\"open\",", ""},
        {"state", "\"open\"", "true"},
        {"state", "\"open\"", "\"Open\""},
        {"state", "\"open\"", "\"gone\""},
        {"capacity", "\"capacity\":6", "\"capacity\":\"6\""},
        {"capacity", "\"capacity\":6", "\"capacity\":-1"},
        {"capacity", "\"capacity\":6", "\"capacity\":1e300"},
        {"capacity", "\"capacity\":6", "\"capacity\":true"},
        {"warmup_left_s", "\"warmup_left_s\":0", "\"warmup_left_s\":-0.5"},
        {"call_seq", "\"call_seq\":4", "\"call_seq\":\"4\""},
        {"call_seq", "\"call_seq\":4", "\"call_seq\":-4"},
    };
    Fixture fixture;
    for (const auto& [field, from, to] : wrong) {
        CAPTURE(std::string(field));
        CAPTURE(std::string(to));
        const ApiAnswer answer = fixture.call("PUT", "/api/servers/i-1", with(from, to));
        CHECK(answer.status == 400);
        CHECK(answer.body.find(std::string("\"") + field + ": ") != std::string::npos);
    }
    CHECK(fixture.nothing_received());
}

TEST_CASE("heartbeats: optional fields may be missing, unknown fields are ignored") {
    std::string error_text;
    const auto least =
        parse_heartbeat("i-1", R"({"service":"s","address":"a","state":"open","more":[1]})", error_text);
    REQUIRE(least);
    CHECK(least->capacity == 1);
    CHECK(least->call_seq == 0);
}

// Connected to an Admission as in the proxy.
TEST_CASE("heartbeats: a late heartbeat is acknowledged and changes nothing") {
    admission::Admission admission;
    std::vector<bool> taken;
    HeartbeatResource beats(
        {[&](const Heartbeat& heartbeat) {
             taken.push_back(admission.on_heartbeat(heartbeat.instance_id, heartbeat.capacity,
                                                    heartbeat.closing, heartbeat.call_seq));
         },
         [&](const std::string& instance_id) { admission.on_deregistered(instance_id); }});
    unsigned status = 0;
    const auto put = [&](const std::string& body) {
        beats.handle({"PUT", "/api/servers/i-1", body, "", ""},
                     [&](ApiAnswer response) { status = response.status; });
        CHECK(status == 200);
    };
    put(with("\"state\":\"open\",\"warmup_left_s\":0,\"call_seq\":4",
             "\"state\":\"closing\",\"warmup_left_s\":0,\"call_seq\":5"));
    put(kHeartbeatJson);
    CHECK(taken == std::vector<bool>{true, false});
    CHECK(admission.closing());
}

TEST_CASE("readiness: reported by the status alone, for GET alone") {
    bool ready = false;
    ReadinessResource resource([&] { return ready; });
    unsigned status = 0;
    const auto done = [&](ApiAnswer response) { status = response.status; };
    CHECK(resource.handle({"GET", "/api/ready", "", "", ""}, done));
    CHECK(status == 503);
    ready = true;
    CHECK(resource.handle({"GET", "/api/ready", "", "", ""}, done));
    CHECK(status == 200);
    CHECK(resource.handle({"POST", "/api/ready", "", "", ""}, done));
    CHECK(status == 405);
    CHECK_FALSE(resource.handle({"GET", "/api/readyx", "", "", ""}, done));
}
