// Requests that were refused with a promise and had run (issue 63): what may be taken as proof that a request
// has not run. Inbound beside a scripted application server, and the caller side of a hop.
#include <doctest/doctest.h>

#include <mutex>

#include "lab/scripted.hpp"
#include "proxy/inbound.hpp"
#include "proxy/mesh_dialect.hpp"

using namespace cobaltshift;
using namespace cobaltshift::proxy;
using lab::Wire;

namespace {

const std::string kFull = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string kOtherInstance =
    "HTTP/1.1 421 Misdirected Request\r\nInstance: i-9\r\nContent-Length: 0\r\n\r\n";
// Longer than Inbound's pause before a connection is used again.
constexpr std::chrono::milliseconds kReuseDelay{5};

std::string field(const char* name, const std::string& value) { return name + (": " + value) + "\r\n"; }
std::string id_field(const HttpRequest& request) {
    return field(kRequestId, std::string(request[kRequestId]));
}
void serve(Wire& wire, const HttpRequest& request) {
    wire.respond(200, "fine", id_field(request) + field(kPostmark, "3e1b"));
}

struct WaitingClient : Client {
    std::optional<HttpResponse> said;
    void answer(HttpResponse response) override { said = std::move(response); }
};

// Inbound, and a server that runs `script` on each connection.
class InboundBeside {
public:
    explicit InboundBeside(lab::Acceptor::Script script, int receive_buffer = 0)
        : app_(std::move(script), receive_buffer), boot_(beside(app_)) {
        inbound_.on_heartbeat("i-0", 4, false, 1);
    }
    // The answer to a once-only request, when it has come.
    HttpResponse answer_to(const std::string& id, const std::string& body = "") {
        auto request = std::make_shared<HeldRequest>(http::verb::post, "/x", 11);
        request->set(kRequestId, id);
        request->set(kDeadline, "2500");
        request->set(kCaller, "till");
        request->set(kInstance, "i-0");
        request->set(kHop, "r;0;1000;2;1;1");
        request->body() = body;
        const auto client = std::make_shared<WaitingClient>();
        inbound_.arrived(std::move(request), 0, client);
        const auto end = std::chrono::steady_clock::now() + lab::kPatience;
        while (!client->said && std::chrono::steady_clock::now() < end) run_for(std::chrono::milliseconds(1));
        run_for(kReuseDelay);
        return client->said.value_or(HttpResponse());
    }
    std::string verdict_on(const std::string& id, const std::string& body = "") {
        return std::string(answer_to(id, body)[kVerdict]);
    }
    int connections() const { return app_.connections; }

private:
    static boot::Boot beside(const lab::Acceptor& app) {
        boot::Boot b;
        b.ip = "127.0.0.1";
        b.app_address = app.at;
        return b;
    }
    void run_for(std::chrono::milliseconds time) {
        io_.restart();
        io_.run_for(time);
    }
    asio::io_context io_{1};
    Clock clock_;
    lab::Acceptor app_;
    boot::Boot boot_;
    Inbound inbound_{io_, clock_, boot_, {[] { return std::uint64_t{1}; }, [](std::uint64_t) {}}};
};

// Answers the first request by `first`; before the answer to the next one on that connection comes `late`.
lab::Acceptor::Script late_bytes_after(std::function<std::string(const HttpRequest&)> first,
                                       std::string late) {
    return [first, late, begun = std::make_shared<std::atomic<bool>>(false)](Wire& wire) {
        HttpRequest request;
        if (!begun->exchange(true)) {
            if (!wire.read(request)) return;
            wire.write(first(request));
            if (!wire.read(request)) return;
            wire.write(late);
            return serve(wire, request);
        }
        while (wire.read(request)) serve(wire, request);
    };
}
std::string success_text(const HttpRequest& request) {
    return "HTTP/1.1 200 OK\r\n" + id_field(request) + field(kPostmark, "3e1b") + "Content-Length: 0\r\n\r\n";
}

bool is_promise(unsigned status) { return status == 503 || status == 429 || status == 408 || status == 421; }

// The caller side of a hop, for one once-only request that has been sent.
struct SentRequest {
    Clock clock;
    MeshDialect dialect{{clock, [] { return std::size_t{1}; }, [] { return std::uint64_t{0}; },
                         [](const std::string&) {}, [](const std::string&, std::uint64_t) {}},
                        {}};
    HttpRequest message;
    RequestContext context;
    SentRequest() {
        message.set(kHop, "r;0;500;3;0;1");
        dialect.classify(message, context);
        REQUIRE(dialect.may_send(message, context, "i-1"));
    }
    bool is_refused() { return is_promise(dialect.refusal(context, 100).result_int()); }
};

}  // namespace

TEST_SUITE_BEGIN("incident refused: late refusal");

TEST_CASE("refused: a late copy of a refusal without an id is not the next request's answer") {
    for (const std::string& refusal : {kFull, kOtherInstance}) {
        InboundBeside proxy(late_bytes_after([&](const HttpRequest&) { return refusal; }, refusal));
        CHECK(proxy.verdict_on("a") == "not-run turned-away");
        CHECK(proxy.verdict_on("b") == "ran");
    }
}

TEST_CASE("refused: a late copy of a refusal is not the answer when its request is sent again") {
    const std::string refusal =
        "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: a\r\nContent-Length: 0\r\n\r\n";
    InboundBeside proxy(late_bytes_after([&](const HttpRequest&) { return refusal; }, refusal));
    CHECK(proxy.verdict_on("a") == "not-run turned-away");
    CHECK(proxy.verdict_on("a") == "ran");
}

TEST_CASE("refused: a refusal without an id proves nothing on a connection that has served another request") {
    for (const std::string& refusal : {kFull, kOtherInstance}) {
        InboundBeside proxy(late_bytes_after(success_text, refusal));
        CHECK(proxy.verdict_on("a") == "ran");
        CHECK(proxy.verdict_on("b") == "may-have-run broken");
        CHECK(proxy.connections() == 1);
        CHECK(proxy.verdict_on("c") == "ran");
        CHECK(proxy.connections() == 2);
    }
}

TEST_SUITE_END();
TEST_SUITE_BEGIN("incident refused: request cut short");

TEST_CASE("refused: a request that a server reset before it had read the whole may have run") {
    std::atomic<int> begun{0};
    InboundBeside proxy(
        [&](Wire& wire) {
            char head[4096];
            if (::recv(wire.socket.native_handle(), head, sizeof head, 0) > 0) ++begun;
            wire.reset();
        },
        4096);
    CHECK(proxy.verdict_on("a", std::string(16 << 20, 'x')) == "may-have-run broken");
    CHECK(begun == 1);
}

TEST_CASE("refused: a refusal that came before the whole request was written is read") {
    InboundBeside proxy(
        [&](Wire& wire) {
            char head[4096];
            (void)::recv(wire.socket.native_handle(), head, sizeof head, 0);
            wire.write(kFull);
        },
        4096);
    CHECK(proxy.verdict_on("a", std::string(16 << 20, 'x')) == "not-run turned-away");
}

TEST_SUITE_END();
TEST_SUITE_BEGIN("incident refused: answer without a verdict");

TEST_CASE("refused: an answer of another proxy without a verdict is no proof") {
    for (const unsigned status : {503U, 408U, 429U, 421U}) {
        CAPTURE(status);
        SentRequest request;
        const HttpResponse answer(static_cast<http::status>(status), 11);
        const AttemptResult end = request.dialect.read(Outcome::errored, &answer, request.context);
        CHECK_FALSE(end.final);
        CHECK_FALSE(request.is_refused());
    }
}

TEST_CASE("refused: a server's Connection field does not remove the verdict and the id") {
    InboundBeside proxy([](Wire& wire) {
        HttpRequest request;
        while (wire.read(request))
            wire.respond(200, "fine",
                         id_field(request) + field(kPostmark, "3e1b") +
                             "Connection: Mesh-Verdict, Request-Id, Postmark\r\n");
    });
    const HttpResponse answer = proxy.answer_to("a");
    CHECK(answer[kVerdict] == "ran");
    CHECK(answer[kRequestId] == "a");
    CHECK(answer[kPostmark] == "3e1b");
}

TEST_SUITE_END();
TEST_SUITE_BEGIN("incident refused: attempt under way");

TEST_CASE("refused: no request is refused while an attempt has not ended") {
    SentRequest request;
    CHECK_FALSE(request.is_refused());
    const HttpResponse full = proxy_answer({Execution::not_run, Reason::full});
    request.dialect.read(Outcome::errored, &full, request.context);
    CHECK(request.is_refused());
}

TEST_SUITE_END();
