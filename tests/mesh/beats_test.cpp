// The servers' calls as values: what a beat must look like, what is answered, and who hears of it.
#include "proxy/beats.hpp"

#include <doctest/doctest.h>

#include "admission/admission.hpp"

using namespace cobaltshift;
using namespace cobaltshift::proxy;

namespace {

// As `fleetbench wire` prints it.
const std::string kBeat =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"nottingham","edition":"v1","capacity":6,)"
    R"("state":"open","warmup_left_s":0,"call_seq":4})";

struct Desk {
    std::vector<Beat> beats;
    std::vector<std::string> gone;
    Beats resource{{[this](const Beat& beat) { beats.push_back(beat); },
                    [this](const std::string& life) { gone.push_back(life); }}};
    ApiAnswer call(const std::string& method, const std::string& target, const std::string& body = "") {
        int answers = 0;
        ApiAnswer answer;
        REQUIRE(resource.handle({method, target, body, "", ""}, [&](ApiAnswer said) {
            ++answers;
            answer = std::move(said);
        }));
        CHECK(answers == 1);
        return answer;
    }
    bool heard_nothing() const { return beats.empty() && gone.empty(); }
};

std::string with(const std::string& from, const std::string& to) {
    const auto at = kBeat.find(from);
    REQUIRE(at != std::string::npos);
    return std::string(kBeat).replace(at, from.size(), to);
}

}  // namespace

TEST_CASE("beats: the wire's example") {
    Desk desk;
    const ApiAnswer answer = desk.call("PUT", "/api/servers/i-7f3a91c2", kBeat);
    CHECK(answer.status == 200);
    CHECK(answer.body.size() <= 4096);
    REQUIRE(desk.beats.size() == 1);
    const Beat& beat = desk.beats.front();
    CHECK(beat.life == "i-7f3a91c2");
    CHECK(beat.service == "huvo11a");
    CHECK(beat.address == "10.128.0.9:8080");
    CHECK(beat.zone == "nottingham");
    CHECK(beat.edition == "v1");
    CHECK(beat.capacity == 6);
    CHECK_FALSE(beat.closing);
    CHECK(beat.warmup_left_s == 0);
    CHECK(beat.call_seq == 4);
}

TEST_CASE("beats: closing, and what is left of a warm-up") {
    Desk desk;
    desk.call("PUT", "/api/servers/i-1", with("open", "closing"));
    desk.call("PUT", "/api/servers/i-1", with("\"warmup_left_s\":0", "\"warmup_left_s\":2.5"));
    REQUIRE(desk.beats.size() == 2);
    CHECK(desk.beats[0].closing);
    CHECK(desk.beats[1].warmup_left_s == 2.5);
}

TEST_CASE("beats: DELETE says that a life is gone") {
    Desk desk;
    CHECK(desk.call("DELETE", "/api/servers/i-1").status == 200);
    CHECK(desk.gone == std::vector<std::string>{"i-1"});
    CHECK(desk.beats.empty());
}

TEST_CASE("beats: other methods, and paths that name no server, change nothing") {
    Desk desk;
    for (const char* method : {"GET", "POST", "PATCH", "HEAD", "put", ""}) {
        CAPTURE(std::string(method));
        CHECK(desk.call(method, "/api/servers/i-1", kBeat).status == 405);
    }
    for (const char* target : {"/api/servers/", "/api/servers/a/b", "/api/servers/a?b", "/api/servers/a#b"})
        for (const char* method : {"PUT", "DELETE"}) {
            CAPTURE(std::string(target));
            CHECK(desk.call(method, target, kBeat).status == 400);
        }
    CHECK(desk.heard_nothing());
    CHECK_FALSE(desk.resource.handle({"PUT", "/api/config", kBeat, "", ""}, [](ApiAnswer) {}));
    CHECK_FALSE(desk.resource.handle({"PUT", "/api/servers", kBeat, "", ""}, [](ApiAnswer) {}));
}

TEST_CASE("beats: names are 200 characters at the most") {
    Desk desk;
    const std::string most(200, 'n');
    CHECK(desk.call("PUT", "/api/servers/" + most, with("huvo11a", most)).status == 200);
    CHECK(desk.call("PUT", "/api/servers/" + most + "n", kBeat).status == 400);
    CHECK(desk.call("DELETE", "/api/servers/" + most + "n").status == 400);
    for (const char* field : {"huvo11a", "10.128.0.9:8080", "nottingham", "v1"})
        CHECK(desk.call("PUT", "/api/servers/i-1", with(field, most + "n")).status == 400);
    CHECK(desk.beats.size() == 1);
    CHECK(desk.gone.empty());
}

TEST_CASE("beats: what is no JSON object is a 400") {
    Desk desk;
    for (const std::string& body :
         {std::string(), std::string("{"), std::string("[]"), std::string("7"), std::string("null"),
          std::string("\"x\""), kBeat + "x", kBeat + kBeat, kBeat.substr(0, kBeat.size() - 1),
          std::string(10000, '['), std::string("{\"a\":") + std::string(500, '['), std::string("\0\0", 2)}) {
        CAPTURE(body.substr(0, 40));
        const ApiAnswer answer = desk.call("PUT", "/api/servers/i-1", body);
        CHECK(answer.status == 400);
        CHECK(answer.body.find("error") != std::string::npos);
        CHECK(answer.body.size() <= 4096);
    }
    CHECK(desk.heard_nothing());
}

TEST_CASE("beats: fields that are missing or wrong are named") {
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
    Desk desk;
    for (const auto& [field, from, to] : wrong) {
        CAPTURE(std::string(field));
        CAPTURE(std::string(to));
        const ApiAnswer answer = desk.call("PUT", "/api/servers/i-1", with(from, to));
        CHECK(answer.status == 400);
        CHECK(answer.body.find(std::string("\"") + field + ": ") != std::string::npos);
    }
    CHECK(desk.heard_nothing());
}

TEST_CASE("beats: zone, edition, capacity, warm-up and unknown fields may be missing or there") {
    std::string why;
    const auto least = read_beat("i-1", R"({"service":"s","address":"a","state":"open","more":[1]})", why);
    REQUIRE(least);
    CHECK(least->capacity == 1);
    CHECK(least->call_seq == 0);
}

// As the proxy has them: a late one is answered like the others, and changes nothing.
TEST_CASE("beats: a late beat is acknowledged and changes nothing") {
    admission::Admission admission;
    std::vector<bool> taken;
    Beats beats({[&](const Beat& beat) {
                     taken.push_back(admission.beat(beat.life, beat.capacity, beat.closing, beat.call_seq));
                 },
                 [&](const std::string& life) { admission.gone(life); }});
    unsigned status = 0;
    const auto put = [&](const std::string& body) {
        beats.handle({"PUT", "/api/servers/i-1", body, "", ""},
                     [&](ApiAnswer said) { status = said.status; });
        CHECK(status == 200);
    };
    put(with("\"state\":\"open\",\"warmup_left_s\":0,\"call_seq\":4",
             "\"state\":\"closing\",\"warmup_left_s\":0,\"call_seq\":5"));
    put(kBeat);
    CHECK(taken == std::vector<bool>{true, false});
    CHECK(admission.closing());
}

TEST_CASE("beats: ready is said by status alone, to GET alone") {
    bool ready = false;
    Ready resource([&] { return ready; });
    unsigned status = 0;
    const auto done = [&](ApiAnswer said) { status = said.status; };
    CHECK(resource.handle({"GET", "/api/ready", "", "", ""}, done));
    CHECK(status == 503);
    ready = true;
    CHECK(resource.handle({"GET", "/api/ready", "", "", ""}, done));
    CHECK(status == 200);
    CHECK(resource.handle({"POST", "/api/ready", "", "", ""}, done));
    CHECK(status == 405);
    CHECK_FALSE(resource.handle({"GET", "/api/readyx", "", "", ""}, done));
}
