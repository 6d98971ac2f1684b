// cereal's portable binary over bytes that nobody vouches for: lengths are held against what is there before
// anything is made so large. Entries: Out, In. Called by codec.cpp and state machine.cpp.
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

class Out {
public:
    Out& operator<<(std::uint64_t number) { return archive_(number), *this; }
    Out& operator<<(std::string_view text) {
        archive_(std::uint32_t(text.size()));
        archive_(cereal::binary_data(text.data(), text.size()));
        return *this;
    }
    Out& operator<<(const std::vector<std::string>& texts) {
        *this << std::uint64_t{texts.size()};
        for (const std::string& text : texts) *this << std::string_view(text);
        return *this;
    }
    Out& operator<<(const std::vector<std::pair<std::string, std::string>>& pairs) {
        *this << std::uint64_t{pairs.size()};
        for (const auto& [name, text] : pairs) *this << std::string_view(name) << std::string_view(text);
        return *this;
    }
    // With its sum behind it; this Out is used up.
    std::string sealed() {
        std::string bytes = std::move(stream_).str();
        const std::uint64_t sum = XXH3_64bits(bytes.data(), bytes.size());
        for (int i = 0; i < 8; ++i) bytes += static_cast<char>(sum >> (8 * i));
        return bytes;
    }

private:
    std::ostringstream stream_{std::ios::binary};
    cereal::PortableBinaryOutputArchive archive_{stream_};
};

// Throws std::exception where the bytes end early, are too many, or their sum is wrong: for callers that
// catch it.
class In {
public:
    explicit In(std::string_view bytes) : buffer_(unsealed(bytes)), stream_(&buffer_), archive_(stream_) {}
    std::uint64_t number() {
        std::uint64_t value = 0;
        archive_(value);
        return value;
    }
    std::string text() {
        std::uint32_t size = 0;
        archive_(size);
        if (size > buffer_.left()) throw std::runtime_error("a text is longer than what is there");
        std::string value(size, '\0');
        archive_(cereal::binary_data(value.data(), value.size()));
        return value;
    }
    std::size_t count() {
        const std::uint64_t count = number();
        if (count > buffer_.left()) throw std::runtime_error("there are fewer items than it says");
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
    void end() const {
        if (buffer_.left() != 0) throw std::runtime_error("bytes are left over");
    }

private:
    struct Buffer : std::streambuf {
        explicit Buffer(std::string_view bytes) {
            char* begin = const_cast<char*>(bytes.data());  // only read from
            setg(begin, begin, begin + bytes.size());
        }
        std::size_t left() const { return static_cast<std::size_t>(egptr() - gptr()); }
    };
    static std::string_view unsealed(std::string_view bytes) {
        if (bytes.size() < 8) throw std::runtime_error("it is cut short");
        const std::string_view body = bytes.substr(0, bytes.size() - 8);
        std::uint64_t sum = 0;
        for (int i = 0; i < 8; ++i)
            sum |= std::uint64_t{static_cast<unsigned char>(bytes[body.size() + static_cast<std::size_t>(i)])}
                   << (8 * i);
        if (sum != XXH3_64bits(body.data(), body.size())) throw std::runtime_error("its sum is wrong");
        return body;
    }
    Buffer buffer_;
    std::istream stream_;
    cereal::PortableBinaryInputArchive archive_;
};

}  // namespace cobaltshift::config
