#include <barleyfork/core/event_splitter.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

constexpr std::string_view separator = "\n\n";
constexpr std::string_view end_marker = "data: [DONE]";

} // namespace

std::vector<std::string> event_splitter::feed(std::string_view bytes)
{
    partial_ += bytes;
    std::vector<std::string> complete_events;
    std::size_t start = 0;
    for (;;) {
        const auto end =
            partial_.find(separator, std::max(start, searched_bytes_));
        if (end == std::string::npos)
            break;
        complete_events.push_back(
            partial_.substr(start, end + separator.size() - start));
        start = end + separator.size();
        if (complete_events.back().starts_with(end_marker))
            is_done_ = true;
        else
            ++event_count_;
    }
    partial_.erase(0, start);
    // The last byte may be the first byte of a separator.
    searched_bytes_ = partial_.empty() ? 0 : partial_.size() - 1;
    return complete_events;
}

} // namespace barleyfork
