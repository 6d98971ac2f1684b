#include "site_io/orders.hpp"

#include <algorithm>
#include <sstream>

#include "lease_io/rights.hpp"
#include "site/lead.hpp"

namespace cobaltshift::site {

namespace {
constexpr lease::Millis kLength = 5000;
}

std::map<std::string, bool> read_orders(const std::string& note) {
    std::map<std::string, bool> orders;
    std::istringstream words(note);
    for (std::string word; words >> word;) {
        const auto at = word.find('=');
        if (at == std::string::npos || !fit_for_a_site(word.substr(0, at)) || orders.size() >= kMostLed)
            continue;
        const std::string what = word.substr(at + 1);
        if (what == "drain" || what == "back") orders[word.substr(0, at)] = what == "drain";
    }
    return orders;
}

std::string orders_text(const std::map<std::string, bool>& orders) {
    std::string text;
    for (const auto& [site, drained] : orders)
        text += (text.empty() ? "" : " ") + site + (drained ? "=drain" : "=back");
    return text;
}

Ordered order(const lease::KeepersSettings& settings, const std::string& site, bool drained,
              lease::Millis within) {
    lease::asio::io_context io(1);
    lease::LeaseClient rights(io, settings, "operator");
    lease::asio::steady_timer end(io);
    Ordered result = Ordered::not_left;
    bool asked = false, over = false;
    rights.on_change([&] {
        if (over) {
            if (rights.state(kOrderTask) == lease::Holder::State::idle) io.stop();
            return;
        }
        const auto state = rights.note_state(kOrderTask);
        if (!asked && rights.right(kOrderTask)) {
            auto orders = read_orders(rights.note(kOrderTask));
            orders[site] = drained;
            asked = rights.leave_note(kOrderTask, orders_text(orders));
            return;
        }
        if (!asked) {
            const auto* last = rights.last(kOrderTask);
            if (last && last->kind == lease::Response::Kind::queued) result = Ordered::held_by_another;
            return;
        }
        if (state == lease::Holder::Note::on_its_way) return;
        result = state == lease::Holder::Note::left ? Ordered::left : Ordered::not_left;
        over = true;
        rights.give_up(kOrderTask);
        end.expires_after(std::chrono::milliseconds(500));  // for the release
        end.async_wait([&](lease::error_code ec) {
            if (!ec) io.stop();
        });
    });
    rights.want(kOrderTask, std::max(kLength, 3 * settings.margin), true);
    end.expires_after(std::chrono::milliseconds(static_cast<long>(within)));
    end.async_wait([&](lease::error_code ec) {
        if (!ec) io.stop();
    });
    io.run();
    return result;
}

}  // namespace cobaltshift::site
