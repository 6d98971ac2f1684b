// Rules of the agreement: what one keeper applies at an index every keeper applies there; after the same
// index all books are the same; in one term one leader at most. Together with a majority that keeps its
// folders: nothing acknowledged is lost, as it would be applied no more or otherwise.
#include <map>

#include "sim/lease_facts.hpp"
#include "sim/scene.hpp"

namespace cobaltshift::sim {

namespace {

class Agreement : public Part {
public:
    explicit Agreement(Scene& scene) : scene_(scene) {
        if (scene.day.count("keepers", 0) == 0) return;
        scene.bus.on<Agreed>(kName, [this](const Agreed& a) {
            const auto [at, fresh] = entries_.try_emplace(a.index, a.hash);
            if (!fresh && at->second != a.hash)
                scene_.broken(kName,
                              keeper_name(a.keeper) + " applies another entry " + std::to_string(a.index),
                              keeper_name(a.keeper));
            scene_.at_least("entries", static_cast<double>(a.index));
        });
        scene.bus.on<BookAt>(kName, [this](const BookAt& b) {
            const auto [at, fresh] = books_.try_emplace(b.index, b.digest);
            if (!fresh && at->second != b.digest)
                scene_.broken(kName,
                              keeper_name(b.keeper) + " has another book at " + std::to_string(b.index),
                              keeper_name(b.keeper));
        });
        scene.bus.on<Led>(kName, [this](const Led& l) {
            const auto [at, fresh] = leaders_.try_emplace(l.term, l.id);
            if (!fresh && at->second != l.id)
                scene_.broken(kName, "two leaders in term " + std::to_string(l.term), keeper_name(l.keeper));
            scene_.figure("leaders") += 1;
        });
    }

private:
    static constexpr const char* kName = "agreement";
    Scene& scene_;
    std::map<raft::Index, std::uint64_t> entries_, books_;
    std::map<raft::Term, raft::MemberId> leaders_;
};

const Registered kChecker =
    Registered::checker("agreement", [](Scene& scene) { scene.add<Agreement>(scene); });

}  // namespace

}  // namespace cobaltshift::sim
