#include "sized_deployment.hpp"

#include <memory>
#include <string>

namespace barleyfork {

namespace {

constexpr std::size_t regions = 4;
constexpr std::size_t domains = 15;
constexpr std::uint32_t server_memory_mib = 81920;
constexpr std::uint32_t model_memory_mib = 32768;

std::string numbered(const char* name, std::size_t number)
{
    return name + std::to_string(number);
}

} // namespace

schema::deployment_record make_deployment(const deployment_size& size)
{
    schema::deployment_record deployment;
    deployment.name = "sized";
    deployment.policy = std::make_unique<schema::policy_spec_record>();
    for (std::size_t i = 0; i < size.organisations; ++i) {
        auto entry = std::make_unique<schema::organisation_spec_record>();
        entry->name = numbered("organisation-", i);
        std::string digest = numbered("", i);
        digest.resize(64, 'f');
        entry->key_digests.push_back(digest);
        deployment.organisations.push_back(std::move(entry));
    }
    for (std::size_t i = 0; i < size.models; ++i) {
        auto entry = std::make_unique<schema::model_spec_record>();
        entry->name = numbered("model-", i);
        entry->owner = numbered("organisation-", i % size.organisations);
        entry->memory_mib = model_memory_mib;
        entry->source = numbered("weights/model-", i);
        deployment.models.push_back(std::move(entry));
    }
    for (std::size_t i = 0; i < size.servers; ++i) {
        auto entry = std::make_unique<schema::server_spec_record>();
        entry->name = numbered("server-", i);
        entry->url = numbered("http://10.0.0.1:", 10000 + i);
        entry->region = numbered("region-", i % regions);
        entry->failure_domain = numbered("domain-", i % domains);
        entry->accelerators = 2;
        entry->memory_mib = server_memory_mib;
        deployment.backend_servers.push_back(std::move(entry));
    }
    return deployment;
}

} // namespace barleyfork
