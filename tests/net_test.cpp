// Tests of the sidecar over loopback sockets, from the point of view of clients, servers and discovery.
#include <sys/resource.h>

#include <fstream>

#include "net_rig.hpp"

namespace cobaltshift {
namespace {

using std::chrono::steady_clock;

double seconds_since(steady_clock::time_point start) {
    return std::chrono::duration<double>(steady_clock::now() - start).count();
}

TEST(Serving, ForwardsUnchangedAndReusesConnections) {
    FakeServer server;
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    App app(sidecar.at);
    for (int i = 0; i < 3; ++i) {
        const HttpResponse response =
            app.ask(App::request("annotate", "25000m", "two words", "X-Other: kept\r\n"));
        EXPECT_EQ(response.result_int(), 200u);
        EXPECT_EQ(response.body(), "fine");
        EXPECT_TRUE(response.keep_alive());
        std::this_thread::sleep_for(
            std::chrono::milliseconds(20));  // longer than the settle time of a connection
    }
    EXPECT_EQ(server.connections(), 1);
    const HttpRequest seen = server.seen().at(0);
    EXPECT_EQ(seen.method(), http::verb::post);
    EXPECT_EQ(seen.target(), "/annotate?sid=7f");
    EXPECT_EQ(seen.body(), "two words");
    EXPECT_EQ(seen["X-Correlation-Id"].substr(0, 4), "9b1f");
    EXPECT_EQ(seen["Idempotency-Key"], "5c0f");
    EXPECT_EQ(seen["X-Other"], "kept");
    const std::string left(seen["X-Time-Left"]);
    EXPECT_EQ(left.back(), 'u');
    EXPECT_LT(std::stoll(left), 25000000);
    EXPECT_GT(std::stoll(left), 0);
}

// Servers deduplicate by the idempotency key. A client must not be able to remove it by naming it in
// Connection.
TEST(Serving, ConnectionHeaderCannotRemoveTheIdempotencyKey) {
    FakeServer server;
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    App app(sidecar.at);
    app.ask(App::request("annotate", "25000m", "x", "X-Hop: 1\r\nConnection: Idempotency-Key, X-Hop\r\n"));
    EXPECT_EQ(server.seen().at(0)["Idempotency-Key"], "5c0f");
    EXPECT_EQ(server.seen().at(0).count("X-Hop"), 0u);
}

TEST(Serving, ReadyOnlyWithAServerList) {
    FakeDiscovery discovery;
    json config = a_config(discovery.at(), {});
    config.erase("known");
    SidecarThread sidecar(config);
    App app(sidecar.at);
    const std::string health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    EXPECT_EQ(app.ask(health).result_int(), 503u);
    discovery.say(1, true, {host("s1", kNowhere)});
    discovery.wait_for(2);
    const auto start = steady_clock::now();
    while (app.ask(health).result_int() != 200u) ASSERT_LT(seconds_since(start), 30);
}

// ---- Tenants ---------------------------------------------------------------------------------------------

TEST(Tenants, ATenantOverItsQuotaIsRefusedWhileOthersAreServed) {
    std::promise<void> release;
    const auto released = release.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int number) {
        // A quarter of the latency target: with one request running, a second one is accepted only from a
        // tenant within its quota.
        if (number < 3) std::this_thread::sleep_for(std::chrono::milliseconds(500));
        if (number > 3) released.wait();
        return wire.respond(200, "fine"), true;
    });
    json config = a_config(kNowhere, {host("s1", server.at())});
    for (json& kind : config["settings"]["classes"]) kind["on-time-ms"] = 2000;
    config["settings"]["tenants"] = {{{"name", "acme"}, {"quota-per-s", 0.0001}}, {{"name", "other"}}};
    config["settings"]["over-share-worth"] = 0.2;
    SidecarThread sidecar(config);
    App app(sidecar.at), first(sidecar.at), second(sidecar.at);
    const auto from = [](const char* tenant) {
        return App::request("deposit", "25000m", "x", std::string("X-Account: ") + tenant + "\r\n");
    };
    for (int i = 0; i < 3; ++i) EXPECT_EQ(app.ask(from("other")).result_int(), 200u);
    EXPECT_EQ(app.ask(from("acme")).result_int(), 200u) << "an idle server accepts it";
    first.wire.write(from("other"));
    ASSERT_TRUE(server.wait_for(5));
    EXPECT_EQ(app.ask(from("acme")).result_int(), 503u);
    second.wire.write(from("other"));
    ASSERT_TRUE(server.wait_for(6));
    release.set_value();
    EXPECT_EQ(first.answer().result_int(), 200u);
    EXPECT_EQ(second.answer().result_int(), 200u);
}

TEST(Tenants, QuotasAreParsedAndErrorsNameTheField) {
    json config = a_config(kNowhere, {});
    config["settings"]["tenants"] = {{{"name", "acme"}, {"quota-per-s", 12.5}}, {{"name", "other"}}};
    config["settings"]["over-share-worth"] = 0.2;
    config["settings"]["fees"] = {{"peer", 0.01}};
    config["settings"]["classes"][0]["late-value"] = 0.5;
    const Config read = read_config(config);
    EXPECT_EQ(read.tenants, (std::vector<std::string>{"acme", "other"}));
    EXPECT_EQ(read.settings.tenants.at(0).quota_per_s, 12.5);
    EXPECT_EQ(read.settings.tenants.at(1).quota_per_s, 0);
    EXPECT_EQ(read.settings.over_quota_worth, 0.2);
    EXPECT_EQ(read.settings.fees.peer, 0.01);
    EXPECT_EQ(read.settings.classes.at(0).late_worth, 0.5);
    const auto error_of = [&](const char* path, json value) {
        json wrong = config;
        wrong["settings"][json::json_pointer(path)] = std::move(value);
        try {
            read_config(wrong);
        } catch (const ConfigError& error) {
            return std::string(error.what());
        }
        return std::string("none");
    };
    EXPECT_NE(error_of("/tenants/0/quota-per-s", -1).find("tenants[0].quota-per-s"), std::string::npos);
    EXPECT_NE(error_of("/tenants/1/name", 7).find("tenants[1].name"), std::string::npos);
    EXPECT_NE(error_of("/tenants", 7).find("tenants"), std::string::npos);
    EXPECT_NE(error_of("/over-share-worth", 3).find("over_share_worth"), std::string::npos);
    EXPECT_NE(error_of("/fees/peer", "x").find("fees.peer"), std::string::npos);
}

// ---- Outcomes of attempts --------------------------------------------------------------------------------

struct AttemptEnd {
    const char* name;
    const char* request_class;
    FakeServer::Reply first;  // the server's first reply; later requests are served normally
    unsigned status;
    std::size_t requests;
};
void PrintTo(const AttemptEnd& end, std::ostream* out) { *out << end.name; }

class AttemptEnds : public testing::TestWithParam<AttemptEnd> {};

// Whether a failed attempt is repeated. A request of a class that must not run twice may be sent again only
// if it is certain that the first attempt did not run.
TEST_P(AttemptEnds, RetryOnlyIfSafe) {
    const AttemptEnd& end = GetParam();
    FakeServer server([&](Wire& wire, const HttpRequest& request, int number) {
        if (number == 0) return end.first(wire, request, number);
        wire.respond(200, "fine");
        return true;
    });
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    App app(sidecar.at);
    EXPECT_EQ(app.ask(App::request(end.request_class)).result_int(), end.status);
    EXPECT_EQ(server.seen().size(), end.requests);
    // Surplus data of the first reply must not answer the next request.
    const HttpResponse next = app.ask(App::request("deposit"));
    EXPECT_EQ(next.result_int(), 200u);
    EXPECT_EQ(next.body(), "fine");
    EXPECT_EQ(server.seen().size(), end.requests + 1);
}

const FakeServer::Reply kError = [](Wire& w, const HttpRequest&, int) { return w.respond(500), true; };
const FakeServer::Reply kPlain503 = [](Wire& w, const HttpRequest&, int) { return w.respond(503), true; };
const FakeServer::Reply kUnprocessed503 = [](Wire& w, const HttpRequest&, int) {
    return w.respond(503, "", "X-Unprocessed: 1\r\n"), true;
};
const FakeServer::Reply kReset = [](Wire& w, const HttpRequest&, int) { return w.reset(), false; };
const FakeServer::Reply kCutShort = [](Wire& w, const HttpRequest&, int) {
    return w.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha"), false;
};
const FakeServer::Reply kNoLength = [](Wire& w, const HttpRequest&, int) {
    return w.write("HTTP/1.1 200 OK\r\n\r\nwhole?"), false;
};
const FakeServer::Reply kNoise = [](Wire& w, const HttpRequest&, int) {
    return w.write("\x01\x02 noise\r\n\r\n"), true;
};
const FakeServer::Reply kContinue = [](Wire& w, const HttpRequest&, int) {
    w.write("HTTP/1.1 100 Continue\r\n\r\n");
    return w.respond(200, "fine"), true;
};

FakeServer::Reply replies(const std::string& text) {
    return [text](Wire& w, const HttpRequest&, int) { return w.write(text), true; };
}
// Sent in complete lines until the sidecar closes the connection.
const FakeServer::Reply kEndlessHead = [](Wire& w, const HttpRequest&, int) {
    const std::string lines = "X-Pad: pppppppppppppppppppppppp\r\nX-Pad: pppppppppppppppppppppppp\r\n";
    error_code ec;
    asio::write(w.socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n")), ec);
    for (int i = 0; i < 1000000 && !ec; ++i) asio::write(w.socket, asio::buffer(lines), ec);
    EXPECT_TRUE(ec) << "the answer would be read without end";
    return false;
};
const FakeServer::Reply kEndlessBody = [](Wire& w, const HttpRequest&, int) {
    error_code ec;
    asio::write(w.socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")),
                ec);
    const std::string part(65536, 'x');
    for (int i = 0; i < 10000 && !ec; ++i) asio::write(w.socket, asio::buffer(part), ec);
    EXPECT_TRUE(ec) << "the answer would be read without end";
    return false;
};
const FakeServer::Reply kEndlessInterim = [](Wire& w, const HttpRequest&, int) {
    error_code ec;
    for (int i = 0; i < 1000000 && !ec; ++i)
        asio::write(w.socket, asio::buffer(std::string("HTTP/1.1 102 Processing\r\n\r\n")), ec);
    EXPECT_TRUE(ec) << "the answer would be read without end";
    return false;
};
const std::string kFine = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine";

// Requests with a malformed answer may have run. An answer followed by surplus data is valid. In both cases
// the connection must not be reused.
INSTANTIATE_TEST_SUITE_P(
    Malformed, AttemptEnds,
    testing::Values(
        AttemptEnd{"endless_head", "deposit", kEndlessHead, 502, 1},
        AttemptEnd{"endless_body", "deposit", kEndlessBody, 502, 1},
        AttemptEnd{"endless_interim", "deposit", kEndlessInterim, 502, 1},
        AttemptEnd{"status_word", "deposit", replies("HTTP/1.1 OK 200\r\nContent-Length: 4\r\n\r\nfine"), 502,
                   1},
        AttemptEnd{"other_protocol", "deposit", replies("ICY 200 OK\r\nContent-Length: 4\r\n\r\nfine"), 502,
                   1},
        AttemptEnd{"no_colon", "deposit",
                   replies("HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 4\r\n\r\nfine"), 502, 1},
        AttemptEnd{"two_lengths", "deposit",
                   replies("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nfine"), 502, 1},
        AttemptEnd{"negative_length", "deposit", replies("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nfine"),
                   502, 1},
        AttemptEnd{"bad_chunk", "deposit",
                   replies("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\nzz\r\n"), 502,
                   1},
        AttemptEnd{"switching", "deposit", replies("HTTP/1.1 101 Switching Protocols\r\n\r\n"), 502, 1},
        AttemptEnd{"malformed_repeatable", "listen", replies("ICY 200 OK\r\n\r\n"), 200, 2},
        AttemptEnd{
            "interim_ahead", "deposit",
            replies("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + kFine),
            200, 1},
        AttemptEnd{"unreadable_report", "deposit",
                   replies("HTTP/1.1 200 OK\r\nX-Backend-Load: {\"\r\nContent-Length: 4\r\n\r\nfine"), 200,
                   1},
        AttemptEnd{"second_copy", "deposit", replies(kFine + kFine), 200, 1},
        AttemptEnd{"noise_behind", "deposit", replies(kFine + "\x01\x02 noise"), 200, 1}),
    [](const auto& info) { return info.param.name; });

INSTANTIATE_TEST_SUITE_P(All, AttemptEnds,
                         testing::Values(AttemptEnd{"error_repeatable", "listen", kError, 200, 2},
                                         AttemptEnd{"error_once", "deposit", kError, 502, 1},
                                         AttemptEnd{"error_keyed", "annotate", kError, 200, 2},
                                         AttemptEnd{"plain503_once", "deposit", kPlain503, 502, 1},
                                         AttemptEnd{"unprocessed_repeatable", "listen", kUnprocessed503, 200,
                                                    2},
                                         AttemptEnd{"unprocessed_once", "deposit", kUnprocessed503, 200, 2},
                                         AttemptEnd{"reset_repeatable", "listen", kReset, 200, 2},
                                         AttemptEnd{"reset_once", "deposit", kReset, 502, 1},
                                         AttemptEnd{"reset_keyed", "annotate", kReset, 200, 2},
                                         AttemptEnd{"cut_short_once", "deposit", kCutShort, 502, 1},
                                         AttemptEnd{"no_length_once", "deposit", kNoLength, 502, 1},
                                         AttemptEnd{"noise_once", "deposit", kNoise, 502, 1},
                                         AttemptEnd{"continue_once", "deposit", kContinue, 200, 1}),
                         [](const auto& info) { return info.param.name; });

TEST(Attempts, ARefusedConnectionNeverRan) {
    SidecarThread sidecar(a_config(kNowhere, {host("s1", kNowhere)}));
    App app(sidecar.at);
    EXPECT_EQ(app.ask(App::request("deposit")).result_int(), 503u);
}

// A server runs a request only once it has its last byte. The request is larger than both kernels' socket
// buffers, so its last byte can't be sent to a server that does not read.
TEST(Attempts, ResetBeforeTheLastByteNeverRan) {
    Acceptor server(
        [](Wire& wire) {
            char byte;
            ::recv(wire.socket.native_handle(), &byte, 1, MSG_PEEK);  // the request has begun to arrive
            wire.reset();
        },
        2048);
    asio::io_context io(1);
    Clock clock;
    std::vector<Outcome> outcomes;
    Upstream upstream(
        io, clock, {},
        {[&](AttemptKey, Outcome outcome, HttpResponse*) { outcomes.push_back(outcome), io.stop(); },
         [](ServerId, Outcome, Millis) {}});
    auto request =
        std::make_shared<HeldRequest>(http::verb::post, "/deposit", 11, std::string(64 << 20, 'x'));
    request->prepare_payload();
    upstream.send({1, 0}, 1, server.at, request, clock.now() + 60000);
    io.run_for(kPatience);
    EXPECT_EQ(outcomes, std::vector<Outcome>{Outcome::refused_connection});
}

// A listening socket with a full backlog: new connections are neither accepted nor refused.
class UnresponsiveListener {
public:
    UnresponsiveListener() : acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}, false) {
        acceptor_.listen(0);
        for (int i = 0; i < 4; ++i) {
            fillers_.emplace_back(io_, tcp::v4());
            fillers_.back().native_non_blocking(true);
            const tcp::endpoint to = acceptor_.local_endpoint();
            ::connect(fillers_.back().native_handle(), to.data(), static_cast<socklen_t>(to.size()));
        }
    }
    std::string at() const { return text_of(acceptor_.local_endpoint()); }

private:
    asio::io_context io_;
    tcp::acceptor acceptor_;
    std::list<tcp::socket> fillers_;
};

TEST(Attempts, AConnectTimeoutNeverRan) {
    UnresponsiveListener server;
    json config = a_config(kNowhere, {host("s1", server.at())});
    config["settings"]["limits"]["connect-timeout-ms"] = 50;
    SidecarThread sidecar(config);
    App app(sidecar.at);
    const auto start = steady_clock::now();
    EXPECT_EQ(app.ask(App::request("deposit")).result_int(), 503u);
    EXPECT_LT(seconds_since(start), 20);
}

TEST(Attempts, StillConnectingAtTheDeadlineNeverRan) {
    UnresponsiveListener server;
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    App app(sidecar.at);
    EXPECT_EQ(app.ask(App::request("deposit", "200m")).result_int(), 503u);
}

TEST(Attempts, NothingIsWrittenToAServerThatDrainsWhileConnecting) {
    UnresponsiveListener draining;
    FakeServer other;
    FakeDiscovery discovery;
    SidecarThread sidecar(a_config(discovery.at(), {host("s1", draining.at())}));
    App app(sidecar.at);
    discovery.wait_for(1);
    app.wire.write(App::request("deposit"));
    // The connect may begin before or after the list is applied; in both cases the other server must answer.
    discovery.say(6, false, {host("s1", draining.at(), "DRAINING"), host("s2", other.at())});
    const auto start = steady_clock::now();
    EXPECT_EQ(app.answer().result_int(), 200u);
    EXPECT_LT(seconds_since(start), 15);
    EXPECT_EQ(other.seen().size(), 1u);
}

TEST(Attempts, ATimeoutIsAnsweredByTheDeadlineAndClosesTheConnection) {
    std::promise<bool> closed;
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        closed.set_value(wire.ended());
        return false;
    });
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    App app(sidecar.at);
    EXPECT_EQ(app.ask(App::request("deposit", "1000m")).result_int(), 502u);
    EXPECT_TRUE(closed.get_future().get());
}

TEST(Attempts, AClientDisconnectClosesTheAttempt) {
    std::promise<bool> closed;
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        closed.set_value(wire.ended());
        return false;
    });
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    const auto start = steady_clock::now();
    {
        App app(sidecar.at);
        app.wire.write(App::request("listen"));
        ASSERT_TRUE(server.wait_for(1));
    }
    EXPECT_TRUE(closed.get_future().get());
    EXPECT_LT(seconds_since(start), 20);
}

// The late answer of an abandoned attempt must not be taken for the answer to the next request.
TEST(Attempts, ALateAnswerIsDiscarded) {
    std::promise<void> late;
    FakeServer server([&](Wire& wire, const HttpRequest&, int number) {
        if (number == 0) {
            wire.ended();
            wire.respond(200, "late");
            late.set_value();
            return false;
        }
        return wire.respond(200, "fine"), true;
    });
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    App app(sidecar.at);
    EXPECT_EQ(app.ask(App::request("deposit", "1000m")).result_int(), 502u);
    late.get_future().get();
    EXPECT_EQ(app.ask(App::request("deposit")).body(), "fine");
}

TEST(Pool, AStaleConnectionIsNotWrittenTo) {
    std::atomic<int> closed{0};
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        wire.respond(200, "fine");
        wire.socket.close();
        ++closed;
        closed.notify_all();
        return false;
    });
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    App app(sidecar.at);
    for (int i = 0; i < 20; ++i) {
        ASSERT_EQ(app.ask(App::request("deposit")).result_int(), 200u) << i;
        closed.wait(i);
    }
    EXPECT_EQ(server.seen().size(), 20u);
}

// Data that a server sends behind its answer, however late, must not be taken for the answer to the next
// request.
TEST(Pool, SurplusDataIsNeverTheNextAnswer) {
    std::promise<void> asked;
    std::shared_future<void> go = asked.get_future().share();
    std::promise<bool> ended;
    FakeServer server([&](Wire& wire, const HttpRequest&, int number) {
        wire.respond(200, "fine");
        if (number > 0) return true;
        go.wait();
        wire.respond(200, "left over");
        ended.set_value(wire.ended());
        return false;
    });
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    App app(sidecar.at);
    EXPECT_EQ(app.ask(App::request("deposit")).body(), "fine");
    asked.set_value();
    EXPECT_TRUE(ended.get_future().get()) << "the connection is closed";
    EXPECT_EQ(app.ask(App::request("deposit")).body(), "fine");
    EXPECT_EQ(server.connections(), 2);
}

// An Upstream without a sidecar, on an event loop that the test runs.
struct UpstreamFixture {
    explicit UpstreamFixture(Upstream::Limits limits) : upstream(io, clock, limits, handlers()) {}
    Upstream::Handlers handlers() {
        return {
            [this](AttemptKey, Outcome outcome, HttpResponse*) { outcomes.push_back(outcome), io.stop(); },
            [](ServerId, Outcome, Millis) {}};
    }
    void send(ServerId server, const std::string& to) {
        auto request = std::make_shared<HeldRequest>(http::verb::post, "/deposit", 11, "x");
        request->prepare_payload();
        const auto colon = to.rfind(':');
        upstream.send({++last, 0}, server,
                      {asio::ip::make_address(to.substr(0, colon)),
                       static_cast<std::uint16_t>(std::stoi(to.substr(colon + 1)))},
                      request, clock.now() + 60000);
    }
    void run() {
        io.restart();
        io.run_for(kPatience);
    }
    asio::io_context io{1};
    Clock clock;
    std::vector<Outcome> outcomes;
    RequestId last = 0;
    Upstream upstream;
};

TEST(Pool, ALateCopyOfARefusalIsNotTheNextAnswer) {
    const std::string refusal = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    FakeServer server([&](Wire& wire, const HttpRequest&, int number) {
        if (number == 0 || server.connections() == 1) wire.write(refusal);
        if (number == 0) return true;
        return wire.respond(200, "fine"), true;
    });
    UpstreamFixture fixture({1000, 15000, 10, 0});
    fixture.send(1, server.at());
    fixture.run();
    fixture.send(1, server.at());
    fixture.run();
    EXPECT_EQ(fixture.outcomes, (std::vector{Outcome::saturated, Outcome::completed}));
}

// Surplus data may still arrive on a connection that has just delivered an answer, so it is reused only after
// the settle time.
TEST(Pool, AConnectionIsReusedOnlyAfterTheSettleTime) {
    FakeServer server;
    for (const bool settled : {false, true}) {
        UpstreamFixture fixture({1000, 15000, 10, settled ? 0.0 : 10000.0});
        const int before = server.connections();
        fixture.send(1, server.at());
        fixture.run();
        fixture.send(1, server.at());
        fixture.run();
        EXPECT_EQ(fixture.outcomes, std::vector<Outcome>(2, Outcome::completed));
        EXPECT_EQ(server.connections() - before, settled ? 1 : 2);
    }
}

// Withdrawn servers leave no state behind, even if an attempt was in flight. A new server at the same address
// gets a new connection.
TEST(Pool, RemovedServersLeaveNoState) {
    FakeServer server;
    UpstreamFixture fixture({1000, 15000, 50, 0});
    for (ServerId id = 1; id <= 2000; ++id) {
        fixture.send(id, server.at());
        if (id % 2) fixture.upstream.retire(id);  // while the attempt is in flight
        fixture.run();
        if (id % 2 == 0) {
            EXPECT_EQ(fixture.upstream.open(), 1u);
            fixture.upstream.withdraw_server(id);
        }
        ASSERT_EQ(fixture.upstream.open(), 0u) << id;
        ASSERT_EQ(fixture.upstream.pools(), 0u) << id;
        ASSERT_EQ(fixture.upstream.in_flight(), 0u) << id;
    }
    EXPECT_EQ(fixture.outcomes, std::vector<Outcome>(2000, Outcome::completed));
    EXPECT_EQ(server.connections(), 2000);
}

// A lack of descriptors is a local condition and must not count against a server.
TEST(Pool, TheConnectionLimitIsNotCountedAgainstTheServer) {
    UnresponsiveListener silent;
    UpstreamFixture fixture({60000, 15000, 1, 0});
    fixture.send(1, silent.at());
    fixture.send(2, silent.at());
    EXPECT_EQ(fixture.outcomes, std::vector<Outcome>{Outcome::not_sent});
    EXPECT_EQ(fixture.upstream.open(), 1u);
}

TEST(Pool, IdleConnectionsAreClosedBeforeTheServersIdleTimeout) {
    std::promise<bool> closed;
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        wire.respond(200, "fine");
        closed.set_value(wire.ended());
        return false;
    });
    json config = a_config(kNowhere, {host("s1", server.at())});
    config["settings"]["limits"]["idle-close-ms"] = 400;
    SidecarThread sidecar(config);
    App app(sidecar.at);
    EXPECT_EQ(app.ask(App::request("listen")).result_int(), 200u);
    EXPECT_TRUE(closed.get_future().get());
}

// Guards against leaks of attempts and servers: when idle, the decision module and the sockets agree that
// nothing is in flight, however the attempts ended, and only listed servers are kept. The module keeps a
// server as long as it counts an attempt to it.
TEST(Pool, WhenIdleNothingIsInFlightAndOnlyListedServersAreKept) {
    FakeServer mixed([](Wire& wire, const HttpRequest&, int number) {
        if (number % 5 == 0) return wire.reset(), false;
        if (number % 5 == 1) return wire.write("ICY 200 OK\r\n\r\n"), true;
        if (number % 5 == 2) return wire.respond(500), true;
        if (number % 5 == 3) return wire.ended(), false;  // until the attempt is abandoned
        return wire.respond(200, "fine"), true;
    });
    FakeDiscovery discovery;
    SidecarThread sidecar(a_config(discovery.at(), {host("s1", mixed.at())}));
    const auto wait_for = [&](const auto& reached) {
        const auto start = steady_clock::now();
        while (!reached(sidecar.object_counts())) {
            if (seconds_since(start) > 30) return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return true;
    };
    int seq = 5;
    for (int round = 0; round < 5; ++round) {
        App app(sidecar.at);
        for (int i = 0; i < 5; ++i) app.ask(App::request("deposit", "100m"));
        app.wire.write(App::request("deposit", "100m"));  // disconnects without reading the answer
        std::vector<json> come, go;
        for (int i = 0; i < 500; ++i) {
            const std::string name = std::to_string(round * 500 + i);
            come.push_back(host(name, kNowhere));
            go.push_back(host(name, kNowhere, "DELETED"));
        }
        discovery.say(++seq, false, come);
        ASSERT_TRUE(
            wait_for([](const Sidecar::ObjectCounts& h) { return h.servers == 501 && h.records == 501; }));
        discovery.say(++seq, false, go);
        ASSERT_TRUE(
            wait_for([](const Sidecar::ObjectCounts& h) { return h.servers == 1 && h.records == 1; }));
    }
    EXPECT_TRUE(wait_for([](const Sidecar::ObjectCounts& h) { return h.requests == 0 && h.attempts == 0; }));
    discovery.say(++seq, true, {host("s2", mixed.at())});
    EXPECT_TRUE(wait_for(
        [](const Sidecar::ObjectCounts& h) { return h.servers == 1 && h.records == 1 && h.pools == 0; }));
}

// ---- Discovery -------------------------------------------------------------------------------------------

TEST(Watch, SurvivesGarbageOldListsAndDowntime) {
    FakeServer server;
    FakeDiscovery discovery;
    SidecarThread sidecar(a_config(discovery.at(), {host("s1", kNowhere)}));
    EXPECT_EQ(discovery.wait_for(1).at(0), "/v1/servers?after=5&wait_ms=20000");
    discovery.say("{\"seq\":");
    EXPECT_EQ(discovery.wait_for(2).at(1), "/v1/servers");
    discovery.say(4, true, {});  // older than the list held
    discovery.wait_for(3);
    discovery.say("");  // discovery closes the connection
    EXPECT_EQ(discovery.wait_for(4).at(3), "/v1/servers");
    discovery.say(9, true, {host("s2", server.at())});
    EXPECT_EQ(discovery.wait_for(5).at(4), "/v1/servers?after=9&wait_ms=20000");
    App app(sidecar.at);
    const auto start = steady_clock::now();  // the next call is sent just before the list is applied
    while (app.ask(App::request("listen")).result_int() != 200u) ASSERT_LT(seconds_since(start), 30);
}

// With a discovery service shared by all sidecars, a failed call must be retried for the changes only: full
// lists for all sidecars would keep an overloaded service overloaded. Only an older list requires the full
// list.
TEST(Watch, AfterAFailedCallASharedServiceIsAskedOnlyForChanges) {
    FakeDiscovery discovery;
    json config = a_config(discovery.at(), {host("s1", kNowhere)});
    config["settings"]["membership-mode"] = "on_request";
    SidecarThread sidecar(config);
    EXPECT_EQ(discovery.wait_for(1).at(0), "/v1/servers?after=5&wait_ms=20000");
    discovery.say("");  // the call is aborted
    EXPECT_EQ(discovery.wait_for(2).at(1), "/v1/servers?after=5&wait_ms=20000");
    discovery.say("{\"seq\":");
    EXPECT_EQ(discovery.wait_for(3).at(2), "/v1/servers?after=5&wait_ms=20000");
    discovery.say(4, true, {});  // older than the list held
    EXPECT_EQ(discovery.wait_for(4).at(3), "/v1/servers");
}

// An invalid answer in place of a list must leave the thousand known servers unchanged and cause exactly one
// further call, for the full list.
TEST(Watch, InvalidListsAreIgnored) {
    std::vector<json> thousand;
    for (int i = 0; i < 1000; ++i) thousand.push_back(host("s" + std::to_string(i), kNowhere));
    const auto list = [](const json& seq, const json& hosts) {
        return json{{"seq", seq}, {"whole", true}, {"hosts", hosts}}.dump();
    };
    const auto with = [&](const char* field, const json& value) {
        std::vector<json> hosts = thousand;
        hosts.back()[field] = value;  // the last entry: none of those before it may be applied
        hosts.front()["health"] = "DELETED";
        return list(9, hosts);
    };
    const std::string good = list(5, thousand);
    const std::vector<std::pair<const char*, std::string>> rows{
        {"the service goes down", ""},
        {"no list", "hello"},
        {"cut off in the middle", good.substr(0, good.size() / 2)},
        {"cut off by a byte", good.substr(0, good.size() - 1)},
        {"something behind it", good + "x"},
        {"another kind of value", "[]"},
        {"nested a hundred thousand deep", std::string(100000, '[')},
        {"over 16 MB", std::string(17 << 20, ' ') + good},
        {"no version", "{\"whole\":true,\"hosts\":[]}"},
        {"a version below 0", list(-1, json::array())},
        {"a version that is a text", list("9", json::array())},
        {"a version past 64 bits", "{\"seq\":1e30,\"whole\":true,\"hosts\":[]}"},
        {"hosts that are no list", list(9, "none")},
        {"an older list", list(4, json::array())},
        {"a server without a state", with("health", nullptr)},
        {"a server in an unknown state", with("health", "MAYBE")},
        {"a server without an address", with("dial", nullptr)},
        {"an address without a port", with("dial", "127.0.0.1")},
        {"a port past the last", with("dial", "127.0.0.1:65536")},
        {"a birth that is no number", with("born_ms", "today")},
    };
    FakeDiscovery discovery;
    SidecarThread sidecar(a_config(discovery.at(), thousand));
    std::size_t calls = 1;
    for (const auto& [name, answer] : rows) {
        EXPECT_EQ(discovery.wait_for(calls).back(), "/v1/servers?after=5&wait_ms=20000") << name;
        discovery.say(answer);
        EXPECT_EQ(discovery.wait_for(++calls).back(), "/v1/servers") << name;
        EXPECT_EQ(sidecar.object_counts().servers, 1000U) << name;
        discovery.say(good);
        EXPECT_EQ(discovery.wait_for(++calls).size(), calls) << name << ": one further call, no more";
    }
    EXPECT_EQ(sidecar.object_counts().servers, 1000U);
}

// A temporary configuration file, named by NODE_CONFIG during its lifetime.
class ConfigFile {
public:
    explicit ConfigFile(const std::string& text) { write(text), ::setenv("NODE_CONFIG", path_.c_str(), 1); }
    ~ConfigFile() { ::unsetenv("NODE_CONFIG"), std::remove(path_.c_str()); }
    void write(const std::string& text) { std::ofstream(path_) << text; }

private:
    std::string path_ = testing::TempDir() + "kelplb_config_" + std::to_string(::getpid()) + ".json";
};

// Sequence numbers of the new address are independent of the old one's, and late answers of the old address
// are ignored. An invalid file changes nothing.
TEST(Watch, AReloadSwitchesToTheNewAddressAtOnce) {
    FakeServer first, second;
    FakeDiscovery old, fresh;
    json config = a_config(old.at(), {host("s1", first.at())});
    ConfigFile file(config.dump());
    SidecarThread sidecar(config);
    App app(sidecar.at);
    old.wait_for(1);
    file.write("{\"discovery\":");
    sidecar.reload();
    old.say(7, false, {});
    EXPECT_EQ(old.wait_for(2).at(1), "/v1/servers?after=7&wait_ms=20000") << "the old address is kept";
    config["discovery"] = fresh.at();
    file.write(config.dump());
    ::setenv("NODE_DISCOVERY", old.at().c_str(), 1);
    sidecar.reload();
    EXPECT_EQ(fresh.wait_for(1).at(0), "/v1/servers");
    old.say(8, true, {});
    fresh.say(2, true, {host("s2", second.at())});
    EXPECT_EQ(fresh.wait_for(2).at(1), "/v1/servers?after=2&wait_ms=20000");
    ::unsetenv("NODE_DISCOVERY");
    const auto start = steady_clock::now();
    while (second.seen().empty()) {
        EXPECT_EQ(app.ask(App::request("listen")).result_int(), 200u);
        ASSERT_LT(seconds_since(start), 30);
    }
    EXPECT_EQ(old.wait_for(2).size(), 2u);
}

// ---- Invalid requests ------------------------------------------------------------------------------------

struct InvalidRequest {
    const char* name;
    std::string text;
    unsigned status;
    bool closes;  // the connection can't be reused, as its further input is ambiguous or too long
};
void PrintTo(const InvalidRequest& invalid, std::ostream* out) { *out << invalid.name; }

std::string request_with(const std::string& request_class, const std::string& replace,
                         const std::string& by) {
    std::string text = App::request(request_class);
    const auto at = text.find(replace);
    EXPECT_NE(at, std::string::npos) << replace;
    return text.replace(at, replace.size(), by);
}
std::string deposit_with(const std::string& length) {
    return request_with("deposit", "Content-Length: 0\r\n\r\n", length + "\r\n");
}

std::vector<InvalidRequest> invalid_requests() {
    const std::string left = "X-Time-Left: 25000m";
    const std::string kind = "X-Service-Class: listen";
    std::string lines;
    while (lines.size() < 40000) lines += "X-Pad: pppppppppppppppppppppppp\r\n";
    std::string many, few;
    for (int i = 0; i < 1000; ++i) many += "X-" + std::to_string(i) + ": 1\r\n";
    for (int i = 0; i < 100; ++i) few += "X-" + std::to_string(i) + ": 1\r\n";
    return {
        {"noise", "no http at all\r\n\r\n", 400, true},
        {"tls", "\x16\x03\x01\x02\r\n\r\n", 400, true},
        {"version", "GET / HTTP/9.9\r\n\r\n", 400, true},
        {"old_version", "GET /listen HTTP/1.0\r\n\r\n", 505, true},
        {"length_negative", deposit_with("Content-Length: -1\r\n"), 400, true},
        {"length_signed", deposit_with("Content-Length: +0\r\n"), 400, true},
        {"length_hex", deposit_with("Content-Length: 0x5\r\n"), 400, true},
        {"length_empty", deposit_with("Content-Length:\r\n"), 400, true},
        {"length_overflow", deposit_with("Content-Length: 99999999999999999999999\r\n"), 400, true},
        {"length_huge", deposit_with("Content-Length: 60000000\r\n"), 413, true},
        {"length_list", deposit_with("Content-Length: 3, 3\r\n") + "abc", 400, true},
        {"length_twice", deposit_with("Content-Length: 3\r\nContent-Length: 3\r\n") + "abc", 400, true},
        {"length_conflict", deposit_with("Content-Length: 3\r\nContent-Length: 4\r\n") + "abc", 400, true},
        {"length_and_coding", deposit_with("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), 400, true},
        {"coding_and_length", deposit_with("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"), 400, true},
        {"length_and_other_coding", deposit_with("Content-Length: 0\r\nTransfer-Encoding: identity\r\n"), 400,
         true},
        {"coding_other", deposit_with("Transfer-Encoding: gzip\r\n"), 400, true},
        {"coding_list", deposit_with("Transfer-Encoding: gzip, chunked\r\n") + "0\r\n\r\n", 400, true},
        {"coding_odd", deposit_with("Transfer-Encoding: xchunked\r\n") + "0\r\n\r\n", 400, true},
        {"coding_twice",
         deposit_with("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n", 400,
         true},
        {"space_before_colon", deposit_with("Transfer-Encoding : chunked\r\n") + "0\r\n\r\n", 400, true},
        {"chunk_unreadable", deposit_with("Transfer-Encoding: chunked\r\n") + "zz\r\n\r\n", 400, true},
        {"chunk_huge", deposit_with("Transfer-Encoding: chunked\r\n") + "ffffffff\r\n", 413, true},
        {"chunk_extension_endless",
         deposit_with("Transfer-Encoding: chunked\r\n") + "1;" + std::string(40000, 'x'), 431, true},
        {"trailer_second_id",
         deposit_with("Transfer-Encoding: chunked\r\n") + "1\r\na\r\n0\r\nX-Correlation-Id: 2\r\n\r\n", 400,
         true},
        {"head_long_line", request_with("listen", "\r\n\r\n", "\r\nX-Long: " + std::string(40000, 'x')), 431,
         true},
        {"head_endless_lines", request_with("listen", "\r\n\r\n", "\r\n" + lines), 431, true},
        {"class_unknown", request_with("listen", kind, "X-Service-Class: remix"), 400, false},
        {"class_missing", request_with("listen", kind, "X-Other: 1"), 400, false},
        {"class_twice", request_with("listen", kind, kind + "\r\n" + kind), 400, false},
        {"path_of_another", request_with("listen", "GET /listen", "GET /deposit"), 400, false},
        {"path_longer", request_with("listen", "GET /listen", "GET /listener"), 400, false},
        {"path_absolute", request_with("listen", "GET /listen", "GET http://x/listen"), 400, false},
        {"path_dots", request_with("listen", "GET /listen", "GET /listen/../deposit"), 400, false},
        {"path_dots_to_the_class", request_with("listen", "GET /listen", "GET /x/../listen"), 400, false},
        {"path_dots_before_the_method", request_with("deposit", "POST /deposit", "GET /deposit/../listen"),
         400, false},
        {"fold", request_with("listen", kind, kind + "\r\n deposit"), 400, true},
        {"fold_by_tab", request_with("listen", kind, "X-Other: 1\r\n\tX-Service-Class: deposit\r\n" + kind),
         400, true},
        {"fold_empty", request_with("listen", kind, kind + "\r\n "), 400, true},
        {"fields_a_hundred", request_with("listen", left, few + left), 431, false},
        {"fields_a_thousand", request_with("listen", left, many + left), 431, false},
        {"fields_behind_the_chunks",
         deposit_with("Transfer-Encoding: chunked\r\n") + "1\r\na\r\n0\r\n" + few + "\r\n", 400, true},
        {"get_for_once", request_with("deposit", "POST", "GET"), 405, false},
        {"post_for_repeatable", request_with("listen", "GET", "POST"), 405, false},
        {"put", request_with("deposit", "POST", "PUT"), 405, false},
        {"get_with_body", request_with("listen", "\r\n\r\n", "\r\nContent-Length: 3\r\n\r\nabc"), 400, true},
        {"connect", "CONNECT other:80 HTTP/1.1\r\nHost: x\r\n\r\n", 405, false},
        {"key_missing", request_with("annotate", "Idempotency-Key: 5c0f\r\n", ""), 400, false},
        {"key_twice",
         request_with("annotate", "Idempotency-Key: 5c0f\r\n",
                      "Idempotency-Key: 5c0f\r\nIdempotency-Key: 5c10\r\n"),
         400, false},
        {"key_for_once", request_with("deposit", left, left + "\r\nIdempotency-Key: 1"), 400, false},
        {"id_missing", request_with("listen", "X-Correlation-Id", "X-Id"), 400, false},
        {"id_empty", request_with("listen", "X-Correlation-Id: 9b1f", "X-Correlation-Id: \r\nX-Id: "), 400,
         false},
        {"id_twice", request_with("listen", left, left + "\r\nX-Correlation-Id: 2"), 400, false},
        {"time_word", request_with("listen", left, "X-Time-Left: soon"), 400, false},
        {"time_no_unit", request_with("listen", left, "X-Time-Left: 500"), 400, false},
        {"time_nan", request_with("listen", left, "X-Time-Left: nanm"), 400, false},
        {"time_infinite", request_with("listen", left, "X-Time-Left: infm"), 400, false},
        {"time_overflow", request_with("listen", left, "X-Time-Left: 1e999m"), 400, false},
        {"time_negative", request_with("listen", left, "X-Time-Left: -5m"), 400, false},
        {"time_missing", request_with("listen", left, "X-Other: 1"), 400, false},
        {"hint_nan", request_with("listen", left, left + "\r\nX-Weight-Hint: nan"), 400, false},
    };
}

class InvalidRequests : public testing::TestWithParam<InvalidRequest> {};

// An invalid request is rejected with the right status and reaches no server, and the sidecar keeps serving.
TEST_P(InvalidRequests, AreRejectedAndReachNoServer) {
    const InvalidRequest& invalid = GetParam();
    FakeServer server;
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    {
        App app(sidecar.at);
        const HttpResponse response = app.ask(invalid.text);
        EXPECT_EQ(response.result_int(), invalid.status);
        EXPECT_EQ(response.keep_alive(), !invalid.closes);
        if (invalid.closes)
            app.wire.rest();  // returns once the connection is closed
        else
            EXPECT_EQ(app.ask(App::request("listen")).result_int(), 200u) << "the connection is still usable";
    }
    EXPECT_EQ(server.seen().size(), invalid.closes ? 0u : 1u);
    App app(sidecar.at);
    EXPECT_EQ(app.ask(App::request("deposit")).result_int(), 200u);
}

INSTANTIATE_TEST_SUITE_P(All, InvalidRequests, testing::ValuesIn(invalid_requests()),
                         [](const auto& info) { return info.param.name; });

TEST(BadRequests, ChunkedBodiesAreForwardedWithAContentLength) {
    FakeServer server;
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    App app(sidecar.at);
    EXPECT_EQ(app.ask(deposit_with("Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
                  .result_int(),
              200u);
    EXPECT_EQ(server.seen().at(0).body(), "abcde");
    EXPECT_EQ(server.seen().at(0)["Content-Length"], "5");
    EXPECT_EQ(server.seen().at(0).count("Transfer-Encoding"), 0u);
}

// A second request with the id of an open one is rejected: a server would take it for a repeat of the first.
TEST(BadRequests, AnOpenRequestIdIsRejected) {
    std::promise<void> go;
    std::shared_future<void> released = go.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        return released.wait(), wire.respond(200, "fine"), true;
    });
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    App first(sidecar.at), second(sidecar.at);
    const std::string text = App::request("deposit");
    first.wire.write(text);
    ASSERT_TRUE(server.wait_for(1));
    EXPECT_EQ(second.ask(text).result_int(), 409u);
    go.set_value();
    EXPECT_EQ(first.answer().result_int(), 200u);
    EXPECT_EQ(server.seen().size(), 1u);
}

// A 4xx from a server concerns the request: it is not retried and does not count against the server.
TEST(BadRequests, A4xxFromAServerIsFinal) {
    FakeServer server([](Wire& w, const HttpRequest&, int) { return w.respond(404), true; });
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    App app(sidecar.at);
    for (int i = 0; i < 30; ++i) ASSERT_EQ(app.ask(App::request("listen")).result_int(), 404u) << i;
    EXPECT_EQ(server.seen().size(), 30u);
}

// Connections without a request or with an incomplete one are closed after the head's time limit.
TEST(BadRequests, SlowClientsTimeOut) {
    SidecarThread sidecar(a_config(kNowhere, {host("s1", kNowhere)}));
    App silent(sidecar.at), half(sidecar.at);
    half.wire.write("POST /deposit HTTP/1.1\r\nHost: x\r\n");
    const auto start = steady_clock::now();
    EXPECT_EQ(half.answer().result_int(), 408u);
    EXPECT_TRUE(silent.wire.ended());
    EXPECT_LT(seconds_since(start), 20);  // about 3 s unless the machine stalls; the rig waits 30 s
}

// A pipelined request in the input buffer must not prevent the detection of a disconnect.
TEST(BadRequests, ADisconnectBehindAPipelinedRequestIsDetected) {
    std::promise<bool> closed;
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        closed.set_value(wire.ended());
        return false;
    });
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    const auto start = steady_clock::now();
    {
        App app(sidecar.at);
        app.wire.write(App::request("listen"));
        ASSERT_TRUE(server.wait_for(1));
        app.wire.write(App::request("listen"));
    }
    EXPECT_TRUE(closed.get_future().get());
    EXPECT_LT(seconds_since(start), 20);
    EXPECT_EQ(server.seen().size(), 1u);
}

TEST(BadRequests, PipelinedRequestsAreServedInOrder) {
    FakeServer server;
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    App app(sidecar.at);
    app.wire.write(App::request("listen") + App::request("deposit", "25000m", "x"));
    EXPECT_EQ(app.answer().result_int(), 200u);
    EXPECT_EQ(app.answer().result_int(), 200u);
    EXPECT_EQ(server.seen().size(), 2u);
}

// ---- Limits ----------------------------------------------------------------------------------------------

TEST(Limits, IdleConnectionsAreClosedForNewClients) {
    FakeServer server;
    json config = a_config(kNowhere, {host("s1", server.at())});
    config["limits"]["sockets"] = 64;  // leaves room for 8 clients
    SidecarThread sidecar(config);
    std::list<App> apps;
    for (int i = 0; i < 20; ++i) {
        apps.emplace_back(sidecar.at);
        ASSERT_EQ(apps.back().ask(App::request("listen")).result_int(), 200u) << i;
    }
}

// Clients hold at most a third of the descriptors. Idle connections of clients that send one request would
// use up that third long before the listener reaches its own limit, and the next client could not connect. So
// the sidecar must close connections earlier.
TEST(Limits, IdleKeptConnectionsLeaveClientsRoomForNewOnes) {
    FakeServer server;
    json config = a_config(kNowhere, {host("s1", server.at())});
    config["limits"]["sockets"] = 96;
    constexpr std::size_t kClientsHold = 96 / 3;
    SidecarThread sidecar(config);
    std::list<App> stay;
    for (int i = 0; i < 100; ++i) {
        ASSERT_LT(stay.size(), kClientsHold) << "client " << i << " has no connection left";
        stay.emplace_back(sidecar.at);
        const HttpResponse response = stay.back().ask(App::request("listen"));
        ASSERT_EQ(response.result_int(), 200u) << i;
        if (!response.keep_alive()) stay.pop_back();
    }
    EXPECT_GT(stay.size(), kClientsHold / 4);  // connections are kept alive up to there
}

// Unused connections have a limit of their own and must not cause connections with requests to be closed.
TEST(Limits, UnusedConnectionsDoNotDisplaceUsedOnes) {
    FakeServer server;
    json config = a_config(kNowhere, {host("s1", server.at())});
    config["limits"]["sockets"] = 128;
    SidecarThread sidecar(config);
    App usual(sidecar.at);
    ASSERT_EQ(usual.ask(App::request("listen")).result_int(), 200u);
    std::list<App> silent;
    for (int i = 0; i < 30; ++i) {
        silent.emplace_back(sidecar.at);
        const HttpResponse response = usual.ask(App::request("listen"));
        ASSERT_EQ(response.result_int(), 200u) << i;
        ASSERT_TRUE(response.keep_alive()) << i;
    }
    // Of 58 connections, 42 are reserved for clients with requests, so at most 16 unused ones are kept. The
    // last one is still open, so the first was not closed by the time limit.
    EXPECT_TRUE(silent.front().wire.ended());
    EXPECT_EQ(silent.back().ask(App::request("listen")).result_int(), 200u);
}

// At the connection limit, unused connections are closed before used ones.
TEST(Limits, UnusedConnectionsAreClosedFirst) {
    FakeServer server;
    json config = a_config(kNowhere, {host("s1", server.at())});
    config["limits"]["sockets"] = 64;
    SidecarThread sidecar(config);
    App usual(sidecar.at);
    ASSERT_EQ(usual.ask(App::request("listen")).result_int(), 200u);
    std::list<App> silent;
    for (int i = 0; i < 100; ++i) silent.emplace_back(sidecar.at);
    App late(sidecar.at);
    EXPECT_EQ(late.ask(App::request("listen")).result_int(), 200u);
    EXPECT_EQ(usual.ask(App::request("listen")).result_int(), 200u);
}

// The memory for all bodies together is bounded, and is released with each request.
TEST(Limits, BodiesShareABoundedMemory) {
    std::promise<void> go;
    std::shared_future<void> released = go.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        return released.wait(), wire.respond(200, "fine"), true;
    });
    json config = a_config(kNowhere, {host("s1", server.at())});
    config["limits"] = {{"sockets", 256}, {"memory_mb", 1}};  // room for one body of full size
    SidecarThread sidecar(config);
    const std::string body(60000, 'x');
    App first(sidecar.at), second(sidecar.at), small(sidecar.at);
    first.wire.write(App::request("deposit", "25000m", body));
    ASSERT_TRUE(server.wait_for(1));
    EXPECT_EQ(second.ask(App::request("deposit", "25000m", body)).result_int(), 503u);
    small.wire.write(App::request("listen"));
    ASSERT_TRUE(server.wait_for(2));
    go.set_value();
    EXPECT_EQ(first.answer().result_int(), 200u);
    EXPECT_EQ(small.answer().result_int(), 200u);
    EXPECT_EQ(first.ask(App::request("deposit", "25000m", body)).result_int(), 200u);
}

// While all other connections are busy, a new connection must not be closed before its request arrives.
TEST(Limits, ANewConnectionIsKeptWhileAllOthersAreBusy) {
    std::promise<void> go;
    std::shared_future<void> released = go.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int) {
        return released.wait(), wire.respond(200, "fine"), true;
    });
    json config = a_config(kNowhere, {host("s1", server.at())});
    config["limits"]["sockets"] = 64;  // leaves room for 8 clients
    SidecarThread sidecar(config);
    std::list<App> apps;
    for (std::size_t i = 0; i < 8; ++i) {
        apps.emplace_back(sidecar.at);
        if (i == 7)
            std::this_thread::sleep_for(
                std::chrono::milliseconds(100));  // accepted, and without a request for a while
        apps.back().wire.write(App::request("listen"));
        ASSERT_TRUE(server.wait_for(i + 1)) << i;
    }
    App late(sidecar.at);
    late.wire.write(App::request("listen"));
    go.set_value();
    for (App& app : apps) EXPECT_EQ(app.answer().result_int(), 200u);
    EXPECT_EQ(late.answer().result_int(), 200u);
}

TEST(Limits, OutOfDescriptorsAcceptWaitsWithoutABusyLoop) {
    FakeServer server;
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    App first(sidecar.at);
    ASSERT_EQ(first.ask(App::request("listen")).result_int(), 200u);
    const auto cpu_seconds = [] {
        rusage used{};
        getrusage(RUSAGE_SELF, &used);
        return used.ru_utime.tv_sec + used.ru_stime.tv_sec +
               (used.ru_utime.tv_usec + used.ru_stime.tv_usec) * 1e-6;
    };
    asio::io_context io;
    tcp::socket late(io, tcp::v4());
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    rlimit none = before;
    none.rlim_cur = 3;  // open descriptors stay open, new ones can't be created
    const double used = cpu_seconds();
    setrlimit(RLIMIT_NOFILE, &none);
    late.connect(sidecar.at);  // completed by the kernel; the sidecar can't accept it
    const auto start = steady_clock::now();
    while (seconds_since(start) < 0.5) std::this_thread::sleep_for(std::chrono::milliseconds(50));
    EXPECT_EQ(first.ask(App::request("listen")).result_int(), 200u)
        << "existing connections are still served";
    setrlimit(RLIMIT_NOFILE, &before);
    EXPECT_LT(cpu_seconds() - used, 0.25);
    Wire wire(std::move(late));
    wire.write(App::request("listen"));
    HttpResponse response;
    ASSERT_TRUE(wire.read(response));
    EXPECT_EQ(response.result_int(), 200u);
}

// ---- Stopping --------------------------------------------------------------------------------------------

TEST(Stopping, CompletesOpenRequestsThenStops) {
    std::promise<void> go;
    std::shared_future<void> released = go.get_future().share();
    FakeServer server([&](Wire& wire, const HttpRequest&, int number) {
        if (number == 0) released.wait();
        return wire.respond(200, "fine"), true;
    });
    SidecarThread sidecar(a_config(kNowhere, {host("s1", server.at())}));
    App idle(sidecar.at), held(sidecar.at);
    ASSERT_EQ(idle.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 200u);
    held.wire.write(App::request("deposit"));
    ASSERT_TRUE(server.wait_for(1));
    std::promise<void> done;
    const auto start = steady_clock::now();
    sidecar.stop([&] { done.set_value(); });
    EXPECT_TRUE(idle.wire.ended());
    if (seconds_since(start) < 0.3) {  // on a stalled machine the accept period may have ended
        App late(sidecar.at);
        const HttpResponse response = late.ask(App::request("listen"));
        EXPECT_EQ(response.result_int(), 200u);
        EXPECT_FALSE(response.keep_alive());
    }
    go.set_value();
    const HttpResponse response = held.answer();
    EXPECT_EQ(response.result_int(), 200u);
    EXPECT_FALSE(response.keep_alive());
    held.wire.socket.close();
    EXPECT_EQ(done.get_future().wait_for(kPatience), std::future_status::ready);
    EXPECT_GT(seconds_since(start), 0.4);
}

// ---- Peers -----------------------------------------------------------------------------------------------

TEST(PeerMessages, OnlyShortMessagesFromPeersAreReceived) {
    asio::io_context io(1);
    const udp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    udp::socket peer(io, any), stranger(io, any);
    Config config;
    {
        udp::socket probe(io, any);
        config.peer_listen = probe.local_endpoint();
    }
    config.peers = {*config.peer_listen, peer.local_endpoint()};
    std::vector<std::vector<std::uint8_t>> received;
    Peers peers(io, config, [&](std::uint32_t from, std::vector<std::uint8_t> bytes) {
        EXPECT_EQ(from, 1u);
        received.push_back(std::move(bytes));
        io.stop();
    });
    const std::vector<std::uint8_t> longest(256, 1), too_long(257, 2), small(4, 3);
    stranger.send_to(asio::buffer(small), *config.peer_listen);
    peer.send_to(asio::buffer(too_long), *config.peer_listen);
    peer.send_to(asio::buffer(longest), *config.peer_listen);
    io.run_for(kPatience);
    EXPECT_EQ(received, std::vector<std::vector<std::uint8_t>>{longest});
    peers.send(1, too_long);  // exceeds the size limit and is not sent
    peers.send(1, small);
    std::array<std::uint8_t, 512> bytes{};
    EXPECT_EQ(peer.receive(asio::buffer(bytes)), small.size());
}

// ---- Configuration ---------------------------------------------------------------------------------------

TEST(Configuration, ErrorsNameTheField) {
    const json good = a_config(kNowhere, {host("s1", kNowhere)});
    EXPECT_NO_THROW(read_config(good));
    const auto error_of = [&](const std::string& pointer, const json& value) -> std::string {
        json bad = good;
        if (value.is_null())
            bad = bad.patch(json::array({{{"op", "remove"}, {"path", pointer}}}));
        else
            bad[json::json_pointer(pointer)] = value;
        try {
            read_config(bad);
        } catch (const ConfigError& error) {
            return error.what();
        }
        return "none";
    };
    const auto names = [&](const std::string& pointer, const json& value, const std::string& field) {
        EXPECT_NE(error_of(pointer, value).find(field), std::string::npos) << error_of(pointer, value);
    };
    names("/name", nullptr, "name is missing");
    names("/listen", nullptr, "listen is missing");
    names("/listen", "here:port", "listen is not address:port");
    names("/listen", "127.0.0.1:", "listen is not address:port");
    names("/discovery", 7, "discovery is not a text");
    names("/seed", "xyz", "seed is not a hex number");
    names("/settings", nullptr, "settings is missing");
    names("/settings/classes", json::array(), "classes");
    names("/settings/classes/1/effect", "maybe", "settings.classes[1].effect");
    names("/settings/classes/0/on-time-ms", "soon", "settings.classes[0].on-time-ms");
    names("/settings/limits/max-attempts", -1, "settings.limits.max-attempts");
    names("/known/hosts/0/dial", "x", "known.hosts[0].dial");
    names("/limits", {{"sockets", 5}}, "limits.sockets");
}

}  // namespace
}  // namespace cobaltshift
