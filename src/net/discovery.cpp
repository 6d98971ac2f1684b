#include "net/discovery.hpp"

#include <nlohmann/json.hpp>
#include <random>

#include "log/log.hpp"

namespace cobaltshift {

namespace {
constexpr int kLongPollMs = 20000;
// A long poll may take the server's wait plus the transfer of a long list; a call without a wait takes less.
constexpr std::chrono::milliseconds kLongPollMargin{2000}, kCallTimeout{2000};
// A discovery service shared by all sidecars queues their calls and itself rejects those that have waited too
// long.
constexpr std::chrono::milliseconds kSharedServiceTimeout{6000};
constexpr std::uint64_t kMaxListBytes = 16 * 1024 * 1024;
}  // namespace

struct Discovery::Call {
    explicit Call(std::unique_ptr<beast::tcp_stream> s) : stream(std::move(s)) {}
    std::unique_ptr<beast::tcp_stream> stream;
    http::request<http::empty_body> request;
    http::response_parser<http::string_body> parser;
    beast::flat_buffer buffer;
    bool full = false;
};

Discovery::Discovery(asio::io_context& io, const Config& config, Handlers handlers)
    : io_(io),
      config_(config),
      endpoint_(config.discovery),
      handlers_(std::move(handlers)),
      retry_timer_(io) {
    if (config.known) seq_ = config.known->seq;
    resync_needed_ = !config.known;
}

void Discovery::watch(bool active) {
    active_ = active;
    if (active && !call_) next();
}

void Discovery::fetch() {
    fetch_requested_ = true;
    if (!call_) next();
}

void Discovery::set_endpoint(const tcp::endpoint& to) {
    if (to == endpoint_) return;
    log_line("discovery.moves", "discovery moves",
             {{"to", to.address().to_string() + ":" + std::to_string(to.port())}});
    endpoint_ = to;
    const auto old = std::move(call_);
    call_.reset();
    if (old) old->stream->close();
    idle_stream_.reset();
    seq_ = 0;  // sequence numbers of different servers are not comparable
    resync_needed_ = true;
    next();
}

void Discovery::next() {
    if (call_ || (!active_ && !fetch_requested_)) return;
    retry_timer_.cancel();
    call(resync_needed_ || fetch_requested_);
}

void Discovery::call(bool full) {
    const bool new_connection = !idle_stream_;
    auto call = std::make_shared<Call>(new_connection ? std::make_unique<beast::tcp_stream>(io_)
                                                      : std::move(idle_stream_));
    idle_stream_.reset();
    call_ = call;
    call->full = full;
    std::string target = "/v1/servers";
    if (!full) target += "?after=" + std::to_string(seq_) + "&wait_ms=" + std::to_string(kLongPollMs);
    call->request = {http::verb::get, target, 11};
    call->request.set(http::field::host, endpoint_.address().to_string());
    call->parser.body_limit(kMaxListBytes);
    const auto fail = [this, call](error_code ec) {
        if (ec) failed(call, ec.message());
        return ec || call_ != call;  // abandoned by set_endpoint()
    };
    const auto exchange = [this, call, fail] {
        const auto timeout = config_.settings.subscribe_to_list ? kSharedServiceTimeout : kCallTimeout;
        call->stream->expires_after(call->full ? timeout
                                               : std::chrono::milliseconds(kLongPollMs) + kLongPollMargin);
        http::async_write(*call->stream, call->request, [this, call, fail](error_code ec, std::size_t) {
            if (fail(ec)) return;
            // The head is read separately: when it is read together with the first bytes of the body,
            // Beast 1.74 continues after reporting that Content-Length exceeds the limit.
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
    if (!new_connection) return exchange();
    call->stream->expires_after(kCallTimeout);
    call->stream->async_connect(endpoint_, [fail, exchange](error_code ec) {
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
        return failed(call, std::string("an answer that can't be parsed: ") + error.what());
    }
    if (call->full && !list.is_full)
        return failed(call, "an incremental list in answer to a request for the full list");
    if (list.seq < seq_) {
        resync_needed_ = true;
        return failed(call, "a list older than the one held");
    }
    call_.reset();
    if (call->parser.keep_alive()) idle_stream_ = std::move(call->stream);
    seq_ = list.seq;
    if (list.is_full) resync_needed_ = false;
    if (call->full) fetch_requested_ = false;
    // The next call is sent before the list is applied, so that the watch has no gap.
    next();
    if (list.is_full || !list.hosts.empty() || config_.settings.subscribe_to_list) handlers_.on_list(list);
}

void Discovery::failed(const std::shared_ptr<Call>& call, const std::string& why) {
    if (call_ != call) return;
    log_line("discovery.failed", "discovery call failed: " + why, {{"why", why}});
    call_.reset();
    idle_stream_.reset();
    // A discovery service shared by all sidecars is asked only for the changes after the version held:
    // requests for the full list from all sidecars would keep an overloaded service overloaded.
    if (!config_.settings.subscribe_to_list) resync_needed_ = true;
    if (config_.settings.subscribe_to_list) {
        active_ = false, fetch_requested_ = false;
        return handlers_.on_failure();
    }
    // Retries soon, as requests fail while the list is outdated, but with jitter, so that sidecars neither
    // retry in step nor in a busy loop.
    static std::minstd_rand random{std::random_device{}()};
    retry_timer_.expires_after(std::chrono::milliseconds(50 + random() % 100));
    retry_timer_.async_wait([this](error_code ec) {
        if (!ec) next();
    });
}

}  // namespace cobaltshift
