// Flow from demands to sites, by augmenting paths: a small network with room on its edges. Entry type: Flow.
// What has been placed of a demand is never taken back by what comes later; it may be moved to another site.
#pragma once

#include <cstddef>
#include <vector>

namespace cobaltshift::site {

class Flow {
public:
    Flow(std::size_t demands, std::size_t sites);

    void open(std::size_t demand, std::size_t site);  // it may go there
    void room(std::size_t site, double room);         // as a whole, with what is placed there already
    // Places up to `amount` more of the demand; by way of `only`, if one is named, else wherever there is
    // room, others moved aside. Returns how much.
    double place(std::size_t demand, double amount);
    double place_at(std::size_t demand, std::size_t only, double amount);

    double placed(std::size_t demand, std::size_t site) const { return flow_[demand][site]; }
    double used(std::size_t site) const { return used_[site]; }

private:
    double augment(std::size_t demand, double amount);

    std::vector<std::vector<bool>> open_;
    std::vector<std::vector<double>> flow_;
    std::vector<double> room_, used_;
};

}  // namespace cobaltshift::site
