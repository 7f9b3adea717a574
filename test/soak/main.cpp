// SPDX-License-Identifier: BSL-1.0
/// \file
/// Fault soak: the real daemons under faults from outside. Checks what callers
/// and runners see.
///
///     pepperturn-soak BIN_FOLDER SEED SECONDS
#include "soak/soak.hpp"

#include <csignal>

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr << "usage: pepperturn-soak BIN_FOLDER SEED SECONDS\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    pepperturn::soak::soak soak(argv[1], std::stoull(argv[2]),
                                std::stoi(argv[3]));
    return soak.run();
}
