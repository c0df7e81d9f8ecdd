#include <barleyfork/core/lease.hpp>

#include <algorithm>
#include <utility>

namespace barleyfork {

namespace {

/// Epochs of one era; the epochs of a later era are larger than all of an
/// earlier one, whose last holders may be missing from the restored row.
constexpr unsigned epoch_bits_per_era = 20;

std::uint64_t first_epoch(std::uint64_t era)
{
    return era << epoch_bits_per_era;
}

} // namespace

lease::lease(instance_id self, lease_options options)
    : self_(std::move(self)), options_(options)
{
}

void lease::observe(const lease_row& row,
                    store_version version,
                    time_point now,
                    duration age,
                    row_origin origin)
{
    if (observed_ && version <= version_)
        return;
    largest_epoch_ = std::max(largest_epoch_, row.epoch);
    const bool is_of_backup = origin == row_origin::backup;
    if (is_of_backup && held(now)) {
        version_ = version;
        must_write_again_ = true;
        pending_.clear();
        return;
    }
    must_write_again_ = false;
    is_holder_unknown_ = is_of_backup;
    const auto own_write = std::find_if(
        pending_.begin(), pending_.end(), [&row](const auto& write) {
            return write.row.write_id == row.write_id;
        });
    row_ = row;
    version_ = version;
    observed_ = true;
    seen_at_ = is_of_backup ? now : now - age;
    // The response to a write that took effect was lost: the term starts
    // before the write was sent.
    if (own_write != pending_.end())
        held_until_ = own_write->sent_at + options_.term - options_.margin;
    else if (row.holder != self_)
        held_until_ = time_point{};
    pending_.clear();
}

std::optional<lease_row>
lease::next_write(bool candidate, std::string write_id, time_point now)
{
    if (!observed_)
        return std::nullopt;
    if (held(now)) {
        const auto renew_at = held_until_ - options_.term + options_.margin +
                              options_.renewal_interval;
        if (now < renew_at && !must_write_again_)
            return std::nullopt;
        return begin_write({self_, row_.epoch, std::move(write_id)}, now);
    }
    if (!candidate || now < expires_at())
        return std::nullopt;
    return begin_write({self_, next_epoch(), std::move(write_id)}, now);
}

void lease::written(const lease_row& row, store_version version, time_point now)
{
    observe(row, version, now);
}

std::optional<lease_row> lease::release(std::string write_id, time_point now)
{
    if (!held(now))
        return std::nullopt;
    held_until_ = time_point{};
    return lease_row{instance_id(), row_.epoch, std::move(write_id)};
}

bool lease::held(time_point now) const noexcept
{
    return row_.holder == self_ && now < held_until_;
}

time_point lease::expires_at() const noexcept
{
    const bool is_free = row_.holder.empty() && !is_holder_unknown_;
    return is_free ? seen_at_ : seen_at_ + options_.term;
}

std::uint64_t lease::next_epoch() const noexcept
{
    const auto largest = std::max(largest_epoch_, row_.epoch);
    return std::max(largest + 1, first_epoch(version_.era()));
}

lease_row lease::begin_write(lease_row row, time_point now)
{
    pending_.push_back({row, now});
    return row;
}

} // namespace barleyfork
