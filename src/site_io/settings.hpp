// Settings of who leads sites; docs/operate/site.md.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "site/lead.hpp"

namespace cobaltshift::site {

// [site]
struct SiteSettings {
    boost::asio::ip::tcp::endpoint discovery;
    Millis length = 3000;  // of the right to lead
    Millis look = 200;     // between looks at all sites
    LeadSettings lead;
};

}  // namespace cobaltshift::site
