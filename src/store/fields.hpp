// Bounds-checked reading of protocol buffers fields. protozero itself only asserts the type of a field;
// Fields checks the type and the limit of each value first and throws Unreadable, which decoders turn into
// "none".
#pragma once

#include <cstdint>
#include <protozero/pbf_reader.hpp>
#include <protozero/pbf_writer.hpp>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cobaltshift::store {

struct Unreadable : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Iterates over the fields of one encoded message. `most` and `least` are inclusive limits: of the value for
// number() and real(), of the size in bytes for bytes() and text(). `field` names the field in errors.
class Fields {
public:
    explicit Fields(std::string_view bytes) : reader_(bytes.data(), bytes.size()) {}

    bool next() {
        try {
            return reader_.next();
        } catch (const protozero::exception&) {
            throw Unreadable("a field's tag can't be read");
        }
    }
    std::uint32_t tag() const { return reader_.tag(); }
    std::uint64_t number(const char* field, std::uint64_t most = UINT64_MAX) {
        need(protozero::pbf_wire_type::varint, field);
        const std::uint64_t value = guarded(field, [&] { return reader_.get_uint64(); });
        if (value > most) throw Unreadable(std::string(field) + " is over its bound");
        return value;
    }
    bool flag(const char* field) { return number(field, 1) == 1; }
    double real(const char* field, double least, double most) {
        need(protozero::pbf_wire_type::fixed64, field);
        const double value = guarded(field, [&] { return reader_.get_double(); });
        if (!(value >= least && value <= most)) throw Unreadable(std::string(field) + " is out of its range");
        return value;
    }
    std::string_view bytes(const char* field, std::size_t most) {
        need(protozero::pbf_wire_type::length_delimited, field);
        const protozero::data_view view = guarded(field, [&] { return reader_.get_view(); });
        if (view.size() > most) throw Unreadable(std::string(field) + " is over its bound");
        return {view.data(), view.size()};
    }
    std::string text(const char* field, std::size_t most) { return std::string(bytes(field, most)); }
    void skip() {  // a field of a newer format
        guarded("an unknown field", [&] { return reader_.skip(), 0; });
    }

private:
    void need(protozero::pbf_wire_type type, const char* field) const {
        if (reader_.wire_type() != type) throw Unreadable(std::string(field) + " is of another type");
    }
    template <class Read>
    auto guarded(const char* field, Read read) -> decltype(read()) {
        try {
            return read();
        } catch (const protozero::exception&) {
            throw Unreadable(std::string(field) + " can't be read");
        }
    }
    protozero::pbf_reader reader_;
};

}  // namespace cobaltshift::store
