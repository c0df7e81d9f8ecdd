#ifndef BARLEYFORK_CORE_EVENT_SPLITTER_HPP
#define BARLEYFORK_CORE_EVENT_SPLITTER_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace barleyfork {

/// Splits a stream of server-sent events into complete events (WHATWG HTML,
/// 9.2).
///
/// Only complete events are passed on, so a stream that breaks within an event
/// can be resumed at `events` without a duplicate or truncated event.
class event_splitter
{
public:
    /// Appends bytes of the stream and returns the events that they complete,
    /// including the end marker of the stream.
    std::vector<std::string> feed(std::string_view bytes);

    /// Discards an incomplete event, for a stream that is resumed on another
    /// server.
    void drop_partial()
    {
        partial_.clear();
        searched_bytes_ = 0;
    }

    /// Returns the number of buffered bytes of an incomplete event.
    std::size_t partial_bytes() const noexcept
    {
        return partial_.size();
    }

    /// Returns true if an incomplete event is buffered.
    bool has_partial() const noexcept
    {
        return !partial_.empty();
    }

    /// Returns the number of complete events so far, without the end marker.
    std::uint64_t events() const noexcept
    {
        return event_count_;
    }

    /// Returns true once the end marker `data: [DONE]` was received.
    bool done() const noexcept
    {
        return is_done_;
    }

private:
    std::string partial_;
    /// Leading bytes of `partial_` that were already searched for a separator.
    std::size_t searched_bytes_ = 0;
    std::uint64_t event_count_ = 0;
    bool is_done_ = false;
};

} // namespace barleyfork

#endif
