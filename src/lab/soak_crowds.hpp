// The clients of a soak that nobody controls: some at each proxy's listeners and at each control node, beside
// the ordinary ones, until they are told to stop. Entry type: SoakCrowds.
#pragma once

#include <memory>
#include <vector>

#include "lab/crowd.hpp"
#include "lab/mesh_machine.hpp"

namespace cobaltshift::lab {

class SoakCrowds {
public:
    // Starts them. They stop when the object goes, each at the end of its connection.
    SoakCrowds(asio::io_context& io, const MeshNetworks& networks, std::size_t proxies,
               std::size_t control_nodes);

private:
    void add_at_proxy(asio::io_context& io, const std::string& ip);
    void add_at_control_node(asio::io_context& io, const tcp::endpoint& at);
    Crowd& crowd_at(asio::io_context& io, const tcp::endpoint& at);

    std::vector<std::unique_ptr<Crowd>> crowds_;
};

}  // namespace cobaltshift::lab
