#include "lease/codec.hpp"

#include "store/checksum.hpp"
#include "store/fields.hpp"

namespace cobaltshift::lease {

namespace {

using protozero::pbf_writer;
using store::Fields;
using store::Unreadable;

constexpr std::uint64_t kFormat = 1;
constexpr std::size_t kMaxText = 4 * 1024 * 1024;

void add_text(pbf_writer& w, std::uint32_t tag, const std::string& text) {
    if (!text.empty()) w.add_bytes(tag, text);
}

// Decodes a body with checksum and format number, at most `most` bytes long. `take` is called for each field
// and returns whether it consumed it; fields that it doesn't know are skipped.
template <class What, class Take>
std::optional<What> read(std::string_view bytes, std::size_t most, std::string& why, Take take) {
    why.clear();
    if (bytes.size() > most) return why = "it is too long", std::nullopt;
    const auto body = store::verify_checksum(bytes);
    if (!body) return why = "its checksum is not its own", std::nullopt;
    What what;
    std::uint64_t format = 0;
    try {
        Fields f(*body);
        while (f.next()) {
            if (f.tag() == 1)
                format = f.number("format");
            else if (!take(what, f))
                f.skip();
        }
        if (format != kFormat) throw Unreadable("its format is " + std::to_string(format));
    } catch (const Unreadable& fault) {
        return why = fault.what(), std::nullopt;
    }
    return what;
}

}  // namespace

std::string encode(const Request& q) {
    std::string bytes;
    pbf_writer w(bytes);
    w.add_uint64(1, kFormat);
    w.add_uint32(2, static_cast<std::uint32_t>(q.kind));
    w.add_uint64(3, q.holder);
    w.add_uint64(4, q.number);
    add_text(w, 5, q.name);
    add_text(w, 6, q.task);
    w.add_uint64(7, q.fence);
    w.add_double(8, q.length);
    w.add_bool(9, q.wait);
    add_text(w, 10, q.next);
    add_text(w, 11, q.text);
    return store::append_checksum(std::move(bytes));
}

std::optional<Request> decode_question(std::string_view bytes, std::string& why) {
    auto question = read<Request>(bytes, kMaxQuestionBytes, why, [](Request& q, Fields& f) {
        switch (f.tag()) {
            case 2:
                q.kind = static_cast<Request::Kind>(
                    f.number("kind", static_cast<std::uint64_t>(Request::Kind::note)));
                return true;
            case 3:
                q.holder = f.number("holder");
                return true;
            case 4:
                q.number = f.number("number");
                return true;
            case 5:
                q.name = f.text("name", kMaxName);
                return true;
            case 6:
                q.task = f.text("task", kMaxName);
                return true;
            case 7:
                q.fence = f.number("fence");
                return true;
            case 8:
                q.length = f.real("length", kMinLeaseLength, kMaxLeaseLength);
                return true;
            case 9:
                q.wait = f.flag("wait");
                return true;
            case 10:
                q.next = f.text("next", kMaxName);
                return true;
            case 11:
                q.text = f.text("text", kMaxNote);
                return true;
            default:
                return false;
        }
    });
    if (question && !is_valid_note(question->text))
        return why = "its text has control characters", std::nullopt;
    if (question && question->holder == 0) return why = "it is nobody's", std::nullopt;
    if (question && question->task.empty() && question->kind != Request::Kind::list)
        return why = "the task is missing", std::nullopt;
    return question;
}

std::string encode(const Response& a) {
    std::string bytes;
    pbf_writer w(bytes);
    w.add_uint64(1, kFormat);
    w.add_uint32(2, static_cast<std::uint32_t>(a.kind));
    w.add_uint64(3, a.holder);
    w.add_uint64(4, a.number);
    add_text(w, 5, a.task);
    w.add_uint64(6, a.fence);
    w.add_double(7, a.length);
    w.add_uint32(8, a.place);
    add_text(w, 9, a.by);
    add_text(w, 10, a.text);
    return store::append_checksum(std::move(bytes));
}

std::optional<Response> decode_answer(std::string_view bytes, std::string& why) {
    return read<Response>(bytes, kMaxText + 1024, why, [](Response& a, Fields& f) {
        switch (f.tag()) {
            case 2:
                a.kind = static_cast<Response::Kind>(
                    f.number("kind", static_cast<std::uint64_t>(Response::Kind::listed)));
                return true;
            case 3:
                a.holder = f.number("holder");
                return true;
            case 4:
                a.number = f.number("number");
                return true;
            case 5:
                a.task = f.text("task", kMaxName);
                return true;
            case 6:
                a.fence = f.number("fence");
                return true;
            case 7:
                a.length = f.real("length", 0, kMaxLeaseLength);
                return true;
            case 8:
                a.place = static_cast<std::uint32_t>(f.number("place", UINT32_MAX));
                return true;
            case 9:
                a.by = f.text("by", kMaxName);
                return true;
            case 10:
                a.text = f.text("text", kMaxText);
                return true;
            default:
                return false;
        }
    });
}

std::string encode(const Op& op) {
    std::string bytes;
    pbf_writer w(bytes);
    w.add_uint32(1, static_cast<std::uint32_t>(op.kind));
    add_text(w, 2, op.task);
    w.add_uint64(3, op.holder);
    add_text(w, 4, op.name);
    w.add_uint64(5, op.fence);
    w.add_double(6, op.length);
    w.add_bool(7, op.wait);
    add_text(w, 8, op.next);
    add_text(w, 9, op.text);
    if (op.number != 0) w.add_uint64(10, op.number);
    return bytes;
}

std::optional<Op> decode_op(std::string_view bytes) {
    Op op;
    try {
        Fields f(bytes);
        while (f.next()) switch (f.tag()) {
                case 1:
                    op.kind =
                        static_cast<Op::Kind>(f.number("kind", static_cast<std::uint64_t>(Op::Kind::note)));
                    break;
                case 2:
                    op.task = f.text("task", kMaxName);
                    break;
                case 3:
                    op.holder = f.number("holder");
                    break;
                case 4:
                    op.name = f.text("name", kMaxName);
                    break;
                case 5:
                    op.fence = f.number("fence");
                    break;
                case 6:
                    op.length = f.real("length", 0, kMaxLeaseLength);
                    break;
                case 7:
                    op.wait = f.flag("wait");
                    break;
                case 8:
                    op.next = f.text("next", kMaxName);
                    break;
                case 9:
                    op.text = f.text("text", kMaxNote);
                    break;
                case 10:
                    op.number = f.number("number");
                    break;
                default:
                    f.skip();
            }
    } catch (const Unreadable&) {
        return {};
    }
    return op;
}

}  // namespace cobaltshift::lease
