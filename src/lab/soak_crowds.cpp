#include "lab/soak_crowds.hpp"

namespace cobaltshift::lab {

using namespace mesh_ports;

namespace {

// Of the configurations that the operator brings (soak_operator.cpp).
constexpr std::size_t kMaxHeaderBytes = 16384, kMaxBodyBytes = 4 << 20;
constexpr std::size_t kLargeChunkBytes = 1 << 20, kSmallChunkBytes = 16, kTrailerBytes = 1 << 20;
const std::string kChunkedBody = "Transfer-Encoding: chunked\r\n\r\n";
const std::string kShortField = "a:\r\n";

}  // namespace

SoakCrowds::SoakCrowds(asio::io_context& io, const MeshNetworks& networks, std::size_t proxies,
                       std::size_t control_nodes) {
    for (std::size_t i = 0; i < proxies; ++i) add_at_proxy(io, networks.proxy_ip(i));
    for (const tcp::endpoint& at : networks.control_endpoints(control_nodes)) add_at_control_node(io, at);
}

Crowd& SoakCrowds::crowd_at(asio::io_context& io, const tcp::endpoint& at) {
    crowds_.push_back(std::make_unique<Crowd>(io, at));
    return *crowds_.back();
}

void SoakCrowds::add_at_proxy(asio::io_context& io, const std::string& ip) {
    const auto address = asio::ip::make_address(ip);
    const std::string chunked = request_head("POST") + kChunkedBody;
    Crowd& of_clients = crowd_at(io, {address, kOutboundPort});
    of_clients.add(4, read_slowly(io));
    of_clients.add(3, send_pieces(request_head("GET"), kShortField, kMaxHeaderBytes - 400));
    of_clients.add(4, send_pieces(chunked, chunk_of(kLargeChunkBytes), kMaxBodyBytes - kLargeChunkBytes));
    of_clients.add(2, send_pieces(chunked, chunk_of(kSmallChunkBytes), kMaxBodyBytes));
    of_clients.add(2, send_chunked_body(kLargeChunkBytes, kMaxBodyBytes / 2));
    of_clients.add(1, send_pieces("", "\r\n", kMaxBodyBytes));
    of_clients.add(2, send_pieces("", "x", 0));
    Crowd& of_peers = crowd_at(io, {address, kInboundPort});
    of_peers.add(2, send_pieces(hop_head("GET", "i-0.1") + "X-Long: ", "x", kTrailerBytes));
    of_peers.add(2, send_pieces(hop_head("POST", "i-0.1") + kChunkedBody + "1\r\nx\r\n0\r\n", kShortField,
                                kTrailerBytes));
}

void SoakCrowds::add_at_control_node(asio::io_context& io, const tcp::endpoint& at) {
    const std::string call = "PUT /api/config HTTP/1.1\r\nHost: control\r\nIf-Match: r1\r\n";
    Crowd& crowd = crowd_at(io, at);
    crowd.add(3, send_pieces(call, kShortField, kMaxHeaderBytes - 400));
    crowd.add(3, send_pieces(call + kChunkedBody, chunk_of(kLargeChunkBytes), 2 * kLargeChunkBytes));
    crowd.add(2, send_pieces("", "x", 0));
}

}  // namespace cobaltshift::lab
