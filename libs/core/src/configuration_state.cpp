#include <barleyfork/core/configuration_state.hpp>

#include <algorithm>
#include <utility>

namespace barleyfork {

namespace {

bool same_limits(const organisation_entry& a, const organisation_entry& b)
{
    return a.id == b.id && a.requests_per_second == b.requests_per_second &&
           a.tokens_per_second == b.tokens_per_second && a.weight == b.weight;
}

bool same_model(const model_entry* a, const model_entry* b)
{
    if (a == nullptr || b == nullptr)
        return a == b;
    return a->version == b->version && a->source == b->source &&
           a->priority == b->priority;
}

bool same_route(const route_entry* a, const route_entry* b)
{
    if (a == nullptr || b == nullptr)
        return a == b;
    return a->path == b->path && a->service == b->service &&
           a->idempotent == b->idempotent;
}

} // namespace

bool configuration_state::learn(const configuration_head& head, time_point now)
{
    const auto merged = merge_heads(known_, head);
    if (merged == known_)
        return false;
    const bool is_stage_new = merged.staged_revision != known_.staged_revision;
    known_ = merged;
    if (is_stage_new)
        staged_at_ = now;
    promote();
    return true;
}

std::vector<std::string> configuration_state::missing_bodies() const
{
    std::vector<std::string> missing;
    if (known_.revision > revision_in_force_ && !find_body(known_.digest))
        missing.push_back(known_.digest);
    if (known_.staged_revision != 0 && !find_body(known_.staged_digest))
        missing.push_back(known_.staged_digest);
    return missing;
}

void configuration_state::add_body(const std::string& digest,
                                   std::shared_ptr<const catalog> body)
{
    const auto missing = missing_bodies();
    if (std::find(missing.begin(), missing.end(), digest) == missing.end())
        return;
    bodies_.emplace_back(digest, std::move(body));
    promote();
}

std::uint64_t configuration_state::staged_revision() const noexcept
{
    return known_.staged_revision != 0 && find_body(known_.staged_digest)
               ? known_.staged_revision
               : 0;
}

std::shared_ptr<const catalog> configuration_state::staged() const
{
    return known_.staged_revision == 0 ? nullptr
                                       : find_body(known_.staged_digest);
}

bool configuration_state::undecided(time_point now,
                                    duration bound) const noexcept
{
    return staged_revision() != 0 && now >= staged_at_ + bound;
}

void configuration_state::promote()
{
    if (known_.revision > revision_in_force_) {
        if (auto body = find_body(known_.digest)) {
            in_force_ = std::move(body);
            in_force_digest_ = known_.digest;
            revision_in_force_ = known_.revision;
        }
    }
    std::erase_if(bodies_, [this](const auto& entry) {
        return entry.first != in_force_digest_ &&
               entry.first != known_.digest &&
               entry.first != known_.staged_digest;
    });
}

std::shared_ptr<const catalog>
configuration_state::find_body(const std::string& digest) const
{
    for (const auto& [known, body] : bodies_)
        if (known == digest)
            return body;
    return nullptr;
}

configuration_head merge_heads(const configuration_head& a,
                               const configuration_head& b)
{
    const bool is_b_newer = std::pair(b.decided, b.staged_revision) >
                            std::pair(a.decided, a.staged_revision);
    configuration_head merged = is_b_newer ? b : a;
    const auto& other = is_b_newer ? a : b;
    if (other.revision > merged.revision) {
        merged.revision = other.revision;
        merged.digest = other.digest;
    }
    // A peer may know the staged revision but not the preceding decision.
    if (other.staged_revision > merged.decided &&
        other.staged_revision > merged.staged_revision)
    {
        merged.staged_revision = other.staged_revision;
        merged.staged_digest = other.staged_digest;
        merged.coordinator = other.coordinator;
    }
    if (merged.staged_revision <= merged.decided) {
        merged.staged_revision = 0;
        merged.staged_digest.clear();
    }
    return merged;
}

std::optional<configuration_head> stage_next(const configuration_head& head,
                                             std::string digest,
                                             std::string coordinator,
                                             std::string applied_by,
                                             std::string write_id)
{
    if (head.staged_revision != 0)
        return std::nullopt;
    auto next = head;
    next.staged_revision = head.decided + 1;
    next.staged_digest = std::move(digest);
    next.coordinator = std::move(coordinator);
    next.applied_by = std::move(applied_by);
    next.write_id = std::move(write_id);
    return next;
}

std::optional<configuration_head> accept_staged(const configuration_head& head,
                                                std::string write_id)
{
    if (head.staged_revision == 0)
        return std::nullopt;
    auto next = head;
    next.revision = head.staged_revision;
    next.digest = head.staged_digest;
    next.decided = head.staged_revision;
    next.staged_revision = 0;
    next.staged_digest.clear();
    next.write_id = std::move(write_id);
    return next;
}

std::optional<configuration_head> abandon_staged(const configuration_head& head,
                                                 std::string write_id)
{
    if (head.staged_revision == 0)
        return std::nullopt;
    auto next = head;
    next.decided = head.staged_revision;
    next.staged_revision = 0;
    next.staged_digest.clear();
    next.write_id = std::move(write_id);
    return next;
}

bool is_handled_alike(const catalog& in_force,
                      const catalog& staged,
                      std::string_view key_digest,
                      std::string_view model_name,
                      std::string_view path)
{
    const auto* now = in_force.organisation_by_key(key_digest);
    const auto* then = staged.organisation_by_key(key_digest);
    if (now == nullptr || then == nullptr)
        return now == then;
    if (!same_limits(*now, *then))
        return false;
    if (!model_name.empty())
        return same_model(in_force.find_model(now->id, model_name),
                          staged.find_model(then->id, model_name));
    return same_route(in_force.find_route(now->id, path),
                      staged.find_route(then->id, path));
}

} // namespace barleyfork
