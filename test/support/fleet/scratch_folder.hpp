// SPDX-License-Identifier: BSL-1.0
/// \file
/// Where tests put the disks of VMs.
#pragma once

#include <filesystem>
#include <string>
#include <unistd.h>

namespace pepperturn::test {

/// A new empty folder, in memory where the machine offers that: these tests
/// check what is written, and a sync of a busy machine's disk may take seconds
/// (up to 7.7 s beside builds).
[[nodiscard]] inline std::string make_scratch_folder(const std::string& prefix)
{
    const std::filesystem::path in_memory = "/dev/shm";
    const bool has_memory = access(in_memory.c_str(), W_OK | X_OK) == 0;
    const auto root =
        has_memory ? in_memory : std::filesystem::temp_directory_path();
    std::string name = root / (prefix + "-XXXXXX");
    return mkdtemp(name.data()) == nullptr ? std::string{} : name;
}

} // namespace pepperturn::test
