#include "config/codec.hpp"

#include "config/binary_io.hpp"

namespace cobaltshift::config {

namespace {

// Magic numbers; the last byte is the format's version.
constexpr std::uint64_t kFullFormat = 0x4353545701, kDeltaFormat = 0x4353544401;

const std::string& text_of(const std::string& text) { return text; }
template <class Item>
const std::string& text_of(const Item& item) {
    return item.text;
}

// The items of `to` that `from` lacks or has with another text; all items if there is no `from`.
template <class Map>
std::vector<std::pair<std::string, std::string>> changed_items(const Map* from, const Map& to) {
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
std::vector<std::string> removed_names(const Map& from, const Map& to) {
    std::vector<std::string> names;
    for (const auto& [name, item] : from)
        if (!to.count(name)) names.push_back(name);
    return names;
}

}  // namespace

std::string encode(const Configuration& configuration) {
    BinaryWriter out;
    out << kFullFormat << configuration.edition
        << changed_items<decltype(configuration.routes)>(nullptr, configuration.routes)
        << changed_items<decltype(configuration.services)>(nullptr, configuration.services)
        << changed_items<decltype(configuration.unknown_fields)>(nullptr, configuration.unknown_fields)
        << configuration.limits.text;
    return out.finish();
}

std::string encode_delta(const Configuration& from, const Configuration& to) {
    BinaryWriter out;
    out << kDeltaFormat << from.edition << to.edition << changed_items(&from.routes, to.routes)
        << changed_items(&from.services, to.services)
        << changed_items(&from.unknown_fields, to.unknown_fields) << removed_names(from.routes, to.routes)
        << removed_names(from.services, to.services) << removed_names(from.unknown_fields, to.unknown_fields)
        << (from.limits.text == to.limits.text ? std::string_view() : std::string_view(to.limits.text));
    return out.finish();
}

bool is_delta(std::string_view bytes) {
    try {
        return BinaryReader(bytes).number() == kDeltaFormat;
    } catch (const std::exception&) {
        return false;
    }
}

std::shared_ptr<const Configuration> decode(std::string_view bytes, const Configuration* base,
                                            std::string& error) {
    try {
        if (bytes.size() > kMaxConfigurationBytes) throw std::runtime_error("exceeds kMaxConfigurationBytes");
        BinaryReader in(bytes);
        const std::uint64_t format = in.number();
        const bool delta = format == kDeltaFormat;
        if (!delta && format != kFullFormat) throw std::runtime_error("unknown magic number or format");
        if (delta) {
            const Edition from = in.number();
            if (!base || base->edition != from)
                throw std::runtime_error("delta does not start from the edition held");
        }
        ConfigurationItems items;
        items.edition = in.number();
        items.routes = in.pairs();
        items.services = in.pairs();
        items.unknown_fields = in.pairs();
        if (delta) {
            items.removed_routes = in.texts();
            items.removed_services = in.texts();
            items.removed_unknown_fields = in.texts();
        }
        items.limits = in.text();
        in.expect_end();
        Parsed parsed = from_items(delta ? base : nullptr, items);
        if (!parsed.configuration)
            error = parsed.complaints.empty() ? "invalid configuration" : parsed.complaints.front();
        return parsed.configuration;
    } catch (const std::exception& fault) {
        error = fault.what();
        return nullptr;
    }
}

}  // namespace cobaltshift::config
