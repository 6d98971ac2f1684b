// Binary encoding with a checksum (cereal's portable binary archive, then XXH3 of it), for input from
// untrusted sources: lengths are checked against the remaining bytes before memory is allocated for them.
// Entries: BinaryWriter, BinaryReader. Used by codec.cpp and config_state_machine.cpp.
#pragma once

#include <xxhash.h>

#include <cereal/archives/portable_binary.hpp>
#include <cstdint>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cobaltshift::config {

class BinaryWriter {
public:
    BinaryWriter& operator<<(std::uint64_t number) { return archive_(number), *this; }
    BinaryWriter& operator<<(std::string_view text) {
        archive_(std::uint32_t(text.size()));
        archive_(cereal::binary_data(text.data(), text.size()));
        return *this;
    }
    BinaryWriter& operator<<(const std::vector<std::string>& texts) {
        *this << std::uint64_t{texts.size()};
        for (const std::string& text : texts) *this << std::string_view(text);
        return *this;
    }
    BinaryWriter& operator<<(const std::vector<std::pair<std::string, std::string>>& pairs) {
        *this << std::uint64_t{pairs.size()};
        for (const auto& [name, text] : pairs) *this << std::string_view(name) << std::string_view(text);
        return *this;
    }
    // Returns the bytes with their checksum appended. Nothing may be written afterwards.
    std::string finish() {
        std::string bytes = std::move(stream_).str();
        const std::uint64_t checksum = XXH3_64bits(bytes.data(), bytes.size());
        for (int i = 0; i < 8; ++i) bytes += static_cast<char>(checksum >> (8 * i));
        return bytes;
    }

private:
    std::ostringstream stream_{std::ios::binary};
    cereal::PortableBinaryOutputArchive archive_{stream_};
};

// Throws std::exception if the bytes are truncated, too many, or their checksum does not match. The bytes
// must outlive the reader.
class BinaryReader {
public:
    explicit BinaryReader(std::string_view bytes)
        : buffer_(verified_body(bytes)), stream_(&buffer_), archive_(stream_) {}
    std::uint64_t number() {
        std::uint64_t value = 0;
        archive_(value);
        return value;
    }
    std::string text() {
        std::uint32_t size = 0;
        archive_(size);
        if (size > buffer_.left()) throw std::runtime_error("string length exceeds the remaining bytes");
        std::string value(size, '\0');
        archive_(cereal::binary_data(value.data(), value.size()));
        return value;
    }
    std::size_t count() {
        const std::uint64_t count = number();
        if (count > buffer_.left()) throw std::runtime_error("item count exceeds the remaining bytes");
        return count;
    }
    std::vector<std::string> texts() {
        std::vector<std::string> all;
        for (std::size_t n = count(); n > 0; --n) all.push_back(text());
        return all;
    }
    std::vector<std::pair<std::string, std::string>> pairs() {
        std::vector<std::pair<std::string, std::string>> all;
        for (std::size_t n = count(); n > 0; --n) {
            std::string name = text();
            all.emplace_back(std::move(name), text());
        }
        return all;
    }
    void expect_end() const {
        if (buffer_.left() != 0) throw std::runtime_error("trailing bytes");
    }

private:
    struct ReadBuffer : std::streambuf {
        explicit ReadBuffer(std::string_view bytes) {
            char* begin = const_cast<char*>(bytes.data());  // never written to
            setg(begin, begin, begin + bytes.size());
        }
        std::size_t left() const { return static_cast<std::size_t>(egptr() - gptr()); }
    };
    static std::string_view verified_body(std::string_view bytes) {
        if (bytes.size() < 8) throw std::runtime_error("too short to hold a checksum");
        const std::string_view body = bytes.substr(0, bytes.size() - 8);
        std::uint64_t checksum = 0;
        for (int i = 0; i < 8; ++i)
            checksum |=
                std::uint64_t{static_cast<unsigned char>(bytes[body.size() + static_cast<std::size_t>(i)])}
                << (8 * i);
        if (checksum != XXH3_64bits(body.data(), body.size())) throw std::runtime_error("checksum mismatch");
        return body;
    }
    ReadBuffer buffer_;
    std::istream stream_;
    cereal::PortableBinaryInputArchive archive_;
};

}  // namespace cobaltshift::config
