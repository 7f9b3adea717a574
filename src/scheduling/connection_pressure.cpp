// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/scheduling/connection_pressure.hpp"

#include <algorithm>
#include <numeric>

namespace pepperturn {

namespace {

constexpr std::uint64_t megabyte = 1U << 20U;
/// Links to storage VMs and peers, the store, probes, listeners and files.
constexpr std::size_t least_own_descriptors = 64;
constexpr std::size_t most_own_descriptors = 1024;
constexpr std::size_t own_divisor = 4;

/// Of a small VM's memory, beside buffers of bodies and responses.
constexpr std::uint32_t small_vm_mb = 40;
constexpr double small_vm_share = 0.6;
/// Of the memory beyond; the allocator's gaps need about as much.
constexpr double rest_share = 0.1;

/// Grows with what is held and with the time for which it is.
double weight_of(const incomplete_request& request)
{
    return static_cast<double>(request.m_bytes) *
           static_cast<double>(request.m_age.count() + 1);
}

} // namespace

descriptor_shares share_descriptors(std::size_t descriptors)
{
    descriptor_shares out;
    out.m_own = std::clamp(descriptors / own_divisor, least_own_descriptors,
                           most_own_descriptors);
    // A VM can always serve some callers.
    const auto rest = std::max(descriptors, out.m_own + 2) - out.m_own;
    out.m_callers = rest / 2;
    out.m_runners = rest - out.m_callers;
    return out;
}

std::uint64_t intake_limit(std::uint32_t memory_mb)
{
    if (memory_mb == 0)
        memory_mb = small_vm_mb;
    const auto small = std::min(memory_mb, small_vm_mb);
    const double limit_mb =
        small_vm_share * small + rest_share * (memory_mb - small);
    return static_cast<std::uint64_t>(limit_mb * megabyte);
}

std::vector<std::size_t>
choose_incomplete(const std::vector<incomplete_request>& requests,
                  std::uint64_t bytes)
{
    std::vector<std::size_t> out(requests.size());
    std::iota(out.begin(), out.end(), std::size_t{0});
    std::sort(out.begin(), out.end(), [&](std::size_t a, std::size_t b) {
        const auto left = weight_of(requests[a]);
        const auto right = weight_of(requests[b]);
        return left != right ? left > right : a < b;
    });
    std::uint64_t freed = 0;
    std::size_t count = 0;
    while (count < out.size() && freed < bytes)
        freed += requests[out[count++]].m_bytes;
    out.resize(count);
    return out;
}

} // namespace pepperturn
