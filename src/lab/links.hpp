// Links between processes of the program, with faults put on them: each directed link is a relay on loopback
// that one side dials instead of the other. A fault may be changed while connections are open. The one rig
// for faults between processes; the timeline of what is done to it is its user's. Entry type: Links.
//
// What TCP makes of a network's faults is kept: bytes that are held back arrive late, in order, once the way
// is free again; a connection may be reset. On top of it whole frames of keepers' channels may be lost,
// doubled or swapped with the next, as a datagram's way would: the channel's layout (lease_io/channel.hpp) is
// all that is known of it here.
#pragma once

#include <boost/asio.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "net/clock.hpp"
#include "sim/stream.hpp"

namespace cobaltshift::lab {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

// Of one link; from who dials to who is dialled is `there`.
struct LinkFaults {
    bool hold_there = false, hold_back = false;  // silence without a reset
    Millis delay_there = 0, delay_back = 0;
    double lost = 0, doubled = 0, swapped = 0;  // parts of the frames, each way; of datagrams
};

class Links {
public:
    Links(asio::io_context& io, const Clock& clock, sim::Stream lots);
    ~Links();

    // A new link to `to`; dial the address. The name is the user's, as "keeper-1>keeper-2".
    tcp::endpoint add(const std::string& name, tcp::endpoint to);
    // The same for datagrams, one way: what is held back is lost, what is swapped comes late by 50 to 500 ms.
    udp::endpoint add(const std::string& name, udp::endpoint to);
    // Of one link or of all whose name passes.
    using Names = std::function<bool(const std::string&)>;
    std::size_t set(const Names& which, const std::function<void(LinkFaults&)>& change);
    std::size_t reset(const Names& which);  // connections that were reset
    // The next connection, or the one there is, is reset once so many more bytes have gone there.
    std::size_t reset_after(const Names& which, std::size_t bytes);
    void heal();

    struct Counts {
        std::uint64_t connections = 0, frames = 0, lost = 0, doubled = 0, swapped = 0, held_bytes = 0,
                      resets = 0, datagrams = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    struct Link;
    struct Pair;
    struct Way;
    struct Post;
    void receive(Post& post);
    void accept(Link& link);
    void read(const std::shared_ptr<Pair>& pair, bool there);
    void take(const std::shared_ptr<Pair>& pair, bool there);
    void write(const std::shared_ptr<Pair>& pair, bool there);
    void end(const std::shared_ptr<Pair>& pair, bool with_reset);

    asio::io_context& io_;
    const Clock& clock_;
    sim::Stream lots_;
    std::list<Link> links_;
    std::list<Post> posts_;
    Counts counts_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace cobaltshift::lab
