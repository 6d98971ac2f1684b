#include "config_io/config_distributor.hpp"

#include "config/codec.hpp"
#include "config/parse.hpp"
#include "log/log.hpp"

namespace cobaltshift::config {

namespace {

using End = FetchSchedule::End;

// Milliseconds on the steady clock.
FetchSchedule::Millis steady_now() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

constexpr std::uint64_t kFetchRequest = 0x51465343, kFetchResponse = 0x41465343, kCurrentRequest = 0x51435343,
                        kCurrentResponse = 0x41435343;
constexpr std::size_t kRequestBytes = 12, kCurrentResponseBytes = 16, kReadChunkBytes = 16 * 1024;
constexpr double kMinRetryDelayMs = 1;  // keeps the retry timer from firing in a busy loop

void append_little_endian(std::string& bytes, std::uint64_t value, int size) {
    for (int i = 0; i < size; ++i) bytes += static_cast<char>(value >> (8 * i));
}
std::uint64_t read_little_endian(std::string_view bytes, std::size_t at, std::size_t size) {
    std::uint64_t value = 0;
    for (std::size_t i = size; i > 0; --i) value = value << 8 | static_cast<unsigned char>(bytes[at + i - 1]);
    return value;
}

}  // namespace

// ---- Serving ---------------------------------------------------------------------------------------------

struct ConfigDistributor::ServerConnection : std::enable_shared_from_this<ServerConnection> {
    ServerConnection(ConfigDistributor& owner, tcp::socket from)
        : distributor(owner), alive(owner.alive_), socket(std::move(from)), timer(owner.io_) {
        ++distributor.serving_;
    }
    ~ServerConnection() {
        if (*alive) --distributor.serving_;
    }
    void start() {
        timer.expires_after(kServeTimeout);
        timer.async_wait([self = weak_from_this()](error_code ec) {
            error_code ignored;
            if (const auto s = self.lock(); s && !ec) s->socket.close(ignored);
        });
        asio::async_read(socket, asio::buffer(request),
                         [self = shared_from_this()](error_code ec, std::size_t) {
                             if (!ec && *self->alive) self->answer();
                             if (ec) self->timer.cancel();
                         });
    }
    void answer() {
        const std::string_view question(request.data(), request.size());
        if (read_little_endian(question, 0, 4) == kCurrentRequest) return answer_current();
        if (read_little_endian(question, 0, 4) != kFetchRequest) {
            ++distributor.counts_.refused;
            timer.cancel();
            return;
        }
        parts = distributor.parts_since(read_little_endian(question, 4, 8));
        append_little_endian(headers, kFetchResponse, 4);
        append_little_endian(headers, parts.size(), 4);
        for (const auto& part : parts) append_little_endian(headers, part->size(), 4);
        std::vector<asio::const_buffer> buffers{asio::buffer(headers.data(), 8)};
        std::size_t total_bytes = 8;
        for (std::size_t i = 0; i < parts.size(); ++i) {
            buffers.push_back(asio::buffer(headers.data() + 8 + 4 * i, 4));
            buffers.push_back(asio::buffer(*parts[i]));
            total_bytes += 4 + parts[i]->size();
        }
        ++distributor.counts_.served;
        distributor.counts_.served_bytes += total_bytes;
        asio::async_write(socket, buffers, [self = shared_from_this()](error_code, std::size_t) {
            error_code ignored;
            self->timer.cancel();
            self->socket.shutdown(tcp::socket::shutdown_send, ignored);
        });
    }

    void answer_current() {
        if (!distributor.on_ask_current) return send_current({});
        distributor.on_ask_current([self = shared_from_this()](const CurrentAnswer& answer) {
            if (*self->alive) self->send_current(answer);
        });
    }
    void send_current(const CurrentAnswer& answer) {
        append_little_endian(headers, kCurrentResponse, 4);
        append_little_endian(headers, static_cast<std::uint64_t>(answer.kind), 4);
        append_little_endian(
            headers, answer.kind == CurrentAnswer::Kind::elsewhere ? answer.leader : answer.edition, 8);
        asio::async_write(socket, asio::buffer(headers),
                          [self = shared_from_this()](error_code, std::size_t) {
                              error_code ignored;
                              self->timer.cancel();
                              self->socket.shutdown(tcp::socket::shutdown_send, ignored);
                          });
    }

    ConfigDistributor& distributor;
    std::shared_ptr<bool> alive;
    tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, kRequestBytes> request{};
    std::string headers;
    std::vector<std::shared_ptr<const std::string>> parts;
};

void ConfigDistributor::accept() {
    acceptor_.async_accept([this, alive = alive_](error_code ec, tcp::socket socket) {
        if (!*alive || stopped_) return;
        if (ec) {  // most often out of file descriptors
            accept_timer_.expires_after(std::chrono::milliseconds(50));
            accept_timer_.async_wait([this, alive](error_code wait) {
                if (!wait && *alive && !stopped_) accept();
            });
            return;
        }
        if (serving_ < kMaxServed)
            std::make_shared<ServerConnection>(*this, std::move(socket))->start();
        else
            ++counts_.turned_away;
        accept();
    });
}

std::vector<std::shared_ptr<const std::string>> ConfigDistributor::parts_since(Edition since) {
    std::vector<std::shared_ptr<const std::string>> parts;
    if (!held_ || since >= held_->edition) return parts;
    for (const Delta& delta : deltas_)
        if (delta.from == since) {
            parts.push_back(delta.bytes);
            since = delta.to;
        }
    if (since == held_->edition) return parts;
    auto full = full_bytes_.lock();
    if (!full) full_bytes_ = full = std::make_shared<const std::string>(encode(*held_));
    return {full};
}

// ---- Held configuration ----------------------------------------------------------------------------------

ConfigDistributor::ConfigDistributor(asio::io_context& io, const std::string& ip, std::uint16_t port)
    : io_(io),
      ip_(asio::ip::make_address_v4(ip).to_uint()),
      port_(port),
      acceptor_(io, {asio::ip::make_address_v4(ip), port}),
      accept_timer_(io),
      retry_timer_(io) {
    accept();
}

ConfigDistributor::~ConfigDistributor() {
    stop();
    *alive_ = false;
}

void ConfigDistributor::install(std::shared_ptr<const Configuration> configuration,
                                std::shared_ptr<const std::string> delta) {
    if (held_) {
        if (!delta) delta = std::make_shared<const std::string>(encode_delta(*held_, *configuration));
        delta_bytes_ += delta->size();
        deltas_.push_back({held_->edition, configuration->edition, std::move(delta)});
        while (deltas_.size() > kMaxDeltas || delta_bytes_ > kMaxDeltaBytes) {
            delta_bytes_ -= deltas_.front().bytes->size();
            deltas_.pop_front();
        }
    }
    held_ = std::move(configuration);
    full_bytes_.reset();
    schedule_.hold(held_->edition);
}

void ConfigDistributor::hold(std::shared_ptr<const Configuration> configuration) {
    if (configuration && configuration->edition > edition()) install(std::move(configuration), nullptr);
}

// ---- Fetching --------------------------------------------------------------------------------------------

struct ConfigDistributor::Fetch : std::enable_shared_from_this<Fetch> {
    Fetch(ConfigDistributor& owner, std::uint32_t from)
        : distributor(owner),
          alive(owner.alive_),
          ip(from),
          socket(owner.io_),
          idle_timer(owner.io_),
          deadline_timer(owner.io_) {}
    void start() {
        append_little_endian(request, kFetchRequest, 4);
        append_little_endian(request, distributor.edition(), 8);
        wait(deadline_timer, kFetchTimeout);
        wait(idle_timer, kFirstByteTimeout);
        socket.async_connect({asio::ip::address_v4(ip), distributor.port_},
                             [self = shared_from_this()](error_code ec) {
                                 if (ec) return self->end(ec.message());
                                 asio::async_write(self->socket, asio::buffer(self->request),
                                                   [self](error_code wrote, std::size_t) {
                                                       if (wrote) return self->end(wrote.message());
                                                       self->read();
                                                   });
                             });
    }
    void wait(asio::steady_timer& timer, std::chrono::milliseconds time) {
        timer.expires_after(time);
        timer.async_wait([self = weak_from_this()](error_code ec) {
            if (const auto s = self.lock(); s && !ec) s->end("timed out");
        });
    }
    void read() {
        wait(idle_timer, response.empty() && parts_left < 0 ? kFirstByteTimeout : kIdleTimeout);
        const std::size_t received = response.size();
        response.resize(received + kReadChunkBytes);
        socket.async_read_some(asio::buffer(response.data() + received, kReadChunkBytes),
                               [self = shared_from_this(), received](error_code ec, std::size_t n) {
                                   if (self->finished) return;
                                   self->response.resize(received + n);
                                   if (n > 0) self->distributor.schedule_.response_started(self->ip);
                                   if (ec) return self->end(ec.message());
                                   self->parse_response();
                               });
    }
    // Consumes the parts that have arrived completely, and ends the fetch after the last one.
    void parse_response() {
        std::size_t at = 0;
        if (parts_left < 0) {
            if (response.size() < 8) return read();
            if (read_little_endian(response, 0, 4) != kFetchResponse ||
                read_little_endian(response, 4, 4) > kMaxDeltas)
                return end("malformed response");
            parts_left = static_cast<int>(read_little_endian(response, 4, 4));
            at = 8;
        }
        for (; parts_left > 0 && response.size() >= at + 4; --parts_left) {
            const std::size_t size = read_little_endian(response, at, 4);
            total_bytes += size;
            if (total_bytes > kMaxConfigurationBytes) return end("response exceeds kMaxConfigurationBytes");
            if (response.size() < at + 4 + size) {
                total_bytes -= size;
                break;
            }
            parts.push_back(response.substr(at + 4, size));
            at += 4 + size;
        }
        response.erase(0, at);
        if (parts_left > 0) return read();
        if (!response.empty()) return end("trailing bytes after the response");
        distributor.counts_.fetched_bytes += total_bytes;
        std::string error = parts.empty() ? "no newer edition" : "";
        const Edition before = distributor.edition();
        distributor.apply_parts(parts, error);
        if (parts.empty()) result = End::nothing_newer;
        if (distributor.edition() > before) result = End::newer;
        end(error);
    }
    void end(const std::string& error) {
        if (finished) return;
        cancel();
        if (*alive) distributor.on_fetch_ended(ip, result, error);
    }
    // Ends the fetch without reporting a result.
    void cancel() {
        finished = true;
        error_code ignored;
        socket.close(ignored);
        idle_timer.cancel();
        deadline_timer.cancel();
    }

    ConfigDistributor& distributor;
    std::shared_ptr<bool> alive;
    const std::uint32_t ip;
    tcp::socket socket;
    asio::steady_timer idle_timer, deadline_timer;
    std::string request, response;
    std::vector<std::string> parts;
    std::size_t total_bytes = 0;
    int parts_left = -1;  // -1: not known yet
    End result = End::failed;
    bool finished = false;
};

struct ConfigDistributor::CurrentQuery : std::enable_shared_from_this<CurrentQuery> {
    CurrentQuery(ConfigDistributor& owner, std::function<void(CurrentAnswer)> to)
        : alive(owner.alive_), socket(owner.io_), timer(owner.io_), done(std::move(to)) {}
    void start(const tcp::endpoint& to) {
        append_little_endian(request, kCurrentRequest, 4);
        append_little_endian(request, 0, 8);
        timer.expires_after(kCurrentQueryTimeout);
        timer.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec) self->end({});
        });
        socket.async_connect(to, [self = shared_from_this()](error_code ec) {
            if (ec) return self->end({});
            asio::async_write(self->socket, asio::buffer(self->request),
                              [self](error_code wrote, std::size_t) {
                                  if (wrote) return self->end({});
                                  self->read();
                              });
        });
    }
    void read() {
        asio::async_read(socket, asio::buffer(response),
                         [self = shared_from_this()](error_code ec, std::size_t) {
                             if (ec) return self->end({});
                             const std::string_view reply(self->response.data(), self->response.size());
                             const std::uint64_t kind = read_little_endian(reply, 4, 4),
                                                 value = read_little_endian(reply, 8, 8);
                             CurrentAnswer answer;
                             if (read_little_endian(reply, 0, 4) == kCurrentResponse &&
                                 kind <= static_cast<std::uint64_t>(CurrentAnswer::Kind::elsewhere))
                                 answer.kind = static_cast<CurrentAnswer::Kind>(kind);
                             answer.edition = value;
                             answer.leader = static_cast<std::uint32_t>(value);
                             self->end(answer);
                         });
    }
    void end(const CurrentAnswer& answer) {
        if (std::exchange(finished, true)) return;
        error_code ignored;
        socket.close(ignored);
        timer.cancel();
        if (*alive) done(answer);
    }

    std::shared_ptr<bool> alive;
    tcp::socket socket;
    asio::steady_timer timer;
    std::function<void(CurrentAnswer)> done;
    std::string request;
    std::array<char, kCurrentResponseBytes> response{};
    bool finished = false;
};

void ConfigDistributor::ask_current(std::uint32_t ip, std::function<void(CurrentAnswer)> done) {
    if (stopped_) return;
    std::make_shared<CurrentQuery>(*this, std::move(done))->start({asio::ip::address_v4(ip), port_});
}

void ConfigDistributor::hint(std::uint32_t ip, Edition edition) {
    if (ip == ip_ || edition <= this->edition() || stopped_) return;
    schedule_.hint(ip, edition);
    fetch();
}

void ConfigDistributor::fetch() {
    if (stopped_) return;
    const auto known = control_nodes ? control_nodes() : std::vector<std::uint32_t>();
    while (const auto ip = schedule_.next(steady_now(), known)) {
        const auto started = std::make_shared<Fetch>(*this, *ip);
        fetches_[*ip] = started;
        started->start();
    }
    const auto due = schedule_.due();
    if (!due) return;
    retry_timer_.expires_after(
        std::chrono::microseconds(static_cast<long>(1000 * std::max(kMinRetryDelayMs, *due - steady_now()))));
    retry_timer_.async_wait([this, alive = alive_](error_code ec) {
        if (!ec && *alive) fetch();
    });
}

// Called after a fetch brought a newer edition: the others in flight were requested from an older one.
void ConfigDistributor::cancel_fetches() {
    for (const auto& [ip, fetch] : std::exchange(fetches_, {})) {
        fetch->cancel();
        schedule_.ended(ip, End::failed);
    }
}

void ConfigDistributor::apply_parts(const std::vector<std::string>& parts, std::string& error) {
    for (const std::string& part : parts) {
        auto next = decode(part, held_.get(), error);
        if (!next) return;
        if (next->edition <= edition()) continue;
        // A received delta is served to other nodes as it is.
        install(std::move(next), is_delta(part) ? std::make_shared<const std::string>(part) : nullptr);
    }
}

void ConfigDistributor::on_fetch_ended(std::uint32_t ip, End end, const std::string& error) {
    fetches_.erase(ip);
    schedule_.ended(ip, end);
    if (stopped_) return;
    if (!error.empty()) {
        ++counts_.failed;
        log_line("SB070 configuration not fetched",
                 "no configuration from " + asio::ip::address_v4(ip).to_string() + ": " + error,
                 {{"from", asio::ip::address_v4(ip).to_string()}, {"why", error}});
    }
    if (end == End::newer) {
        ++counts_.fetched;
        cancel_fetches();
        if (on_new_configuration) on_new_configuration(held_);
    }
    fetch();
}

void ConfigDistributor::stop() {
    stopped_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
    retry_timer_.cancel();
    cancel_fetches();
}

}  // namespace cobaltshift::config
