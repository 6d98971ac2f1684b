#include "net/upstream.hpp"

#include <algorithm>
#include <sstream>

namespace kelplb::net {

struct Upstream::Job {
    AttemptKey key;
    bool probe = false;
    RequestPtr request;
    Millis sent_at = 0;
    Millis until = 0;
};

struct Upstream::Link {
    enum class State { connecting, writing, reading, idle, closed };

    Link(asio::io_context& io, ServerId id, const tcp::endpoint& endpoint)
        : server(id), to(endpoint), socket(io), timer(io) {}

    ServerId server;
    tcp::endpoint to;
    tcp::socket socket;
    asio::steady_timer timer;  // connecting, probing and idling; an attempt's own end comes from outside
    State state = State::connecting;
    std::unique_ptr<Job> job;
    std::string out;
    std::size_t out_done = 0;
    beast::flat_buffer in{kMaxHeader + kMaxBody};
    std::optional<http::response_parser<http::string_body>> parser;
    Millis idle_since = 0;
};

Upstream::Upstream(asio::io_context& io, const Clock& clock, Limits limits, Handlers handlers)
    : io_(io), clock_(clock), limits_(limits), handlers_(std::move(handlers)) {}

Upstream::~Upstream() = default;

void Upstream::send(AttemptKey key, ServerId server, const tcp::endpoint& to, RequestPtr request,
                    Millis until) {
    auto job = std::make_unique<Job>();
    job->key = key;
    job->request = std::move(request);
    job->sent_at = clock_.now();
    job->until = until;
    start(std::move(job), server, to);
}

void Upstream::probe(ServerId server, const tcp::endpoint& to) {
    auto request = std::make_shared<HttpRequest>(http::verb::get, "/healthz", 11);
    request->set(http::field::host, to.address().to_string());
    auto job = std::make_unique<Job>();
    job->probe = true;
    job->request = std::move(request);
    job->sent_at = clock_.now();
    job->until = job->sent_at + limits_.connect_timeout;  // slower than this, it is not fit to be asked
    start(std::move(job), server, to);
}

void Upstream::start(std::unique_ptr<Job> job, ServerId server, const tcp::endpoint& to) {
    LinkPtr link = take_idle(server, to);
    const bool fresh = !link;
    if (fresh) {
        if (open_ >= limits_.connections) {  // make room: the oldest of those that nobody uses
            LinkPtr oldest;
            for (const auto& [id, links] : idle_)
                if (!links.empty() && (!oldest || links.front()->idle_since < oldest->idle_since))
                    oldest = links.front();
            if (oldest) drop(oldest);
        }
        link = std::make_shared<Link>(io_, server, to);
    }
    if (!job->probe) attempts_[job->key] = link;
    if (job->probe) {
        link->timer.expires_at(clock_.point(job->until));
        link->timer.async_wait([this, link](error_code ec) {
            if (ec || !link->job || !link->job->probe || link->state == Link::State::closed) return;
            end(link, link->state == Link::State::connecting ? Outcome::refused_connection : Outcome::overdue,
                nullptr, false);
        });
    }
    link->job = std::move(job);
    if (!fresh) return write(link);
    if (open_ >= limits_.connections) {  // no descriptor to spare: it never goes out
        link->state = Link::State::closed;
        return report(std::move(link->job), server, Outcome::refused_connection, nullptr);
    }
    connect(link);
}

// The newest first: the older ones then reach their idle limit and go. What has ended in the meantime, or has
// something to say unasked, is not fit to be written to, and nothing may be sent twice to find that out.
Upstream::LinkPtr Upstream::take_idle(ServerId server, const tcp::endpoint& to) {
    const auto at = idle_.find(server);
    while (at != idle_.end() && !at->second.empty()) {
        LinkPtr link = at->second.back();
        if (link->to != to || peek(link->socket) != Quiet::nothing) {
            drop(link);
            continue;
        }
        at->second.pop_back();
        link->timer.cancel();
        return link;
    }
    return nullptr;
}

void Upstream::connect(const LinkPtr& link) {
    error_code ec;
    link->socket.open(link->to.protocol(), ec);
    if (!ec) link->socket.set_option(tcp::no_delay(true), ec);
    if (!ec) link->socket.non_blocking(true, ec);
    ++open_;
    if (ec) return end(link, Outcome::refused_connection, nullptr, false);
    if (!link->job->probe) {
        link->timer.expires_at(clock_.point(clock_.now() + limits_.connect_timeout));
        link->timer.async_wait([this, link](error_code error) {
            if (!error && link->state == Link::State::connecting)
                end(link, Outcome::refused_connection, nullptr, false);
        });
    }
    link->socket.async_connect(link->to, [this, link](error_code error) {
        if (link->state != Link::State::connecting) return;
        if (error) return end(link, Outcome::refused_connection, nullptr, false);
        if (!link->job->probe) link->timer.cancel();
        write(link);
    });
}

void Upstream::write(const LinkPtr& link) {
    Job& job = *link->job;
    link->state = Link::State::writing;
    HttpRequest message = *job.request;
    if (!job.probe) {
        // Whole milliseconds would round a short time to nothing.
        const double left = std::max(0.0, job.until - clock_.now());
        message.set("X-Time-Left", std::to_string(static_cast<long long>(left * 1000)) + "u");
    }
    std::ostringstream text;
    text << message;
    link->out = std::move(text).str();
    link->out_done = 0;
    // Directly: nearly every request fits, and how much of it has gone out is known at once.
    error_code ec;
    const std::size_t bytes = link->socket.write_some(asio::buffer(link->out), ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) ec = {};
    written(link, ec, bytes);
}

void Upstream::written(const LinkPtr& link, error_code ec, std::size_t bytes) {
    link->out_done += bytes;
    // A server begins a request with its last byte: short of that, it never ran.
    if (ec) return end(link, Outcome::refused_connection, nullptr, false);
    if (link->out_done == link->out.size()) return read(link);
    const auto rest = asio::buffer(link->out) + link->out_done;
    link->socket.async_write_some(rest, [this, link](error_code error, std::size_t n) {
        if (link->state == Link::State::writing) written(link, error, n);
    });
}

void Upstream::read(const LinkPtr& link) {
    link->state = Link::State::reading;
    link->parser.emplace();
    link->parser->header_limit(kMaxHeader);
    link->parser->body_limit(kMaxBody);
    http::async_read(link->socket, link->in, *link->parser, [this, link](error_code ec, std::size_t) {
        if (link->state != Link::State::reading) return;
        // An answer that only the connection's end would end may have been cut short.
        if (ec || link->parser->need_eof()) return end(link, Outcome::severed, nullptr, false);
        if (link->parser->get().result_int() < 200) return read(link);  // 1xx: more follows
        answered(link);
    });
}

void Upstream::answered(const LinkPtr& link) {
    // Bytes behind the answer belong to nobody: such a connection is not used again.
    const bool keep = link->parser->keep_alive() && link->in.size() == 0;
    HttpResponse response = link->parser->release();
    link->parser.reset();
    const unsigned status = response.result_int();
    Outcome outcome = Outcome::errored;
    if (status == 200)
        outcome = Outcome::completed;
    else if ((status == 503 || status == 504) && response["X-Unprocessed"] == "1")
        outcome = Outcome::saturated;
    end(link, outcome, &response, keep);
}

void Upstream::park(const LinkPtr& link) {
    link->state = Link::State::idle;
    link->idle_since = clock_.now();
    link->out = std::string();
    link->in.clear();
    if (link->in.capacity() > kMaxHeader) link->in.shrink_to_fit();
    idle_[link->server].push_back(link);
    // Well before the server does: what is written to a connection that it has closed is lost.
    link->timer.expires_at(
        clock_.point(link->idle_since + limits_.idle_close - std::min(1000.0, limits_.idle_close / 4)));
    link->timer.async_wait([this, link](error_code ec) {
        if (!ec && link->state == Link::State::idle) drop(link);
    });
    link->socket.async_wait(tcp::socket::wait_read, [this, link](error_code) {
        // Whether ended or talking unasked, an idle connection that wakes is of no more use.
        if (link->state == Link::State::idle && peek(link->socket) != Quiet::nothing) drop(link);
    });
}

void Upstream::drop(const LinkPtr& link) {
    if (link->state == Link::State::closed) return;
    if (link->state == Link::State::idle) std::erase(idle_[link->server], link);
    link->state = Link::State::closed;
    link->timer.cancel();
    error_code ignored;
    link->socket.close(ignored);
    --open_;
}

void Upstream::end(const LinkPtr& link, Outcome outcome, HttpResponse* response, bool keep) {
    std::unique_ptr<Job> job = std::move(link->job);
    link->timer.cancel();
    // The connection goes before anything is told, so that no next attempt can be out beside it.
    if (keep)
        park(link);
    else
        drop(link);
    report(std::move(job), link->server, outcome, response);
}

void Upstream::report(std::unique_ptr<Job> job, ServerId server, Outcome outcome, HttpResponse* response) {
    if (job->probe) return handlers_.probe_ended(server, outcome, clock_.now() - job->sent_at);
    attempts_.erase(job->key);
    handlers_.attempt_ended(job->key, outcome, response);
}

void Upstream::stop(AttemptKey key, Outcome unwritten, Outcome other) {
    const auto at = attempts_.find(key);
    if (at == attempts_.end()) return;
    const LinkPtr link = at->second;
    end(link, link->state == Link::State::connecting ? unwritten : other, nullptr, false);
}

void Upstream::expire(AttemptKey key) { stop(key, Outcome::refused_connection, Outcome::overdue); }
void Upstream::cancel(AttemptKey key) { stop(key, Outcome::superseded, Outcome::recalled); }

void Upstream::withdraw_request(RequestId id) {
    std::vector<LinkPtr> links;
    for (auto at = attempts_.lower_bound({id, 0}); at != attempts_.end() && at->first.id == id; ++at)
        if (at->second->state == Link::State::connecting) links.push_back(at->second);
    for (const LinkPtr& link : links) end(link, Outcome::superseded, nullptr, false);
}

void Upstream::withdraw_server(ServerId server) {
    std::vector<LinkPtr> links;
    for (const auto& [key, link] : attempts_)
        if (link->server == server && link->state == Link::State::connecting) links.push_back(link);
    for (const LinkPtr& link : links) end(link, Outcome::superseded, nullptr, false);
    close_idle(server);
}

void Upstream::close_idle(ServerId server) {
    const auto at = idle_.find(server);
    if (at == idle_.end()) return;
    const std::vector<LinkPtr> links = at->second;
    for (const LinkPtr& link : links) drop(link);
    idle_.erase(server);
}

}  // namespace kelplb::net
