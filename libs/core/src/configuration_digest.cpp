#include <barleyfork/core/configuration_digest.hpp>

namespace barleyfork {

schema::configuration_digest_record to_digest(const configuration_head& head)
{
    schema::configuration_digest_record digest;
    digest.revision = head.revision;
    digest.body_digest = head.digest;
    digest.decided = head.decided;
    digest.staged_revision = head.staged_revision;
    digest.staged_digest = head.staged_digest;
    digest.coordinator = head.coordinator;
    return digest;
}

configuration_head to_head(const schema::configuration_digest_record& digest)
{
    configuration_head head;
    head.revision = digest.revision;
    head.digest = digest.body_digest;
    head.decided = digest.decided;
    head.staged_revision = digest.staged_revision;
    head.staged_digest = digest.staged_digest;
    head.coordinator = digest.coordinator;
    return head;
}

} // namespace barleyfork
