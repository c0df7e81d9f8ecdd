#ifndef BARLEYFORK_LOGS_REQUEST_STORY_HPP
#define BARLEYFORK_LOGS_REQUEST_STORY_HPP

#include <barleyfork/logs/log_line.hpp>

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace barleyfork {

/// What the logs tell of one request.
struct request_story
{
    /// Why it ended as it did, in one sentence; empty where no line is of it.
    std::string cause;
    /// Its own lines and those about its servers and its daemon that stand
    /// beside them, in the order of time.
    std::vector<log_line> lines;
};

/// Tells the story of the request with this id.
request_story tell_story(std::span<const log_line> log, std::string_view id);

/// How many requests ended for which cause; identifiers are left out of it.
std::map<std::string, std::size_t> count_causes(std::span<const log_line> log);

} // namespace barleyfork

#endif
