#include "net/discovery.hpp"

#include <nlohmann/json.hpp>
#include <random>

#include "log/log.hpp"

namespace cobaltshift {

namespace {
constexpr int kWaitMs = 20000;
// A call takes the wait, and what passing on a long list takes; one that has nothing to wait for, less.
constexpr std::chrono::milliseconds kBeyondWait{2000}, kCallTime{2000};
// One service for all sidecars works through their calls in turn, and says itself when one has waited too
// long.
constexpr std::chrono::milliseconds kTurn{6000};
constexpr std::uint64_t kListLimit = 16 * 1024 * 1024;
}  // namespace

struct Discovery::Call {
    explicit Call(std::unique_ptr<beast::tcp_stream> s) : stream(std::move(s)) {}
    std::unique_ptr<beast::tcp_stream> stream;
    http::request<http::empty_body> request;
    http::response_parser<http::string_body> parser;
    beast::flat_buffer buffer;
    bool whole = false;
};

Discovery::Discovery(asio::io_context& io, const Config& config, Handlers handlers)
    : io_(io), config_(config), at_(config.discovery), handlers_(std::move(handlers)), pause_(io) {
    if (config.known) seq_ = config.known->seq;
    gap_ = !config.known;
}

void Discovery::watch(bool active) {
    active_ = active;
    if (active && !call_) next();
}

void Discovery::fetch() {
    fetch_ = true;
    if (!call_) next();
}

void Discovery::move_to(const tcp::endpoint& to) {
    if (to == at_) return;
    log_line("discovery.moves", "discovery moves",
             {{"to", to.address().to_string() + ":" + std::to_string(to.port())}});
    at_ = to;
    const auto old = std::move(call_);
    call_.reset();
    if (old) old->stream->close();
    kept_.reset();
    seq_ = 0;  // the new one counts for itself: a lower number is no older list
    gap_ = true;
    next();
}

void Discovery::next() {
    if (call_ || (!active_ && !fetch_)) return;
    pause_.cancel();
    call(gap_ || fetch_);
}

void Discovery::call(bool whole) {
    const bool fresh = !kept_;
    auto call = std::make_shared<Call>(fresh ? std::make_unique<beast::tcp_stream>(io_) : std::move(kept_));
    kept_.reset();
    call_ = call;
    call->whole = whole;
    std::string target = "/v1/servers";
    if (!whole) target += "?after=" + std::to_string(seq_) + "&wait_ms=" + std::to_string(kWaitMs);
    call->request = {http::verb::get, target, 11};
    call->request.set(http::field::host, at_.address().to_string());
    call->parser.body_limit(kListLimit);
    const auto fail = [this, call](error_code ec) {
        if (ec) failed(call, ec.message());
        return ec || call_ != call;  // moved away from meanwhile
    };
    const auto exchange = [this, call, fail] {
        const auto turn = config_.settings.list_on_request ? kTurn : kCallTime;
        call->stream->expires_after(call->whole ? turn : std::chrono::milliseconds(kWaitMs) + kBeyondWait);
        http::async_write(*call->stream, call->request, [this, call, fail](error_code ec, std::size_t) {
            if (fail(ec)) return;
            // The head by itself: read in one go with the body's first bytes, Beast 1.74 goes on past its own
            // complaint that the stated length is over the limit.
            http::async_read_header(*call->stream, call->buffer, call->parser,
                                    [this, call, fail](error_code bad_head, std::size_t) {
                                        if (fail(bad_head)) return;
                                        http::async_read(*call->stream, call->buffer, call->parser,
                                                         [this, call, fail](error_code error, std::size_t) {
                                                             if (!fail(error)) answered(call);
                                                         });
                                    });
        });
    };
    if (!fresh) return exchange();
    call->stream->expires_after(kCallTime);
    call->stream->async_connect(at_, [fail, exchange](error_code ec) {
        if (!fail(ec)) exchange();
    });
}

void Discovery::answered(const std::shared_ptr<Call>& call) {
    const auto& response = call->parser.get();
    if (response.result_int() != 200) return failed(call, "status " + std::to_string(response.result_int()));
    HostList list;
    try {
        list = read_hosts(nlohmann::json::parse(response.body()));
    } catch (const std::exception& error) {
        return failed(call, std::string("an answer that can't be read: ") + error.what());
    }
    if (call->whole && !list.whole) return failed(call, "changes where the whole list was asked for");
    if (list.seq < seq_) {
        gap_ = true;
        return failed(call, "an older list");
    }
    call_.reset();
    if (call->parser.keep_alive()) kept_ = std::move(call->stream);
    seq_ = list.seq;
    if (list.whole) gap_ = false;
    if (call->whole) fetch_ = false;
    // The next call goes out first, so that the watch never lapses.
    next();
    if (list.whole || !list.hosts.empty() || config_.settings.list_on_request) handlers_.told(list);
}

void Discovery::failed(const std::shared_ptr<Call>& call, const std::string& why) {
    if (call_ != call) return;
    log_line("discovery.failed", "discovery: " + why, {{"why", why}});
    call_.reset();
    kept_.reset();
    // One service for all is asked for what has changed since the version held, as long as it gives any:
    // whole lists for everybody, at the moment when it is behind, are what keeps it behind.
    if (!config_.settings.list_on_request) gap_ = true;
    if (config_.settings.list_on_request) {
        active_ = false, fetch_ = false;
        return handlers_.failed();
    }
    // Soon, for a list that has moved on costs requests; not in step with others, and not in a spin.
    static std::minstd_rand random{std::random_device{}()};
    pause_.expires_after(std::chrono::milliseconds(50 + random() % 100));
    pause_.async_wait([this](error_code ec) {
        if (!ec) next();
    });
}

}  // namespace cobaltshift
