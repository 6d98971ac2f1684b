#include "config_io/config_distributor.hpp"

#include "config/codec.hpp"
#include "config/parse.hpp"
#include "log/log.hpp"

namespace cobaltshift::config {

namespace {

using End = FetchSchedule::End;

// Of the steady clock, in ms.
FetchSchedule::Millis steady_now() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

constexpr std::uint64_t kAsk = 0x51465343, kTold = 0x41465343, kAskCurrent = 0x51435343,
                        kCurrent = 0x41435343;
constexpr std::size_t kAskBytes = 12, kCurrentBytes = 16, kChunk = 16 * 1024;
constexpr double kLeastRetryMs = 1;  // no timer at once, again and again

void put(std::string& bytes, std::uint64_t value, int size) {
    for (int i = 0; i < size; ++i) bytes += static_cast<char>(value >> (8 * i));
}
std::uint64_t get(std::string_view bytes, std::size_t at, std::size_t size) {
    std::uint64_t value = 0;
    for (std::size_t i = size; i > 0; --i) value = value << 8 | static_cast<unsigned char>(bytes[at + i - 1]);
    return value;
}

}  // namespace

// ---- Serving ---------------------------------------------------------------------------------------------

struct ConfigDistributor::Serving : std::enable_shared_from_this<Serving> {
    Serving(ConfigDistributor& of, tcp::socket from)
        : distributor(of), alive(of.alive_), socket(std::move(from)), timer(of.io_) {
        ++distributor.serving_;
    }
    ~Serving() {
        if (*alive) --distributor.serving_;
    }
    void start() {
        timer.expires_after(kServeWithin);
        timer.async_wait([self = weak_from_this()](error_code ec) {
            error_code ignored;
            if (const auto s = self.lock(); s && !ec) s->socket.close(ignored);
        });
        asio::async_read(socket, asio::buffer(ask), [self = shared_from_this()](error_code ec, std::size_t) {
            if (!ec && *self->alive) self->answer();
            if (ec) self->timer.cancel();
        });
    }
    void answer() {
        const std::string_view asked(ask.data(), ask.size());
        if (get(asked, 0, 4) == kAskCurrent) return answer_current();
        if (get(asked, 0, 4) != kAsk) {
            ++distributor.counts_.refused;
            timer.cancel();
            return;
        }
        parts = distributor.parts_since(get(asked, 4, 8));
        put(heads, kTold, 4);
        put(heads, parts.size(), 4);
        for (const auto& part : parts) put(heads, part->size(), 4);
        std::vector<asio::const_buffer> buffers{asio::buffer(heads.data(), 8)};
        std::size_t total = 8;
        for (std::size_t i = 0; i < parts.size(); ++i) {
            buffers.push_back(asio::buffer(heads.data() + 8 + 4 * i, 4));
            buffers.push_back(asio::buffer(*parts[i]));
            total += 4 + parts[i]->size();
        }
        ++distributor.counts_.served;
        distributor.counts_.served_bytes += total;
        asio::async_write(socket, buffers, [self = shared_from_this()](error_code, std::size_t) {
            error_code ignored;
            self->timer.cancel();
            self->socket.shutdown(tcp::socket::shutdown_send, ignored);
        });
    }

    void answer_current() {
        if (!distributor.on_ask_current) return say_current({});
        distributor.on_ask_current([self = shared_from_this()](const CurrentAnswer& answer) {
            if (*self->alive) self->say_current(answer);
        });
    }
    void say_current(const CurrentAnswer& answer) {
        put(heads, kCurrent, 4);
        put(heads, static_cast<std::uint64_t>(answer.kind), 4);
        put(heads, answer.kind == CurrentAnswer::Kind::elsewhere ? answer.leader : answer.edition, 8);
        asio::async_write(socket, asio::buffer(heads), [self = shared_from_this()](error_code, std::size_t) {
            error_code ignored;
            self->timer.cancel();
            self->socket.shutdown(tcp::socket::shutdown_send, ignored);
        });
    }

    ConfigDistributor& distributor;
    std::shared_ptr<bool> alive;
    tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, kAskBytes> ask{};
    std::string heads;
    std::vector<std::shared_ptr<const std::string>> parts;
};

void ConfigDistributor::accept() {
    acceptor_.async_accept([this, alive = alive_](error_code ec, tcp::socket socket) {
        if (!*alive || stopped_) return;
        if (ec) {  // no descriptor, most often
            accept_timer_.expires_after(std::chrono::milliseconds(50));
            accept_timer_.async_wait([this, alive](error_code wait) {
                if (!wait && *alive && !stopped_) accept();
            });
            return;
        }
        if (serving_ < kMostServed)
            std::make_shared<Serving>(*this, std::move(socket))->start();
        else
            ++counts_.turned_away;
        accept();
    });
}

std::vector<std::shared_ptr<const std::string>> ConfigDistributor::parts_since(Edition have) {
    std::vector<std::shared_ptr<const std::string>> parts;
    if (!held_ || have >= held_->edition) return parts;
    for (const Delta& delta : deltas_)
        if (delta.from == have) {
            parts.push_back(delta.bytes);
            have = delta.to;
        }
    if (have == held_->edition) return parts;
    auto whole = whole_.lock();
    if (!whole) whole_ = whole = std::make_shared<const std::string>(encode(*held_));
    return {whole};
}

// ---- What is held ----------------------------------------------------------------------------------------

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
        while (deltas_.size() > kMostDeltas || delta_bytes_ > kMostDeltaBytes) {
            delta_bytes_ -= deltas_.front().bytes->size();
            deltas_.pop_front();
        }
    }
    held_ = std::move(configuration);
    whole_.reset();
    schedule_.hold(held_->edition);
}

void ConfigDistributor::hold(std::shared_ptr<const Configuration> configuration) {
    if (configuration && configuration->edition > edition()) install(std::move(configuration), nullptr);
}

// ---- Fetching --------------------------------------------------------------------------------------------

struct ConfigDistributor::Fetching : std::enable_shared_from_this<Fetching> {
    Fetching(ConfigDistributor& of, std::uint32_t from)
        : distributor(of), alive(of.alive_), ip(from), socket(of.io_), silence(of.io_), until(of.io_) {}
    void start() {
        put(ask, kAsk, 4);
        put(ask, distributor.edition(), 8);
        wait(until, kFetchWithin);
        wait(silence, kFirstSilence);
        socket.async_connect({asio::ip::address_v4(ip), distributor.port_}, [self = shared_from_this()](
                                                                                error_code ec) {
            if (ec) return self->end(ec.message());
            asio::async_write(self->socket, asio::buffer(self->ask), [self](error_code wrote, std::size_t) {
                if (wrote) return self->end(wrote.message());
                self->read();
            });
        });
    }
    void wait(asio::steady_timer& timer, std::chrono::milliseconds time) {
        timer.expires_after(time);
        timer.async_wait([self = weak_from_this()](error_code ec) {
            if (const auto s = self.lock(); s && !ec) s->end("said nothing in time");
        });
    }
    void read() {
        wait(silence, in.empty() && left < 0 ? kFirstSilence : kSilence);
        const std::size_t had = in.size();
        in.resize(had + kChunk);
        socket.async_read_some(asio::buffer(in.data() + had, kChunk),
                               [self = shared_from_this(), had](error_code ec, std::size_t n) {
                                   if (self->over) return;
                                   self->in.resize(had + n);
                                   if (n > 0) self->distributor.schedule_.answers(self->ip);
                                   if (ec) return self->end(ec.message());
                                   self->look();
                               });
    }
    // What has come whole is taken off; the connection ends with the last part.
    void look() {
        std::size_t at = 0;
        if (left < 0) {
            if (in.size() < 8) return read();
            if (get(in, 0, 4) != kTold || get(in, 4, 4) > kMostDeltas) return end("bytes that are no answer");
            left = static_cast<int>(get(in, 4, 4));
            at = 8;
        }
        for (; left > 0 && in.size() >= at + 4; --left) {
            const std::size_t size = get(in, at, 4);
            total += size;
            if (total > kMostConfigurationBytes) return end("an answer that is too long");
            if (in.size() < at + 4 + size) {
                total -= size;
                break;
            }
            parts.push_back(in.substr(at + 4, size));
            at += 4 + size;
        }
        in.erase(0, at);
        if (left > 0) return read();
        if (!in.empty()) return end("more bytes than an answer");
        distributor.counts_.fetched_bytes += total;
        std::string why = parts.empty() ? "has nothing newer" : "";
        const Edition before = distributor.edition();
        distributor.take(parts, why);
        if (parts.empty()) how = End::nothing_newer;
        if (distributor.edition() > before) how = End::newer;
        end(why);
    }
    void end(const std::string& why) {
        if (over) return;
        drop();
        if (*alive) distributor.fetched(ip, how, why);
    }
    // It is not wanted any more, and tells nobody.
    void drop() {
        over = true;
        error_code ignored;
        socket.close(ignored);
        silence.cancel();
        until.cancel();
    }

    ConfigDistributor& distributor;
    std::shared_ptr<bool> alive;
    const std::uint32_t ip;
    tcp::socket socket;
    asio::steady_timer silence, until;
    std::string ask, in;
    std::vector<std::string> parts;
    std::size_t total = 0;
    int left = -1;  // parts; -1: not known yet
    End how = End::failed;
    bool over = false;
};

struct ConfigDistributor::AskingCurrent : std::enable_shared_from_this<AskingCurrent> {
    AskingCurrent(ConfigDistributor& of, std::function<void(CurrentAnswer)> to)
        : alive(of.alive_), socket(of.io_), timer(of.io_), done(std::move(to)) {}
    void start(const tcp::endpoint& to) {
        put(ask, kAskCurrent, 4);
        put(ask, 0, 8);
        timer.expires_after(kCurrentWithin);
        timer.async_wait([self = shared_from_this()](error_code ec) {
            if (!ec) self->end({});
        });
        socket.async_connect(to, [self = shared_from_this()](error_code ec) {
            if (ec) return self->end({});
            asio::async_write(self->socket, asio::buffer(self->ask), [self](error_code wrote, std::size_t) {
                if (wrote) return self->end({});
                self->read();
            });
        });
    }
    void read() {
        asio::async_read(socket, asio::buffer(in), [self = shared_from_this()](error_code ec, std::size_t) {
            if (ec) return self->end({});
            const std::string_view said(self->in.data(), self->in.size());
            const std::uint64_t kind = get(said, 4, 4), value = get(said, 8, 8);
            CurrentAnswer answer;
            if (get(said, 0, 4) == kCurrent &&
                kind <= static_cast<std::uint64_t>(CurrentAnswer::Kind::elsewhere))
                answer.kind = static_cast<CurrentAnswer::Kind>(kind);
            answer.edition = value;
            answer.leader = static_cast<std::uint32_t>(value);
            self->end(answer);
        });
    }
    void end(const CurrentAnswer& answer) {
        if (std::exchange(over, true)) return;
        error_code ignored;
        socket.close(ignored);
        timer.cancel();
        if (*alive) done(answer);
    }

    std::shared_ptr<bool> alive;
    tcp::socket socket;
    asio::steady_timer timer;
    std::function<void(CurrentAnswer)> done;
    std::string ask;
    std::array<char, kCurrentBytes> in{};
    bool over = false;
};

void ConfigDistributor::ask_current(std::uint32_t ip, std::function<void(CurrentAnswer)> done) {
    if (stopped_) return;
    std::make_shared<AskingCurrent>(*this, std::move(done))->start({asio::ip::address_v4(ip), port_});
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
        const auto fetching = std::make_shared<Fetching>(*this, *ip);
        fetching_[*ip] = fetching;
        fetching->start();
    }
    const auto due = schedule_.due();
    if (!due) return;
    retry_timer_.expires_after(
        std::chrono::microseconds(static_cast<long>(1000 * std::max(kLeastRetryMs, *due - steady_now()))));
    retry_timer_.async_wait([this, alive = alive_](error_code ec) {
        if (!ec && *alive) fetch();
    });
}

// The first that brought something newer is enough: what the others would say is of before.
void ConfigDistributor::drop_fetches() {
    for (const auto& [ip, fetching] : std::exchange(fetching_, {})) {
        fetching->drop();
        schedule_.ended(ip, End::failed);
    }
}

void ConfigDistributor::take(const std::vector<std::string>& parts, std::string& why) {
    for (const std::string& part : parts) {
        auto next = decode(part, held_.get(), why);
        if (!next) return;
        if (next->edition <= edition()) continue;
        // What came as a delta is served on as it is.
        install(std::move(next), is_delta(part) ? std::make_shared<const std::string>(part) : nullptr);
    }
}

void ConfigDistributor::fetched(std::uint32_t ip, End end, const std::string& why) {
    fetching_.erase(ip);
    schedule_.ended(ip, end);
    if (stopped_) return;
    if (!why.empty()) {
        ++counts_.failed;
        log_line("SB070 configuration not fetched",
                 "no configuration from " + asio::ip::address_v4(ip).to_string() + ": " + why,
                 {{"from", asio::ip::address_v4(ip).to_string()}, {"why", why}});
    }
    if (end == End::newer) {
        ++counts_.fetched;
        drop_fetches();
        if (on_new) on_new(held_);
    }
    fetch();
}

void ConfigDistributor::stop() {
    stopped_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
    retry_timer_.cancel();
    drop_fetches();
}

}  // namespace cobaltshift::config
