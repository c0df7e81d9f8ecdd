#include <barleyfork/base/heap.hpp>

#include <malloc.h>

namespace barleyfork {

void return_freed_buffers() noexcept
{
    constexpr int smallest_returned_bytes = 128 * 1024;
    // A size that is set does not rise any more.
    mallopt(M_MMAP_THRESHOLD, smallest_returned_bytes);
}

} // namespace barleyfork
