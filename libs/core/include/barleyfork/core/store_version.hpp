#ifndef BARLEYFORK_CORE_STORE_VERSION_HPP
#define BARLEYFORK_CORE_STORE_VERSION_HPP

#include <compare>
#include <cstdint>

namespace barleyfork {

/// A version of the store or of a row in it.
///
/// A store that is restored from a backup assigns the version numbers after
/// the backup once more. Versions are therefore ordered by the era first, which
/// grows with each restore.
class store_version
{
public:
    constexpr store_version() = default;

    /// Implicit, because a store that is never restored has numbers only.
    constexpr store_version(std::uint64_t number, std::uint64_t era = 0)
        : era_(era), number_(number)
    {
    }

    /// Returns the number that the store assigned; 0 if there is none.
    constexpr std::uint64_t number() const noexcept
    {
        return number_;
    }

    /// Returns the era in which the store gave this version in a response.
    constexpr std::uint64_t era() const noexcept
    {
        return era_;
    }

    constexpr bool is_known() const noexcept
    {
        return number_ > 0;
    }

    friend constexpr auto operator<=>(const store_version&,
                                      const store_version&) = default;

private:
    std::uint64_t era_ = 0;
    std::uint64_t number_ = 0;
};

/// Detects that the store was restored from a backup. Not thread-safe.
class store_era
{
public:
    /// Records the era of a response or of another daemon; 0 is unknown.
    /// Returns true if the store was restored since the last known era.
    bool observe(std::uint64_t era) noexcept
    {
        const bool is_restored = current_ > 0 && era > current_;
        if (era > current_)
            current_ = era;
        was_restored_ = was_restored_ || is_restored;
        return is_restored;
    }

    /// Returns the newest known era; 0 if none is known.
    std::uint64_t current() const noexcept
    {
        return current_;
    }

    /// Returns whether the store was restored since this process started.
    bool was_restored() const noexcept
    {
        return was_restored_;
    }

private:
    std::uint64_t current_ = 0;
    bool was_restored_ = false;
};

} // namespace barleyfork

#endif
