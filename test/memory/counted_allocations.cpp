// SPDX-License-Identifier: BSL-1.0
#include "memory/counted_allocations.hpp"

#include <atomic>
#include <cerrno>
#include <malloc.h>

// The allocator's own functions, by the names that the C library gives them.
// NOLINTBEGIN(bugprone-reserved-identifier,readability-identifier-naming)
extern "C" {
void* __libc_malloc(std::size_t size);
void* __libc_calloc(std::size_t count, std::size_t size);
void* __libc_realloc(void* block, std::size_t size);
void* __libc_memalign(std::size_t alignment, std::size_t size);
void __libc_free(void* block);
}
// NOLINTEND(bugprone-reserved-identifier,readability-identifier-naming)

namespace {

std::atomic<std::size_t> live{0};
std::atomic<std::size_t> peak{0};

void* count_in(void* block)
{
    if (block == nullptr)
        return nullptr;
    const auto now = live += malloc_usable_size(block);
    auto most = peak.load();
    while (now > most && !peak.compare_exchange_weak(most, now))
        ;
    return block;
}

void count_out(void* block)
{
    if (block != nullptr)
        live -= malloc_usable_size(block);
}

} // namespace

// They replace the C library's, also for what it calls itself.
extern "C" {

void* malloc(std::size_t size)
{
    return count_in(__libc_malloc(size));
}

void* calloc(std::size_t count, std::size_t size)
{
    return count_in(__libc_calloc(count, size));
}

void* realloc(void* block, std::size_t size)
{
    count_out(block);
    return count_in(__libc_realloc(block, size));
}

void* memalign(std::size_t alignment, std::size_t size)
{
    return count_in(__libc_memalign(alignment, size));
}

void* aligned_alloc(std::size_t alignment, std::size_t size)
{
    return count_in(__libc_memalign(alignment, size));
}

int posix_memalign(void** block, std::size_t alignment, std::size_t size)
{
    *block = count_in(__libc_memalign(alignment, size));
    return *block == nullptr ? ENOMEM : 0;
}

void free(void* block)
{
    count_out(block);
    __libc_free(block);
}

} // extern "C"

namespace pepperturn::test {

std::size_t live_bytes()
{
    return live;
}

std::size_t peak_bytes()
{
    return peak;
}

void reset_peak()
{
    peak = live.load();
}

} // namespace pepperturn::test
