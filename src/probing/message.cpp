#include "probing/message.hpp"

#include <algorithm>

#include "store/checksum.hpp"
#include "store/fields.hpp"

namespace cobaltshift::probing {

namespace {

using protozero::pbf_writer;
using store::Fields;
using store::Unreadable;

constexpr std::uint64_t kFormat = 1;

Told::Result read_result(std::string_view bytes) {
    Told::Result r;
    Fields f(bytes);
    while (f.next()) switch (f.tag()) {
            case 1:
                r.server = static_cast<ServerId>(f.number("server", UINT32_MAX));
                break;
            case 2:
                r.number = f.number("number of a probe");
                break;
            case 3:
                r.good = f.flag("good");
                break;
            case 4:
                r.age = static_cast<Millis>(f.number("age", static_cast<std::uint64_t>(kOldest)));
                break;
            default:
                f.skip();
        }
    return r;
}

}  // namespace

std::string encode(const Told& told) {
    std::string bytes;
    pbf_writer w(bytes);
    w.add_uint64(1, kFormat);
    w.add_uint32(2, told.shard);
    w.add_uint32(3, told.shards);
    w.add_uint64(4, told.fence);
    w.add_uint64(5, told.sequence);
    for (const Told::Result& r : told.results) {
        std::string one;
        pbf_writer result(one);
        result.add_uint32(1, r.server);
        result.add_uint64(2, r.number);
        result.add_bool(3, r.good);
        result.add_uint64(4, static_cast<std::uint64_t>(std::clamp(r.age, 0.0, kOldest)));
        w.add_bytes(6, one);
    }
    return store::append_checksum(std::move(bytes));
}

std::optional<Told> decode(std::string_view bytes, std::string& why) {
    why.clear();
    if (bytes.size() > kMaxMessage) return why = "it is too long", std::nullopt;
    const auto body = store::verify_checksum(bytes);
    if (!body) return why = "its checksum is not its own", std::nullopt;
    Told told;
    std::uint64_t format = 0;
    try {
        Fields f(*body);
        while (f.next()) switch (f.tag()) {
                case 1:
                    format = f.number("format");
                    break;
                case 2:
                    told.shard = static_cast<std::uint32_t>(f.number("shard", kMaxShards - 1));
                    break;
                case 3:
                    told.shards = static_cast<std::uint32_t>(f.number("shards", kMaxShards));
                    break;
                case 4:
                    told.fence = f.number("fence");
                    break;
                case 5:
                    told.sequence = f.number("sequence");
                    break;
                case 6:
                    if (told.results.size() >= kMostResults) throw Unreadable("it has too many results");
                    told.results.push_back(read_result(f.bytes("result", kMaxMessage)));
                    break;
                default:
                    f.skip();
            }
        if (format != kFormat) throw Unreadable("its format is " + std::to_string(format));
        if (told.fence == 0 || told.sequence == 0) throw Unreadable("it is told under no right");
    } catch (const Unreadable& fault) {
        return why = fault.what(), std::nullopt;
    }
    return told;
}

}  // namespace cobaltshift::probing
