// The process that the simulator starts: speaks its line protocol on standard input and output.
#include <iostream>

#include "wire.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    return cobaltshift::wire::Host(std::cin, std::cout, std::cerr).run();
}
