#include "sim_mesh/server_connections.hpp"

#include "hop/server_answer.hpp"
#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

using exchange::AnswerOwner;
using exchange::ConnectionState;
using kelplb::Outcome;

namespace {
constexpr Millis kHop = 0.3;
// What comes behind an answer may be read with it, or only seen later.
constexpr double kReadTogether = 0.5;
}  // namespace

unsigned status_of(const ServerAnswer& answer) {
    switch (answer.kind) {
        case ServerAnswer::Kind::whole:
            return 200;
        case ServerAnswer::Kind::failed:
            return 500;
        case ServerAnswer::Kind::turned_away:
            return 503;
        case ServerAnswer::Kind::wrong_life:
            return 421;
        case ServerAnswer::Kind::broken:
            break;
    }
    return 0;
}

hop::ServerAnswerHead head_of(const ServerAnswer& answer) {
    hop::ServerAnswerHead head;
    head.status = status_of(answer);
    head.not_run = answer.kind == ServerAnswer::Kind::turned_away;
    head.stamped = true;
    return head;
}

ServerConnections::ServerConnections(World& world, Ip ip, exchange::Limits limits, Ended ended)
    : world_(world),
      ip_(ip),
      epoch_(world.net.machine(ip).epoch),
      ended_(std::move(ended)),
      pool_(*this, limits) {}

Millis ServerConnections::now() const { return world_.time.now(); }

void ServerConnections::in_process(Task what) { world_.net.in_process(ip_, epoch_, std::move(what)); }

Server* ServerConnections::server(const Connection& connection) const {
    Server* here = world_.server(ip_);
    return here && here->life() == connection.channel.life ? here : nullptr;
}

void ServerConnections::set_timer(const ConnectionPtr& connection, Millis at) {
    const std::uint64_t timer = connection->channel.timer = ++timers_;
    world_.net.at(ip_, at, [this, connection, timer] {
        if (connection->channel.timer == timer) pool_.timer_fired(connection);
    });
}

void ServerConnections::connect(const ConnectionPtr& connection) {
    world_.net.after(ip_, kHop, [this, connection] {
        if (connection->state != ConnectionState::connecting) return;
        Server* here = world_.server(ip_);
        if (!here) return pool_.connected(connection, false);
        connection->channel.life = here->life();
        // With the kernel at once, whatever the process does; the process hears of it in its turn.
        const std::weak_ptr<Connection> weak = connection;
        connection->channel.number = here->connect(
            [this, weak, &net = world_.net, ip = ip_, epoch = epoch_](const ServerAnswer& answer) {
                const ConnectionPtr to = weak.lock();
                if (!to) return;
                to->channel.unread.push_back(answer);
                net.in_process(ip, epoch, [this, to] { look(to); });
            });
        pool_.connected(connection, true);
    });
}

void ServerConnections::write(const ConnectionPtr& connection) {
    const HopMessage& message = *connection->job->request;
    const std::string expected = world_.safeguards.life_expected ? message.expected : "";
    if (Server* to = server(*connection)) {
        const Run run{message.request, to->service(), to->life(),  message.caller, ip_,
                      message.by,      message.id,    message.path};
        world_.time.after(kHop, [&world = world_, ip = ip_, life = to->life(),
                                 number = connection->channel.number, run, expected] {
            Server* there = world.server(ip);
            if (there && there->life() == life) there->request(number, run, expected);
        });
    }
    pool_.written(connection);
}

void ServerConnections::read(const ConnectionPtr& connection) {
    if (!connection->channel.unread.empty()) in_process([this, connection] { look(connection); });
}

void ServerConnections::look(const ConnectionPtr& connection) {
    std::deque<ServerAnswer>& unread = connection->channel.unread;
    if (connection->state == ConnectionState::idle) return pool_.idle_readable(connection);
    if (connection->state != ConnectionState::reading || unread.empty()) return;
    ServerAnswer answer = unread.front();
    unread.pop_front();
    if (!answer.answers()) return pool_.broken(connection);
    const bool together = !unread.empty() && world_.unit() < kReadTogether;
    const exchange::AnswerEnd how{!answer.last, together};
    pool_.answered(connection, std::move(answer), how);
}

void ServerConnections::close(Connection& connection) {
    // Behind what was written before.
    world_.time.after(kHop, [&world = world_, ip = ip_, life = connection.channel.life,
                             number = connection.channel.number] {
        Server* there = world.server(ip);
        if (there && there->life() == life) there->disconnect(number);
    });
}

AnswerOwner ServerConnections::owner_of(const Connection& connection, const ServerAnswer& answer) const {
    if (!world_.safeguards.ids_compared) return AnswerOwner::this_request;
    const AnswerOwner owner = hop::owner_of_answer(connection.job->request->id, answer.id, status_of(answer));
    const bool assumed = owner == AnswerOwner::unknown && !world_.safeguards.refusals_attributed;
    return assumed ? AnswerOwner::this_request : owner;
}

bool ServerConnections::is_refusal(const ServerAnswer& answer) const {
    return world_.safeguards.refusals_attributed && hop::is_refusal(head_of(answer));
}

Outcome ServerConnections::judge(const ServerAnswer& answer) const {
    return answer.kind == ServerAnswer::Kind::whole ? Outcome::completed : Outcome::errored;
}

}  // namespace cobaltshift::simmesh
