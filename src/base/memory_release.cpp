// SPDX-License-Identifier: BSL-1.0
#include "pepperturn/base/memory_release.hpp"

#include <malloc.h>

namespace pepperturn {

namespace {

/// Blocks of this size and more, in bytes, are mapped on their own. By default
/// the limit grows to the largest block that was ever freed.
constexpr int mapped_block_bytes = 128 << 10;
/// Freed bytes at the end of the heap above which they are returned.
constexpr int kept_heap_bytes = 256 << 10;

} // namespace

void limit_kept_memory()
{
    mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    mallopt(M_TRIM_THRESHOLD, kept_heap_bytes);
}

void return_freed_memory()
{
    malloc_trim(0);
}

} // namespace pepperturn
