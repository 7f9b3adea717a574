// SPDX-License-Identifier: BSL-1.0
// Load and experiments.
#include "pepperturn/bench/commands.hpp"

#include <iostream>
#include <map>

int main(int argc, char** argv)
{
    constexpr int exit_usage = 2;
    const std::map<std::string, int (*)(int, char**)> commands{
        {"programs", pepperturn::bench::programs_command},
        {"capacity", pepperturn::bench::capacity_command},
        {"path", pepperturn::bench::path_command}};
    const auto found =
        argc < 2 ? commands.end() : commands.find(std::string(argv[1]));
    if (found == commands.end())
    {
        std::cerr << "usage: pepperturn-bench programs|capacity|path "
                     "[--help]\n";
        return exit_usage;
    }
    return found->second(argc - 1, argv + 1);
}
