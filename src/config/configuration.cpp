#include "config/configuration.hpp"

#include <algorithm>
#include <tuple>

namespace cobaltshift::config {

namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string_view without_port(std::string_view host) {
    const auto bracket = host.rfind(']');
    const auto colon = host.rfind(':');
    return colon == std::string_view::npos || (bracket != std::string_view::npos && colon < bracket)
               ? host
               : host.substr(0, colon);
}

// Three-way comparison of (host, prefix); `host` may be in any case.
int compare(const Route& route, std::string_view host, std::string_view prefix) {
    const std::size_t common = std::min(route.host.size(), host.size());
    for (std::size_t i = 0; i < common; ++i)
        if (const int difference =
                static_cast<unsigned char>(route.host[i]) - static_cast<unsigned char>(lower(host[i]));
            difference != 0)
            return difference;
    if (route.host.size() != host.size()) return route.host.size() < host.size() ? -1 : 1;
    return std::string_view(route.path_prefix).compare(prefix);
}

}  // namespace

std::string normalize_host(std::string_view host) {
    std::string normalized(without_port(host));
    for (char& c : normalized) c = lower(c);
    return normalized;
}

std::shared_ptr<const Configuration> finalize(Configuration configuration) {
    auto sealed = std::make_shared<Configuration>(std::move(configuration));
    Configuration::Index& index = sealed->index_;
    index.routes.clear();
    index.routes.reserve(sealed->routes.size());
    for (const auto& [name, route] : sealed->routes) {
        index.routes.push_back(&route);
        index.longest = std::max(index.longest, route.path_prefix.size());
    }
    std::sort(index.routes.begin(), index.routes.end(), [](const Route* a, const Route* b) {
        return std::tie(a->host, a->path_prefix) < std::tie(b->host, b->path_prefix);
    });
    return sealed;
}

// Every prefix ends with a slash, so there are only as many candidates as the path has slashes.
const Route* Configuration::find(std::string_view host, std::string_view path) const {
    host = without_port(host);
    path = path.substr(0, std::min(path.find('?'), index_.longest));
    for (auto slash = path.rfind('/'); slash != std::string_view::npos;
         slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
        const std::string_view prefix = path.substr(0, slash + 1);
        const auto at = std::lower_bound(
            index_.routes.begin(), index_.routes.end(), prefix,
            [&](const Route* route, std::string_view wanted) { return compare(*route, host, wanted) < 0; });
        if (at != index_.routes.end() && compare(**at, host, prefix) == 0) return *at;
    }
    return nullptr;
}

}  // namespace cobaltshift::config
