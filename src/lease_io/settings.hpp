// Settings of the lease replicas ("keepers") and their clients; see docs/operate/lease.md.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "lease/office.hpp"

namespace cobaltshift::lease {

// Section [keepers]: the same on all replicas and clients.
struct KeepersSettings {
    std::vector<boost::asio::ip::tcp::endpoint> keepers;  // in the order of their numbers
    std::string secret_file;
    Millis margin = 500;  // holders stop using a lease this long before its end
    bool operator==(const KeepersSettings&) const = default;
};

// Section [keeper]: of one replica's process.
struct KeeperSettings {
    boost::asio::ip::tcp::endpoint listen;
    std::string fleet;               // cluster name; messages from replicas of another cluster are ignored
    std::string folder;              // data directory, used by this replica only
    std::size_t connections = 4096;  // limit of accepted connections
    LeaseServerSettings office;      // agree.cluster_id and agree.member_slots follow from the above
};

}  // namespace cobaltshift::lease
