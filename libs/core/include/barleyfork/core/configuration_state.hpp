#ifndef BARLEYFORK_CORE_CONFIGURATION_STATE_HPP
#define BARLEYFORK_CORE_CONFIGURATION_STATE_HPP

#include <barleyfork/base/time.hpp>
#include <barleyfork/core/catalog.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace barleyfork {

/// The table's one row that says which configuration holds.
///
/// Numbers only grow. Every number up to `decided` is accepted or abandoned
/// for good; `revision` is the newest accepted one. At most one number above
/// `decided` is staged.
struct configuration_head
{
    std::uint64_t revision = 0;
    std::string digest;
    std::uint64_t decided = 0;
    std::uint64_t staged_revision = 0;
    std::string staged_digest;
    /// The instance that stages and then accepts or abandons.
    std::string coordinator;
    /// Who applied the newest staged or accepted file.
    std::string applied_by;
    std::string write_id;

    friend bool operator==(const configuration_head&,
                           const configuration_head&) = default;
};

/// What one daemon knows of the configuration; never goes back.
///
/// Heads come from the table and from peers in any order, late and doubled.
/// Bodies come from the object store or from peers. A number counts as
/// staged or in force here only once its body is known. Not thread-safe.
class configuration_state
{
public:
    /// Takes in a head from the table or a peer; returns true where it says
    /// something new.
    bool learn(const configuration_head& head, time_point now);

    /// Digests of bodies that are needed and not known yet.
    std::vector<std::string> missing_bodies() const;

    /// Takes in a body; unknown digests are ignored.
    void add_body(const std::string& digest,
                  std::shared_ptr<const catalog> body);

    /// What this daemon passes on to peers.
    const configuration_head& known() const noexcept
    {
        return known_;
    }

    /// The newest accepted number whose body is known; 0 before the first.
    std::uint64_t revision() const noexcept
    {
        return revision_in_force_;
    }

    /// The catalog in force, or null before the first.
    const std::shared_ptr<const catalog>& in_force() const noexcept
    {
        return in_force_;
    }

    /// The number staged here with its body, or 0.
    std::uint64_t staged_revision() const noexcept;

    /// When the number that is staged was first heard of.
    time_point staged_since() const noexcept
    {
        return staged_since_;
    }

    /// The staged catalog, or null.
    std::shared_ptr<const catalog> staged() const;

    /// True where a staged number has had no decision for `bound`: it may be
    /// in force elsewhere, so only requests that both catalogs treat alike
    /// may be served.
    bool undecided(time_point now, duration bound) const noexcept;

private:
    void promote();
    std::shared_ptr<const catalog> find_body(const std::string& digest) const;

    configuration_head known_;
    std::uint64_t revision_in_force_ = 0;
    std::shared_ptr<const catalog> in_force_;
    std::string in_force_digest_;
    std::vector<std::pair<std::string, std::shared_ptr<const catalog>>> bodies_;
    time_point staged_since_{};
};

/// Merges what two heads say; the result is the same in either order.
configuration_head merge_heads(const configuration_head& a,
                               const configuration_head& b);

/// The head that stages `digest`, or nothing while another is staged.
std::optional<configuration_head> stage_next(const configuration_head& head,
                                             std::string digest,
                                             std::string coordinator,
                                             std::string applied_by,
                                             std::string write_id);

/// The head that accepts the staged number; nothing if none is staged.
std::optional<configuration_head> accept_staged(const configuration_head& head,
                                                std::string write_id);

/// The head that abandons the staged number; nothing if none is staged.
std::optional<configuration_head> abandon_staged(const configuration_head& head,
                                                 std::string write_id);

/// True where both catalogs handle a request of this organisation key to
/// this model or path alike.
bool same_handling(const catalog& in_force,
                   const catalog& staged,
                   std::string_view key_digest,
                   std::string_view model_name,
                   std::string_view path);

} // namespace barleyfork

#endif
