#include <exception>   // exception
#include <iostream>    // cerr
#include <string_view> // string_view

#include <sysexits.h>

#include "commands.hpp"

int main(int argc, char** argv)
{
    try
    {
        if (argc > 1 && std::string_view{argv[1]} == "join")
        {
            return poplarport::load::join_command(argc - 1, argv + 1);
        }
        return poplarport::load::run_command(argc, argv);
    }
    catch (const std::exception& fault)
    {
        std::cerr << "poplar-load: " << fault.what() << '\n';
        return EX_SOFTWARE;
    }
}
