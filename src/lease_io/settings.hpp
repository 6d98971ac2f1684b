// Settings of keepers and of those who ask them; docs/operate/lease.md.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "lease/office.hpp"

namespace cobaltshift::lease {

// [keepers]: the same at keepers and at all who ask them.
struct KeepersSettings {
    std::vector<boost::asio::ip::tcp::endpoint> keepers;  // their order gives their numbers
    std::string secret_file;
    Millis margin = 500;  // a right ends so long before its length is over
    bool operator==(const KeepersSettings&) const = default;
};

// [keeper]: of one keeper's process.
struct KeeperSettings {
    boost::asio::ip::tcp::endpoint listen;
    std::string fleet;   // its name, the same at all keepers: a keeper of another fleet is not heard
    std::string folder;  // what it keeps; its own alone
    std::size_t connections = 4096;
    OfficeSettings office;  // agree.fleet and agree.keepers follow from the above
};

}  // namespace cobaltshift::lease
