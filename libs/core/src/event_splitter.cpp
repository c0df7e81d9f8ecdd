#include <barleyfork/core/event_splitter.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

constexpr std::string_view separator = "\n\n";
constexpr std::string_view end_mark = "data: [DONE]";

} // namespace

std::vector<std::string> event_splitter::feed(std::string_view bytes)
{
    partial_ += bytes;
    std::vector<std::string> whole;
    std::size_t start = 0;
    for (;;) {
        const auto end = partial_.find(separator, std::max(start, searched_));
        if (end == std::string::npos)
            break;
        whole.push_back(partial_.substr(start, end + separator.size() - start));
        start = end + separator.size();
        if (whole.back().starts_with(end_mark))
            done_ = true;
        else
            ++events_;
    }
    partial_.erase(0, start);
    // The end may begin with the last byte.
    searched_ = partial_.empty() ? 0 : partial_.size() - 1;
    return whole;
}

} // namespace barleyfork
