#ifndef BARLEYFORK_BASE_HEAP_HPP
#define BARLEYFORK_BASE_HEAP_HPP

namespace barleyfork {

/// Makes this process return each buffer of 128 KB or more to the system when
/// it is freed, and take memory for its pages only once they are written.
///
/// By default malloc does so up to a size that rises with what is freed. From
/// then on the unused end of a buffer that has doubled is in memory as well,
/// and so are the smaller copies that it leaves behind. Call it first in
/// `main`: it changes the setting of the whole process.
void return_freed_buffers() noexcept;

} // namespace barleyfork

#endif
