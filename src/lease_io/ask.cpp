#include "lease_io/ask.hpp"

#include "lease_io/clock.hpp"
#include "lease_io/line.hpp"

namespace cobaltshift::lease {

namespace {
constexpr std::size_t kMostQueued = 64 * 1024;
constexpr std::chrono::milliseconds kAgain{300};
}  // namespace

std::optional<std::string> ask(const KeepersSettings& settings, FrameKind kind, const std::string& payload,
                               std::chrono::milliseconds within,
                               const std::function<bool(std::uint32_t, FrameKind, std::string_view)>& take) {
    asio::io_context io(1);
    const Secret secret = Secret::from_file(settings.secret_file);
    std::optional<std::string> taken;
    std::vector<std::unique_ptr<ReplicaConnection>> lines;
    for (std::uint32_t n = 0; n < settings.keepers.size(); ++n)
        lines.push_back(std::make_unique<ReplicaConnection>(
            io, settings.keepers[n], secret, Role::client, kLargestAnswer, kMostQueued,
            static_cast<std::uint64_t>(boottime_now() * 1000) + n,
            [&, n](FrameKind said, std::string_view answer) {
                if (taken || !take(n, said, answer)) return;
                taken = std::string(answer);
                io.stop();
            }));
    // The request goes to all replicas at once, as only the leader serves it, and is repeated because
    // leadership may change meanwhile.
    asio::steady_timer again(io), end(io);
    const std::function<void()> round = [&] {
        for (const auto& line : lines) line->send(kind, payload);
        again.expires_after(kAgain);
        again.async_wait([&](error_code ec) {
            if (!ec) round();
        });
    };
    round();
    end.expires_after(within);
    end.async_wait([&](error_code ec) {
        if (!ec) io.stop();
    });
    io.run();
    return taken;
}

}  // namespace cobaltshift::lease
