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

/// The single table row that states which configuration is in force.
///
/// Revision numbers never decrease. Each number up to `decided` is finally
/// accepted or abandoned; `revision` is the newest accepted number. At most
/// one number above `decided` is staged.
struct configuration_head
{
    std::uint64_t revision = 0;
    std::string digest;
    std::uint64_t decided = 0;
    std::uint64_t staged_revision = 0;
    std::string staged_digest;
    /// The instance that stages and then accepts or abandons.
    std::string coordinator;
    /// The operator who applied the newest staged or accepted file.
    std::string applied_by;
    std::string write_id;

    friend bool operator==(const configuration_head&,
                           const configuration_head&) = default;
};

/// Configuration as known to one daemon; never reverts to an older revision.
///
/// Heads arrive from the table and from peers in any order, late and
/// duplicated. Bodies arrive from the object store or from peers. A revision
/// counts as staged or in force here only once its body is known. Not
/// thread-safe.
class configuration_state
{
public:
    /// Merges a head from the table or a peer; returns true where this
    /// changes the known head.
    bool learn(const configuration_head& head, time_point now);

    /// Returns the digests of bodies that are needed and not known yet.
    std::vector<std::string> missing_bodies() const;

    /// Adds a body; ignores a digest that is not missing.
    void add_body(const std::string& digest,
                  std::shared_ptr<const catalog> body);

    /// Returns the head that this daemon forwards to peers.
    const configuration_head& known() const noexcept
    {
        return known_;
    }

    /// Returns the newest accepted revision whose body is known; 0 before the
    /// first.
    std::uint64_t revision() const noexcept
    {
        return revision_in_force_;
    }

    /// Returns the catalog in force, or null before the first.
    const std::shared_ptr<const catalog>& in_force() const noexcept
    {
        return in_force_;
    }

    /// Returns the digest of the catalog in force; empty before the first.
    const std::string& digest_in_force() const noexcept
    {
        return in_force_digest_;
    }

    /// Returns the staged revision whose body is known, or 0.
    std::uint64_t staged_revision() const noexcept;

    /// Returns when this daemon first learned of the staged revision.
    time_point staged_at() const noexcept
    {
        return staged_at_;
    }

    /// Returns the staged catalog, or null.
    std::shared_ptr<const catalog> staged() const;

    /// Returns true where a staged revision has had no decision for `bound`.
    /// It may be in force on other daemons, so only requests that both
    /// catalogs handle alike may be served.
    bool undecided(time_point now, duration bound) const noexcept;

private:
    void promote();
    std::shared_ptr<const catalog> find_body(const std::string& digest) const;

    configuration_head known_;
    std::uint64_t revision_in_force_ = 0;
    std::shared_ptr<const catalog> in_force_;
    std::string in_force_digest_;
    std::vector<std::pair<std::string, std::shared_ptr<const catalog>>> bodies_;
    time_point staged_at_{};
};

/// Merges two heads; the result does not depend on their order.
configuration_head merge_heads(const configuration_head& a,
                               const configuration_head& b);

/// Returns the head that stages `digest`, or nothing while another is staged.
std::optional<configuration_head> stage_next(const configuration_head& head,
                                             std::string digest,
                                             std::string coordinator,
                                             std::string applied_by,
                                             std::string write_id);

/// Returns the head that accepts the staged revision; nothing if none is
/// staged.
std::optional<configuration_head> accept_staged(const configuration_head& head,
                                                std::string write_id);

/// Returns the head that abandons the staged revision; nothing if none is
/// staged.
std::optional<configuration_head> abandon_staged(const configuration_head& head,
                                                 std::string write_id);

/// Returns true where both catalogs handle a request of this organisation key
/// to this model or path alike.
bool is_handled_alike(const catalog& in_force,
                      const catalog& staged,
                      std::string_view key_digest,
                      std::string_view model_name,
                      std::string_view path);

} // namespace barleyfork

#endif
