#include "sim_mesh/hop_connections.hpp"

#include <cmath>

#include "hop/server_answer.hpp"
#include "sim_mesh/world.hpp"

namespace cobaltshift::simmesh {

using exchange::AnswerOwner;
using exchange::ConnectionState;
using kelplb::Outcome;

HopConnections::HopConnections(World& world, Ip ip, exchange::Limits limits, Handlers handlers)
    : world_(world), ip_(ip), handlers_(std::move(handlers)), pool_(*this, limits) {}

Millis HopConnections::now() const { return world_.time.now(); }

void HopConnections::set_timer(const ConnectionPtr& connection, Millis at) {
    const std::uint64_t timer = connection->channel.timer = ++timers_;
    world_.net.at(ip_, at, [this, connection, timer] {
        if (connection->channel.timer == timer) pool_.timer_fired(connection);
    });
}

void HopConnections::connect(const ConnectionPtr& connection) {
    const std::weak_ptr<Connection> weak = connection;  // it holds its call
    connection->channel.call = world_.net.connect(
        ip_, connection->to, [this, connection] { pool_.connected(connection, true); },
        [this, weak](bool) {
            if (const ConnectionPtr at = weak.lock()) broken(at);
        });
}

void HopConnections::broken(const ConnectionPtr& connection) {
    connection->channel.reset = true;
    if (connection->state == ConnectionState::connecting) return pool_.connected(connection, false);
    if (connection->state == ConnectionState::idle) return pool_.idle_readable(connection);
    if (connection->state != ConnectionState::closed) pool_.broken(connection);
}

void HopConnections::write(const ConnectionPtr& connection) {
    HopMessage& message = *connection->job->request;
    message.left = std::floor(std::max(0.0, connection->job->until - now()));
    const CallPtr call = connection->channel.call;
    World& world = world_;
    world.net.send(call, true, [this, &world, connection, call, message] {
        auto* proxy = dynamic_cast<Proxy*>(world.node(call->to));
        if (!proxy) return;
        proxy->inbound().arrived(message, call, [this, &world, connection, call](const HopAnswer& answer) {
            world.net.send(call, false, [this, connection, answer] { answered(connection, answer); });
        });
    });
    pool_.written(connection);
}

void HopConnections::answered(const ConnectionPtr& connection, HopAnswer answer) {
    if (connection->state != ConnectionState::reading) return;
    pool_.answered(connection, std::move(answer), {true, false});
}

void HopConnections::close(Connection& connection) {
    if (connection.channel.call) world_.net.close(connection.channel.call);
}

AnswerOwner HopConnections::owner_of(const Connection& connection, const HopAnswer& answer) const {
    if (!world_.safeguards.ids_compared || answer.failure) return AnswerOwner::this_request;
    return hop::owner_of_answer(connection.job->request->id, answer.answer.id, answer.answer.status);
}

Outcome HopConnections::judge(const HopAnswer& answer) const {
    return !answer.failure && answer.answer.status / 100 == 2 ? Outcome::completed : Outcome::errored;
}

}  // namespace cobaltshift::simmesh
