// SPDX-License-Identifier: BSL-1.0
/// \file
/// What a process uses, by its own account under /proc.
#pragma once

#include <cstddef>
#include <cstdint>

#include <sys/types.h>

namespace pepperturn::clients {

/// Memory that is the process's alone, in bytes; 0: there is no such process.
[[nodiscard]] std::uint64_t private_bytes(pid_t process);
/// Open descriptors.
[[nodiscard]] std::size_t open_descriptors(pid_t process);

/// The highest values so far.
struct process_peak
{
    std::uint64_t m_private_bytes = 0;
    std::size_t m_descriptors = 0;
};

/// Raises \p peak to what \p process uses now.
void measure(process_peak& peak, pid_t process);

} // namespace pepperturn::clients
