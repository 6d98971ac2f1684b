#include "plan/codec.hpp"

#include <bit>
#include <cstring>
#include <stdexcept>

namespace cobaltshift::plan {

namespace {

constexpr std::uint8_t kReport = 0xc1, kPlan = 0xc2;  // first byte: kind and version

class Writer {
public:
    void byte(std::uint8_t value) { bytes.push_back(static_cast<char>(value)); }
    void number(std::uint64_t value) {
        for (; value >= 0x80; value >>= 7) byte(static_cast<std::uint8_t>(value | 0x80));
        byte(static_cast<std::uint8_t>(value));
    }
    void real(double value) { fixed(std::bit_cast<std::uint64_t>(value), 8); }
    void real(float value) { fixed(std::bit_cast<std::uint32_t>(value), 4); }
    void text(const std::string& value) {
        number(value.size());
        bytes += value;
    }
    std::string bytes;

private:
    void fixed(std::uint64_t value, int size) {
        for (int i = 0; i < size; ++i) byte(static_cast<std::uint8_t>(value >> 8 * i));
    }
};

struct DecodeError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Reader {
public:
    explicit Reader(std::string_view bytes) : remaining_(bytes) {}
    std::uint8_t byte(const char* field) {
        if (remaining_.empty()) throw DecodeError(std::string(field) + " is cut short");
        const auto value = static_cast<std::uint8_t>(remaining_.front());
        remaining_.remove_prefix(1);
        return value;
    }
    std::uint64_t number(const char* field, std::uint64_t max = UINT64_MAX) {
        std::uint64_t value = 0;
        for (int shift = 0;; shift += 7) {
            const std::uint8_t next = byte(field);
            if (shift == 63 && next > 1) throw DecodeError(std::string(field) + " is over 64 bits");
            value |= static_cast<std::uint64_t>(next & 0x7f) << shift;
            if (next < 0x80) break;
        }
        if (value > max) throw DecodeError(std::string(field) + " is over its bound");
        return value;
    }
    // A number of elements that take at least `min_size` bytes each. A count that exceeds what the remaining
    // bytes can hold is rejected before memory is allocated for it.
    std::size_t count(const char* field, std::size_t max, std::size_t min_size) {
        const auto value = static_cast<std::size_t>(number(field, max));
        if (value > remaining_.size() / min_size)
            throw DecodeError(std::string(field) + " is more than follows");
        return value;
    }
    bool flag(const char* field) { return number(field, 1) == 1; }
    double real64(const char* field) { return std::bit_cast<double>(fixed(field, 8)); }
    float real32(const char* field) {
        return std::bit_cast<float>(static_cast<std::uint32_t>(fixed(field, 4)));
    }
    std::string text(const char* field, std::size_t max) {
        const std::size_t size = count(field, max, 1);
        std::string value(remaining_.substr(0, size));
        remaining_.remove_prefix(size);
        return value;
    }
    void end() const {
        if (!remaining_.empty()) throw DecodeError("bytes are left over");
    }

private:
    std::uint64_t fixed(const char* field, int size) {
        std::uint64_t value = 0;
        for (int i = 0; i < size; ++i) value |= static_cast<std::uint64_t>(byte(field)) << 8 * i;
        return value;
    }
    std::string_view remaining_;
};

void write(Writer& out, const ServerIncarnation& life) {
    out.number(life.id);
    out.real(life.born);
}
ServerIncarnation read_incarnation(Reader& in) {
    ServerIncarnation life;
    life.id = static_cast<ServerId>(in.number("server.id", UINT32_MAX));
    life.born = in.real64("server.born");
    return life;
}

template <class Message, class Body>
std::optional<Message> decode(std::string_view bytes, std::uint8_t kind, std::string& why, Body body) {
    try {
        if (bytes.size() > kMaxMessage) throw DecodeError("the message is too long");
        Reader in(bytes);
        if (in.byte("kind") != kind) throw DecodeError("kind is another");
        Message message;
        body(in, message);
        in.end();
        return message;
    } catch (const DecodeError& error) {
        why = error.what();
        return std::nullopt;
    }
}

}  // namespace

std::string encode(const Report& report) {
    Writer out;
    out.byte(kReport);
    out.text(report.forwarder);
    out.number(report.incarnation);
    out.number(report.sequence);
    out.number(report.full);
    out.number(report.servers.size());
    for (const ServerReport& s : report.servers) {
        write(out, s.life);
        out.number(s.attempts);
        // Most counters are 0: a bit mask marks those that are not, and only these follow.
        std::uint32_t mask = 0;
        for (std::size_t i = 0; i < kOutcomes; ++i) mask |= (s.outcomes[i] != 0 ? 1u : 0u) << i;
        out.number(mask);
        for (const auto n : s.outcomes)
            if (n != 0) out.number(n);
        out.number(s.late);
        out.number(s.outstanding);
        out.number(s.removed);
        mask = 0;
        for (std::size_t i = 0; i < Digest::kBuckets; ++i) mask |= (s.latency.counts[i] != 0 ? 1u : 0u) << i;
        out.number(mask);
        for (const auto n : s.latency.counts)
            if (n != 0) out.number(n);
    }
    out.number(report.demand.size());
    for (const auto n : report.demand) out.number(n);
    out.number(report.seen.size());
    for (const PlanId& id : report.seen) out.number(id.epoch), out.number(id.sequence);
    return std::move(out.bytes);
}

std::optional<Report> decode_report(std::string_view bytes, std::string& why) {
    return decode<Report>(bytes, kReport, why, [](Reader& in, Report& report) {
        report.forwarder = in.text("forwarder", kMaxName);
        if (report.forwarder.empty()) throw DecodeError("forwarder is empty");
        report.incarnation = in.number("incarnation");
        report.sequence = in.number("sequence");
        report.full = in.flag("full");
        report.servers.resize(in.count("servers", kMaxServers, 15));
        for (ServerReport& s : report.servers) {
            s.life = read_incarnation(in);
            s.attempts = in.number("server.attempts");
            std::uint64_t mask = in.number("server.outcomes", (1u << kOutcomes) - 1);
            for (std::size_t i = 0; i < kOutcomes; ++i)
                if (mask >> i & 1) s.outcomes[i] = in.number("server.outcome");
            s.late = in.number("server.late");
            s.outstanding = static_cast<std::uint32_t>(in.number("server.outstanding", UINT32_MAX));
            s.removed = in.flag("server.removed");
            mask = in.number("server.latency", (1u << Digest::kBuckets) - 1);
            for (std::size_t i = 0; i < Digest::kBuckets; ++i)
                if (mask >> i & 1)
                    s.latency.counts[i] = static_cast<std::uint32_t>(in.number("server.time", UINT32_MAX));
        }
        report.demand.resize(in.count("demand", kMaxClasses, 1));
        for (auto& n : report.demand) n = in.number("demand");
        report.seen.resize(in.count("seen", kMaxPlanners, 2));
        for (PlanId& id : report.seen)
            id.epoch = in.number("seen.epoch"), id.sequence = in.number("seen.sequence");
    });
}

std::string encode(const Plan& plan) {
    Writer out;
    out.byte(kPlan);
    out.number(plan.planner);
    out.number(plan.id.epoch);
    out.number(plan.id.sequence);
    out.real(plan.life);
    out.number(plan.same);
    out.number(plan.servers.size());
    for (const ServerPlan& s : plan.servers) {
        write(out, s.life);
        const bool cold = s.cold_rate != 0;
        out.number((s.removed ? 1u : 0u) | (s.preferred ? 2u : 0u) | (cold ? 4u : 0u));
        out.number(s.trial);
        out.real(s.share);
        out.real(s.elsewhere);
        if (cold) out.real(s.cold_rate);
    }
    return std::move(out.bytes);
}

std::optional<Plan> decode_plan(std::string_view bytes, std::string& why) {
    return decode<Plan>(bytes, kPlan, why, [](Reader& in, Plan& plan) {
        plan.planner = static_cast<std::uint32_t>(in.number("planner", kMaxPlanners - 1));
        plan.id.epoch = in.number("epoch");
        plan.id.sequence = in.number("sequence");
        plan.life = in.real64("life");
        plan.same = in.flag("same");
        plan.servers.resize(in.count("servers", kMaxServers, 19));
        for (ServerPlan& s : plan.servers) {
            s.life = read_incarnation(in);
            const std::uint64_t flags = in.number("server.flags", 7);
            s.removed = flags & 1, s.preferred = flags & 2;
            s.trial = static_cast<std::uint32_t>(in.number("server.trial", UINT32_MAX));
            s.share = in.real32("server.share");
            s.elsewhere = in.real32("server.elsewhere");
            if (flags & 4) s.cold_rate = in.real32("server.cold");
        }
    });
}

}  // namespace cobaltshift::plan
