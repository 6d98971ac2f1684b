// What happens to archive servers. A target is the server's number; amounts as each says.
#include <charconv>

#include "sim/models/archive.hpp"

namespace cobaltshift::sim {

namespace {

Archive& server(Scene& scene, const Fault& fault) {
    std::size_t number = 0;
    const std::string& text = fault.target;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() ||
        number >= scene.all<Archive>().size())
        throw ModelError("fault " + fault.kind + ": there is no server '" + text + "'");
    return *scene.all<Archive>().at(number);
}

// Begins at its time and ends after its length.
Registered lasting(const std::string& kind, void (*begin)(Archive&, const Fault&), void (*end)(Archive&)) {
    return Registered::fault(kind, [begin, end](Scene& scene, const Fault& fault) {
        Archive& one = server(scene, fault);
        scene.kernel.at(fault.at, [&one, fault, begin] { begin(one, fault); });
        scene.kernel.at(fault.at + fault.length, [&one, end] { end(one); });
    });
}

const Registered kCrash = lasting(
    "crash", [](Archive& s, const Fault&) { s.crash(); }, [](Archive& s) { s.back(); });
const Registered kErrors = lasting(
    "errors", [](Archive& s, const Fault& f) { s.fail(f.amount); }, [](Archive& s) { s.fail(0); });
const Registered kFreeze = lasting(
    "freeze", [](Archive& s, const Fault&) { s.freeze(); }, [](Archive& s) { s.thaw(); });
const Registered kMute = lasting(
    "mute", [](Archive& s, const Fault&) { s.mute(true); }, [](Archive& s) { s.mute(false); });
// Drains for half of its length, is off the list for the other half, and comes back as another process.
const Registered kDrain = Registered::fault("drain", [](Scene& scene, const Fault& fault) {
    Archive& one = server(scene, fault);
    scene.kernel.at(fault.at, [&one] { one.drain(kelplb::Phase::draining); });
    scene.kernel.at(fault.at + fault.length / 2, [&one] { one.drain(kelplb::Phase::off); });
    scene.kernel.at(fault.at + fault.length, [&one] { one.drain(kelplb::Phase::on); });
});

}  // namespace

}  // namespace cobaltshift::sim
