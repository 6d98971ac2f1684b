// What has happened, told to whoever checks or counts it. A fact is any struct with `std::string text()
// const`; who publishes it knows no subscriber, and a new kind of fact touches no other file.
#pragma once

#include <exception>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cobaltshift::sim {

class Bus {
public:
    template <class Fact>
    void on(std::string who, std::function<void(const Fact&)> hears) {
        channel<Fact>().push_back({std::move(who), [hears = std::move(hears)](const void* fact) {
                                       hears(*static_cast<const Fact*>(fact));
                                   }});
    }
    // In the order of subscribing. One that throws is told of to `failed`, and the others hear the fact all
    // the same.
    template <class Fact>
    void tell(const Fact& fact) {
        if (trace_) trace_(fact.text());
        for (const Hearer& hearer : channel<Fact>()) {
            try {
                hearer.hears(&fact);
            } catch (const std::exception& error) {
                if (failed_) failed_(hearer.who, error.what());
            }
        }
    }
    void on_failed(std::function<void(const std::string& who, const std::string& what)> told) {
        failed_ = std::move(told);
    }
    // Every fact in words, for a replay; costs nothing while there is none.
    void trace(std::function<void(const std::string&)> told) { trace_ = std::move(told); }

private:
    struct Hearer {
        std::string who;
        std::function<void(const void*)> hears;
    };
    template <class Fact>
    std::vector<Hearer>& channel() {
        static const std::size_t number = next_number();
        if (channels_.size() <= number) channels_.resize(number + 1);
        return channels_[number];
    }
    static std::size_t next_number();

    std::vector<std::vector<Hearer>> channels_;  // by kind of fact
    std::function<void(const std::string&, const std::string&)> failed_;
    std::function<void(const std::string&)> trace_;
};

}  // namespace cobaltshift::sim
