#include <barleyfork/core/suspicion_writes.hpp>

#include <algorithm>

namespace barleyfork {

namespace {

constexpr duration one_second{1000};

} // namespace

std::size_t suspicion_writes::max_blames(suspicion_writer writer)
{
    return writer == suspicion_writer::lease_holder ? max_blames_of_holder
                                                    : max_blames_of_cut_off;
}

duration suspicion_writes::interval(suspicion_writer writer,
                                    std::size_t daemons)
{
    if (writer == suspicion_writer::lease_holder)
        return min_interval;
    const auto share = static_cast<std::int64_t>(daemons) * one_second /
                       max_cut_off_writes_per_second;
    return std::max(min_interval, share);
}

bool suspicion_writes::is_due(suspicion_writer writer,
                              std::span<const reported_blame> known,
                              std::size_t daemons,
                              time_point now) const
{
    if (has_started_ && now < started_at_ + interval(writer, daemons))
        return false;
    return std::any_of(known.begin(), known.end(), [&](const auto& entry) {
        return !is_stored(writer, entry.blame);
    });
}

void suspicion_writes::on_started(time_point now)
{
    has_started_ = true;
    started_at_ = now;
}

void suspicion_writes::on_written(std::span<const reported_blame> blames)
{
    written_.clear();
    for (const auto& entry : blames)
        written_.insert(entry.blame);
}

void suspicion_writes::on_read(std::span<const reported_blame> blames)
{
    for (const auto& entry : blames) {
        // What is forgotten is only written once more.
        if (read_.size() >= max_read_blames)
            read_.clear();
        read_.insert(entry.blame);
    }
}

void suspicion_writes::on_store_restored()
{
    written_.clear();
    read_.clear();
}

/// The holder's row has all that it knows, since the rows of daemons that were
/// cut off are replaced by later ones.
bool suspicion_writes::is_stored(suspicion_writer writer,
                                 const crash_blame& blame) const
{
    return written_.contains(blame) ||
           (writer == suspicion_writer::cut_off && read_.contains(blame));
}

} // namespace barleyfork
