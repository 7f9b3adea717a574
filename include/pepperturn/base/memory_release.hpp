// SPDX-License-Identifier: BSL-1.0
/// \file
/// Memory that the process has freed goes back to the operating system. The
/// allocator keeps freed memory for later use by default, so that a process
/// that has read one long list would occupy several times its size for good.
#pragma once

namespace pepperturn {

/// Lets the allocator return large freed blocks at once, whatever the size of
/// those freed before. To be called before other threads start.
void limit_kept_memory();

/// Returns what is free between blocks in use as well. Takes some milliseconds
/// for some ten megabytes.
void return_freed_memory();

} // namespace pepperturn
