#include "lab/links.hpp"

#include <array>

namespace cobaltshift::lab {

namespace {
constexpr std::size_t kHello = 21;            // of a channel, before its first frame
constexpr std::size_t kMostHeld = 4 << 20;    // bytes of one way; then nothing more is read
constexpr std::size_t kMostFrame = 16 << 20;  // else it is no channel: passed on as it comes
}  // namespace

// One direction of one connection.
struct Links::Way {
    std::array<char, 16384> chunk;
    std::string in;              // not yet a whole frame
    std::size_t plain = kHello;  // bytes to be passed on as they come
    std::string kept;            // a frame that waits to be overtaken
    std::deque<std::pair<Millis, std::string>> out;
    std::size_t out_bytes = 0;
    bool reading = false, writing = false, over = false;
    std::unique_ptr<asio::steady_timer> timer;
};

struct Links::Pair {
    explicit Pair(tcp::socket dialler, asio::io_context& io) : from(std::move(dialler)), to(io) {
        for (Way* way : {&there, &back}) way->timer = std::make_unique<asio::steady_timer>(io);
    }
    tcp::socket from, to;
    Way there, back;
    Link* link = nullptr;
    bool open = true;
};

struct Links::Link {
    Link(asio::io_context& io, std::string its_name, tcp::endpoint target)
        : name(std::move(its_name)),
          to(std::move(target)),
          acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}) {}
    const std::string name;
    const tcp::endpoint to;
    tcp::acceptor acceptor;
    LinkFaults faults;
    std::size_t reset_after = 0;  // bytes; 0: not
    std::list<std::shared_ptr<Pair>> pairs;
};

// A link of datagrams.
struct Links::Post {
    Post(asio::io_context& io, std::string its_name, udp::endpoint target)
        : name(std::move(its_name)),
          to(std::move(target)),
          socket(io, {asio::ip::make_address("127.0.0.1"), 0}) {}
    const std::string name;
    const udp::endpoint to;
    udp::socket socket;
    udp::endpoint from;
    std::array<char, 2048> bytes;
    LinkFaults faults;
};

Links::Links(asio::io_context& io, const Clock& clock, sim::Stream lots)
    : io_(io), clock_(clock), lots_(lots) {}

Links::~Links() {
    *alive_ = false;
    for (Link& link : links_)
        while (!link.pairs.empty()) end(link.pairs.front(), false);
}

tcp::endpoint Links::add(const std::string& name, tcp::endpoint to) {
    Link& link = links_.emplace_back(io_, name, std::move(to));
    accept(link);
    return link.acceptor.local_endpoint();
}

udp::endpoint Links::add(const std::string& name, udp::endpoint to) {
    Post& post = posts_.emplace_back(io_, name, std::move(to));
    receive(post);
    return post.socket.local_endpoint();
}

void Links::receive(Post& post) {
    post.socket.async_receive_from(
        asio::buffer(post.bytes), post.from, [this, &post, alive = alive_](error_code ec, std::size_t n) {
            if (!*alive || ec == asio::error::operation_aborted) return;
            const auto send = [&post](const std::string& bytes) {
                error_code ignored;
                post.socket.send_to(asio::buffer(bytes), post.to, 0, ignored);
            };
            if (!ec) {
                const std::string bytes(post.bytes.data(), n);
                const LinkFaults& faults = post.faults;
                ++counts_.datagrams;
                if (faults.hold_there || lots_.unit() < faults.lost) {
                    ++counts_.lost;
                } else if (lots_.unit() < faults.swapped) {
                    ++counts_.swapped;
                    auto late = std::make_shared<asio::steady_timer>(io_);
                    late->expires_at(clock_.point(clock_.now() + lots_.between(50, 500)));
                    late->async_wait([late, send, bytes, alive](error_code cut) {
                        if (!cut && *alive) send(bytes);
                    });
                } else {
                    if (lots_.unit() < faults.doubled) {
                        ++counts_.doubled;
                        send(bytes);
                    }
                    send(bytes);
                }
            }
            receive(post);
        });
}

void Links::accept(Link& link) {
    link.acceptor.async_accept([this, &link, alive = alive_](error_code ec, tcp::socket socket) {
        if (ec || !*alive) return;
        accept(link);
        ++counts_.connections;
        auto pair = std::make_shared<Pair>(std::move(socket), io_);
        pair->link = &link;
        link.pairs.push_back(pair);
        error_code ignored;
        pair->from.set_option(tcp::no_delay(true), ignored);
        // Held back, its first word does not get through either: that is what a dialler's silence is.
        pair->to.async_connect(link.to, [this, pair, alive](error_code failed) {
            if (!*alive || !pair->open) return;
            if (failed) return end(pair, true);
            error_code none;
            pair->to.set_option(tcp::no_delay(true), none);
            read(pair, true);
            read(pair, false);
        });
    });
}

void Links::read(const std::shared_ptr<Pair>& pair, bool there) {
    Way& way = there ? pair->there : pair->back;
    if (!pair->open || way.reading || way.over || way.out_bytes > kMostHeld) return;
    way.reading = true;
    tcp::socket& socket = there ? pair->from : pair->to;
    socket.async_read_some(
        asio::buffer(way.chunk), [this, pair, there, alive = alive_](error_code ec, std::size_t n) {
            if (!*alive || !pair->open) return;
            Way& read_way = there ? pair->there : pair->back;
            read_way.reading = false;
            if (ec) {
                read_way.over = true;
                // A process that was killed: the other side hears of it, unless the way is cut.
                const LinkFaults& faults = pair->link->faults;
                if (ec != asio::error::eof) return end(pair, true);
                if (read_way.out.empty() && !(there ? faults.hold_there : faults.hold_back))
                    return end(pair, false);
                return write(pair, there);
            }
            read_way.in.append(read_way.chunk.data(), n);
            if (there && pair->link->reset_after > 0) {
                if (pair->link->reset_after <= n) {
                    pair->link->reset_after = 0;
                    return end(pair, true);
                }
                pair->link->reset_after -= n;
            }
            take(pair, there);
            write(pair, there);
            read(pair, there);
        });
}

// Frames out of what has come, each with its fate.
void Links::take(const std::shared_ptr<Pair>& pair, bool there) {
    Way& way = there ? pair->there : pair->back;
    const LinkFaults& faults = pair->link->faults;
    const auto pass = [&](std::string bytes) {
        way.out_bytes += bytes.size();
        way.out.emplace_back(clock_.now() + (there ? faults.delay_there : faults.delay_back),
                             std::move(bytes));
    };
    if (way.plain > 0 && !way.in.empty()) {
        const std::size_t n = std::min(way.plain, way.in.size());
        pass(way.in.substr(0, n));
        way.in.erase(0, n);
        way.plain -= n;
    }
    std::size_t at = 0;
    while (way.in.size() - at >= 4) {
        std::size_t length = 0;
        for (std::size_t i = 0; i < 4; ++i)
            length |= static_cast<std::size_t>(static_cast<unsigned char>(way.in[at + i])) << 8 * i;
        if (length > kMostFrame) length = way.in.size() - at - 4;
        if (way.in.size() - at < 4 + length) break;
        std::string frame = way.in.substr(at, 4 + length);
        at += 4 + length;
        ++counts_.frames;
        if (lots_.unit() < faults.lost) {
            ++counts_.lost;
            continue;
        }
        if (lots_.unit() < faults.doubled) {
            ++counts_.doubled;
            pass(frame);
        }
        if (way.kept.empty() && lots_.unit() < faults.swapped) {
            way.kept = std::move(frame);
            continue;
        }
        pass(std::move(frame));
        if (!way.kept.empty()) {
            ++counts_.swapped;
            pass(std::exchange(way.kept, {}));
        }
    }
    way.in.erase(0, at);
}

void Links::write(const std::shared_ptr<Pair>& pair, bool there) {
    Way& way = there ? pair->there : pair->back;
    const LinkFaults& faults = pair->link->faults;
    if (!pair->open || way.writing || (there ? faults.hold_there : faults.hold_back)) return;
    if (way.out.empty()) {
        if (way.over) end(pair, false);
        return;
    }
    if (const Millis due = way.out.front().first; due > clock_.now()) {
        way.timer->expires_at(clock_.point(due));
        way.timer->async_wait([this, pair, there, alive = alive_](error_code ec) {
            if (!ec && *alive) write(pair, there);
        });
        return;
    }
    way.writing = true;
    tcp::socket& socket = there ? pair->to : pair->from;
    asio::async_write(socket, asio::buffer(way.out.front().second),
                      [this, pair, there, alive = alive_](error_code ec, std::size_t n) {
                          if (!*alive || !pair->open) return;
                          Way& written = there ? pair->there : pair->back;
                          written.writing = false;
                          if (ec) return end(pair, true);
                          written.out_bytes -= n;
                          written.out.pop_front();
                          write(pair, there);
                          read(pair, there);
                      });
}

void Links::end(const std::shared_ptr<Pair>& pair, bool with_reset) {
    if (!std::exchange(pair->open, false)) return;
    error_code ignored;
    for (tcp::socket* socket : {&pair->from, &pair->to}) {
        if (with_reset && socket->is_open()) socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
    for (Way* way : {&pair->there, &pair->back}) way->timer->cancel();
    const auto self = pair;  // outlives its place in the list
    self->link->pairs.remove(self);
}

std::size_t Links::set(const Names& which, const std::function<void(LinkFaults&)>& change) {
    std::size_t count = 0;
    for (Post& post : posts_)
        if (which(post.name)) ++count, change(post.faults);
    for (Link& link : links_) {
        if (!which(link.name)) continue;
        ++count;
        change(link.faults);
        const auto pairs = link.pairs;
        for (const auto& pair : pairs) {
            if (link.faults.hold_there) counts_.held_bytes += pair->there.out_bytes;
            write(pair, true);
            write(pair, false);
        }
    }
    return count;
}

std::size_t Links::reset(const Names& which) {
    std::size_t count = 0;
    for (Link& link : links_) {
        if (!which(link.name)) continue;
        const auto pairs = link.pairs;
        for (const auto& pair : pairs) end(pair, true), ++count;
    }
    counts_.resets += count;
    return count;
}

std::size_t Links::reset_after(const Names& which, std::size_t bytes) {
    std::size_t count = 0;
    for (Link& link : links_)
        if (which(link.name)) link.reset_after = bytes, ++count;
    return count;
}

void Links::heal() {
    set([](const std::string&) { return true; }, [](LinkFaults& faults) { faults = {}; });
    for (Link& link : links_) link.reset_after = 0;
}

}  // namespace cobaltshift::lab
