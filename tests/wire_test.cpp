// The codec and the host, on text as the simulator writes it.
#include "wire.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace cobaltshift::wire {
namespace {

const std::string start_line =
    "START who=sidecar-3 entropy=5192284302740068 azs=hall-a,hall-b classes.count=2 "
    "classes.0.credit=3.0 classes.0.dedup-scope=all classes.0.dedup-window-ms=5000.0 "
    "classes.0.effect=repeatable classes.0.give-up-ms=1500.0 classes.0.late-value=0.0 classes.0.name=listen "
    "classes.0.on-time-ms=400.0 classes.1.effect=once classes.1.name=deposit classes.1.on-time-ms=300.0 "
    "fees.cross-zone=0.02 granularity-ms=5.0 limits.max-attempts=4 limits.may-cancel=true "
    "limits.parallel-tries=false membership-mode=pushed my-zone=hall-b rules.cold-from=0.16 "
    "rules.grace-to-answer-ms=20.0 rules.warm-within-ms=20000.0 some.future-setting=7\n";
const std::string catalog =
    "CATALOG ref=0 items=2\n"
    "M server=server_a rack-zone=hall-a kind=standard-4 pod=0 phase=on units=1\n"
    "M server=server_b rack-zone=hall-b kind=standard-4 pod=0 phase=on units=1.5\n";
const std::string saved = "PEERS_KNOWN who=sidecar-3 ref=0 index=41 mode=SAVED\n";
const std::string accept = "ACCEPT who=sidecar-3 rid=r-1 effort-ms=12.0 grade=listen time-left-ms=240.0\n";
const std::string end_of_batch = "OVER_TO_YOU\n";

std::string mark(int frame, double now = 1000) {
    return "MARK now-ms=" + std::to_string(now) + " frame=" + std::to_string(frame) + "\n";
}

struct HostResult {
    int status;
    std::string out, err;
};
HostResult run(const std::string& input) {
    std::istringstream in(input);
    std::ostringstream out, err;
    const int status = Host(in, out, err).run();
    return {status, out.str(), err.str()};
}
const std::string opening = mark(1) + start_line + catalog + saved + end_of_batch;

TEST(Host, EmptyBatchAndEndOfInput) {
    const HostResult r = run(mark(1) + end_of_batch);
    EXPECT_EQ(r.status, 0);
    EXPECT_EQ(r.out, "END frame=1\n");
    EXPECT_EQ(run("").status, 0);
}

TEST(Host, RequestIsDispatchedWithATimer) {
    const HostResult r = run(opening + mark(2, 1010) + accept + end_of_batch);
    EXPECT_EQ(r.status, 0) << r.err;
    EXPECT_NE(r.out.find("DISPATCH who=sidecar-3 rid=r-1 server=server_"), std::string::npos) << r.out;
    EXPECT_NE(r.out.find("AFTER who=sidecar-3 at-ms=1250.000 nonce="), std::string::npos) << r.out;
    EXPECT_NE(r.out.find("END frame=2\n"), std::string::npos);
}

TEST(Host, FailedAttemptIsRetriedAtAnotherServer) {
    const HostResult first = run(opening + mark(2, 1010) + accept + end_of_batch);
    const bool a = first.out.find("server=server_a") != std::string::npos;
    const std::string sent = a ? "server_a" : "server_b", other = a ? "server_b" : "server_a";
    const HostResult r =
        run(opening + mark(2, 1010) + accept + end_of_batch + mark(3, 1020) +
            "VERDICT who=sidecar-3 rid=r-1 server=" + sent +
            " duration-ms=10 rc=refused_conn hop=0 metrics=active:3,cpu:0.5\n" + end_of_batch);
    EXPECT_NE(r.out.find("DISPATCH who=sidecar-3 rid=r-1 server=" + other), std::string::npos) << r.out;
}

TEST(Host, CatalogNumberMayBeReusedWithinABatch) {
    const std::string second = "CATALOG ref=0 items=1\nM server=server_c rack-zone=hall-a pod=0 phase=on\n";
    const HostResult r = run(mark(1) + start_line + catalog + saved + second +
                             "PEERS_KNOWN who=sidecar-3 ref=0 index=42 mode=FULL\n" + accept + end_of_batch);
    EXPECT_EQ(r.status, 0) << r.err;
    EXPECT_NE(r.out.find("server=server_c"), std::string::npos) << r.out;
}

TEST(Host, RestartWithinABatchClearsTheInstance) {
    const HostResult r = run(opening + mark(2) + accept + "POWER_OFF who=sidecar-3\n" + start_line + saved +
                             accept + end_of_batch);
    EXPECT_EQ(r.status, 0) << r.err;
}

TEST(Host, InstancesAreSeparate) {
    std::string other = start_line;
    other.replace(other.find("sidecar-3"), 9, "sidecar-9");
    const HostResult r = run(mark(1) + start_line + other + catalog + saved + end_of_batch + mark(2) +
                             "ACCEPT who=sidecar-9 rid=r-9 grade=listen time-left-ms=240\n" + end_of_batch);
    EXPECT_EQ(r.status, 0);
    EXPECT_EQ(r.out.find("DISPATCH"), std::string::npos) << "sidecar-9 has received no list";
}

TEST(Host, StaleEventsAndUnknownKindsAreSkipped) {
    const HostResult r =
        run(opening + mark(2) + "EXPIRED who=sidecar-3 rid=never\n" +
            "VERDICT who=sidecar-3 rid=never server=server_a rc=completed hop=0 terminal=1\n" +
            "TICK_DUE who=sidecar-3 nonce=77\nHEALTH who=sidecar-3 server=server_a rc=completed\n" +
            "MEMO who=sidecar-3 src-peer=2 msg=-\nNOVELTY who=sidecar-3 x=1\nNOVELTY x=2\n" + end_of_batch);
    EXPECT_EQ(r.status, 0) << r.err;
    EXPECT_EQ(r.err.find("NOVELTY"), r.err.rfind("NOVELTY")) << "reported only once";
    EXPECT_NE(r.err.find("NOVELTY"), std::string::npos);
}

TEST(Host, MalformedInputIsReportedInOneLineWithItsPlace) {
    const auto error_of = [](const std::string& text) {
        const HostResult r = run(text);
        EXPECT_NE(r.status, 0) << text;
        EXPECT_EQ(std::count(r.err.begin(), r.err.end(), '\n'), 1) << r.err;
        return r.err;
    };
    const auto expect_contains = [](const std::string& text, const std::string& part) {
        EXPECT_NE(text.find(part), std::string::npos) << text;
    };
    expect_contains(
        error_of(opening + mark(2) + "ACCEPT who=sidecar-3 rid=r-1 grade=listen\n" + end_of_batch),
        "line 9: ACCEPT: field 'time-left-ms'");
    expect_contains(error_of(opening + mark(2) +
                             "ACCEPT who=sidecar-3 rid=r grade=listen time-left-ms=abc\n" + end_of_batch),
                    "'time-left-ms'");
    expect_contains(error_of(opening + mark(2) + "ACCEPT who=sidecar-8 rid=r grade=listen time-left-ms=1\n" +
                             end_of_batch),
                    "'who'");
    expect_contains(error_of(mark(1) + "CATALOG ref=0 items=2\nM server=a phase=on\n" + end_of_batch),
                    "'items'");
    expect_contains(error_of(mark(1) + "CATALOG ref=16 items=0\n" + end_of_batch), "'ref'");
    expect_contains(error_of(opening + mark(2) + accept), "OVER_TO_YOU");
    expect_contains(error_of(opening + mark(2) + "TICK_DUE who=sidecar-3 nonce=-4\n" + end_of_batch),
                    "'nonce'");
    expect_contains(error_of(opening + mark(2) +
                             "VERDICT who=sidecar-3 rid=r-1 server=server_a hop=0 rc=odd\n" + end_of_batch),
                    "'rc'");
    expect_contains(error_of(opening + mark(2) + "MEMO who=sidecar-3 src-peer=1 msg=abc\n" + end_of_batch),
                    "'msg'");
    expect_contains(error_of("OVER_TO_YOU\n"), "MARK");
}

TEST(Host, InvalidSettingsAreReportedAsAFault) {
    std::string bad = start_line;
    bad.replace(bad.find("rules.cold-from=0.16"), 20, "rules.cold-from=1.60");
    const HostResult r = run(mark(1) + bad + end_of_batch);
    EXPECT_NE(r.out.find("FAULT who=sidecar-3 words="), std::string::npos) << r.out;
    EXPECT_NE(r.out.find("cold_from"), std::string::npos) << r.out;
}

TEST(Codec, SettingsAreRead) {
    const StartConfig config =
        read_start(Message(std::string_view(start_line).substr(0, start_line.size() - 1), 1));
    EXPECT_EQ(config.settings.classes.size(), 2U);
    EXPECT_EQ(config.settings.classes[1].effect, Effect::once);
    EXPECT_EQ(config.settings.classes[0].latency_target, 400);
    EXPECT_EQ(config.settings.my_zone, ZoneId{1});
    EXPECT_EQ(config.settings.cold_capacity, 0.16);
    EXPECT_EQ(config.settings.fees.cross_zone, 0.02);
    EXPECT_FALSE(config.settings.subscribe_to_list);
    EXPECT_EQ(config.classes[1], "deposit");
}

TEST(Codec, BytesRoundTrip) {
    EXPECT_EQ(read_bytes(Message("MEMO msg=68692037", 1), "msg"),
              (std::vector<std::uint8_t>{0x68, 0x69, 0x20, 0x37}));
    EXPECT_TRUE(read_bytes(Message("MEMO msg=-", 1), "msg").empty());
}

TEST(Host, MegabyteLongBatchIsAnswered) {
    std::string batch = opening + mark(2);
    for (int i = 0; i < 20000; ++i)
        batch += "ACCEPT who=sidecar-3 rid=long-" + std::to_string(i) + " grade=deposit time-left-ms=500\n";
    const HostResult r = run(batch + end_of_batch + mark(3, 9000) + end_of_batch);
    EXPECT_EQ(r.status, 0);
    EXPECT_NE(r.out.find("END frame=3\n"), std::string::npos);
}

TEST(Codec, PermissionsArePassedOn) {
    const std::string line =
        "START who=s classes.count=1 classes.0.effect=once classes.0.name=a "
        "classes.0.on-time-ms=300 my-number=4 siblings=9 limits.may-probe=true ";
    const std::string with_tell = line + "limits.may-tell=true";
    const StartConfig config = read_start(Message(with_tell, 1));
    EXPECT_TRUE(config.settings.may_probe);
    EXPECT_TRUE(config.settings.may_message_peers);
    EXPECT_EQ(config.settings.sidecar_index, 4U);
    EXPECT_EQ(config.settings.sidecar_count, 9U);
    EXPECT_FALSE(read_start(Message(line, 1)).settings.may_message_peers) << "not permitted by default";
}

}  // namespace
}  // namespace cobaltshift::wire
