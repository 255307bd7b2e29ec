#include <iostream> // cerr, cin, cout

#include "poplarctl.hpp"

int main(int argc, char** argv)
{
    return poplarport::poplarctl::run(argc, argv, {std::cin, std::cout, std::cerr});
}
