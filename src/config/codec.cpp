#include "config/codec.hpp"

#include "config/bounded.hpp"

namespace cobaltshift::config {

namespace {

constexpr std::uint64_t kWhole = 0x4353545701, kDelta = 0x4353544401;  // what it is, and the format's number

const std::string& text_of(const std::string& text) { return text; }
template <class Item>
const std::string& text_of(const Item& item) {
    return item.text;
}

// What `to` has that `from` has not, or has otherwise.
template <class Map>
std::vector<std::pair<std::string, std::string>> changed(const Map* from, const Map& to) {
    std::vector<std::pair<std::string, std::string>> all;
    for (const auto& [name, item] : to) {
        if (from)
            if (const auto at = from->find(name); at != from->end() && text_of(at->second) == text_of(item))
                continue;
        all.emplace_back(name, text_of(item));
    }
    return all;
}

template <class Map>
std::vector<std::string> gone(const Map& from, const Map& to) {
    std::vector<std::string> names;
    for (const auto& [name, item] : from)
        if (!to.count(name)) names.push_back(name);
    return names;
}

}  // namespace

std::string encode(const Configuration& whole) {
    Out out;
    out << kWhole << whole.edition << changed<decltype(whole.routes)>(nullptr, whole.routes)
        << changed<decltype(whole.services)>(nullptr, whole.services)
        << changed<decltype(whole.others)>(nullptr, whole.others) << whole.limits.text;
    return out.sealed();
}

std::string encode_delta(const Configuration& from, const Configuration& to) {
    Out out;
    out << kDelta << from.edition << to.edition << changed(&from.routes, to.routes)
        << changed(&from.services, to.services) << changed(&from.others, to.others)
        << gone(from.routes, to.routes) << gone(from.services, to.services) << gone(from.others, to.others)
        << (from.limits.text == to.limits.text ? std::string_view() : std::string_view(to.limits.text));
    return out.sealed();
}

bool is_delta(std::string_view bytes) {
    try {
        return In(bytes).number() == kDelta;
    } catch (const std::exception&) {
        return false;
    }
}

std::shared_ptr<const Configuration> decode(std::string_view bytes, const Configuration* base,
                                            std::string& why) {
    try {
        if (bytes.size() > kMostConfigurationBytes) throw std::runtime_error("it is too long");
        In in(bytes);
        const std::uint64_t what = in.number();
        const bool delta = what == kDelta;
        if (!delta && what != kWhole)
            throw std::runtime_error("it is no configuration, or of another format");
        if (delta) {
            const Edition from = in.number();
            if (!base || base->edition != from) throw std::runtime_error("it builds on another edition");
        }
        Items items;
        items.edition = in.number();
        items.routes = in.pairs();
        items.services = in.pairs();
        items.others = in.pairs();
        if (delta) {
            items.gone_routes = in.texts();
            items.gone_services = in.texts();
            items.gone_others = in.texts();
        }
        items.limits = in.text();
        in.end();
        Parsed parsed = from_items(delta ? base : nullptr, items);
        if (!parsed.configuration)
            why = parsed.complaints.empty() ? "it is invalid" : parsed.complaints.front();
        return parsed.configuration;
    } catch (const std::exception& fault) {
        why = fault.what();
        return nullptr;
    }
}

}  // namespace cobaltshift::config
