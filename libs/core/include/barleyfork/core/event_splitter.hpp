#ifndef BARLEYFORK_CORE_EVENT_SPLITTER_HPP
#define BARLEYFORK_CORE_EVENT_SPLITTER_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace barleyfork {

/// Cuts a server-sent-event stream into whole events (WHATWG HTML, 9.2).
///
/// Only whole events are passed on, so a stream that breaks within one can be
/// resumed at `events` without a doubled or torn event.
class event_splitter
{
public:
    /// Takes in bytes; the whole events they complete, end marks included.
    std::vector<std::string> feed(std::string_view bytes);

    /// Drops a torn event, for a stream that is resumed elsewhere.
    void drop_partial()
    {
        partial_.clear();
        searched_ = 0;
    }

    /// Bytes of an event that has not come to its end.
    std::size_t partial_bytes() const noexcept
    {
        return partial_.size();
    }

    /// True within an event that has not come to its end.
    bool has_partial() const noexcept
    {
        return !partial_.empty();
    }

    /// Data events so far, the end mark not counted.
    std::uint64_t events() const noexcept
    {
        return events_;
    }

    /// True once `data: [DONE]` came.
    bool done() const noexcept
    {
        return done_;
    }

private:
    std::string partial_;
    /// Bytes of it that hold no end of an event.
    std::size_t searched_ = 0;
    std::uint64_t events_ = 0;
    bool done_ = false;
};

} // namespace barleyfork

#endif
