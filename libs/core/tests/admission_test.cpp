#include <barleyfork/core/admission.hpp>
#include <barleyfork/core/cell_map.hpp>
#include <barleyfork/testing/property.hpp>

#include <map>

namespace barleyfork::testing {

namespace {

std::shared_ptr<const catalog>
make_catalog(int models, std::uint32_t version, std::uint32_t replicas = 1)
{
    schema::deployment_record record;
    record.name = "d";
    auto owner = std::make_unique<schema::organisation_spec_record>();
    owner->name = "o";
    record.organisations.push_back(std::move(owner));
    for (int i = 0; i < models; ++i) {
        auto model = std::make_unique<schema::model_spec_record>();
        model->name = "m" + std::to_string(i);
        model->owner = "o";
        model->memory_mib = 10;
        model->version = version;
        model->min_replicas = replicas;
        record.models.push_back(std::move(model));
    }
    for (int i = 0; i < 2; ++i) {
        auto server = std::make_unique<schema::server_spec_record>();
        server->name = "s" + std::to_string(i);
        server->memory_mib = 40;
        record.backend_servers.push_back(std::move(server));
    }
    std::shared_ptr<const catalog> built;
    CPPUNIT_ASSERT(!catalog::build(record, built));
    return built;
}

class admission_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_test);
    CPPUNIT_TEST(admits_models_that_fit);
    CPPUNIT_TEST(rejects_models_that_do_not_fit_with_the_totals);
    CPPUNIT_TEST(counts_old_and_new_versions_during_a_transition);
    CPPUNIT_TEST(assigns_every_model_to_a_cell_with_room);
    CPPUNIT_TEST(rejects_an_unknown_owner);
    CPPUNIT_TEST_SUITE_END();

public:
    void admits_models_that_fit()
    {
        CPPUNIT_ASSERT(!check_admission(nullptr, *make_catalog(8, 1)));
        CPPUNIT_ASSERT(!check_admission(nullptr, *make_catalog(4, 1, 2)));
    }

    void rejects_models_that_do_not_fit_with_the_totals()
    {
        const auto error = check_admission(nullptr, *make_catalog(9, 1));
        CPPUNIT_ASSERT(kind_of(error.code) == errc::does_not_fit);
        CPPUNIT_ASSERT(error.detail.find("90 MiB of 80 MiB") !=
                       std::string::npos);
        CPPUNIT_ASSERT(check_admission(nullptr, *make_catalog(1, 1, 3)));
    }

    void counts_old_and_new_versions_during_a_transition()
    {
        const auto now = make_catalog(5, 1);
        CPPUNIT_ASSERT(!check_admission(now.get(), *make_catalog(5, 1)));
        CPPUNIT_ASSERT(check_admission(now.get(), *make_catalog(5, 2)));
        const auto small = make_catalog(4, 1);
        CPPUNIT_ASSERT(!check_admission(small.get(), *make_catalog(4, 2)));
    }

    /// Cells are assigned by hash and may differ in size. Assigning models
    /// without regard to memory would overload a small cell.
    void assigns_every_model_to_a_cell_with_room()
    {
        check_property("cells", 200, [] {
            schema::deployment_record record;
            record.name = "d";
            record.policy = std::make_unique<schema::policy_spec_record>();
            record.policy->cell_servers = 2;
            auto owner = std::make_unique<schema::organisation_spec_record>();
            owner->name = "o";
            record.organisations.push_back(std::move(owner));
            const auto servers = *rc::gen::inRange(1, 12);
            const auto seed = *rc::gen::inRange(0, 1000);
            for (int i = 0; i < servers; ++i) {
                auto server = std::make_unique<schema::server_spec_record>();
                server->name = std::to_string(seed + i);
                server->memory_mib = 40;
                record.backend_servers.push_back(std::move(server));
            }
            for (int i = 0; i < 2 * servers; ++i) {
                auto model = std::make_unique<schema::model_spec_record>();
                model->name = "m" + std::to_string(i);
                model->owner = "o";
                model->memory_mib = 10;
                record.models.push_back(std::move(model));
            }
            std::shared_ptr<const catalog> built;
            RC_ASSERT(!catalog::build(record, built));
            const cell_map cells(*built);
            std::map<std::size_t, int> free_mib;
            for (const auto& server : built->servers())
                free_mib[cells.cell_of(server.id)] += 40;
            for (const auto& model : built->models())
                free_mib[cells.cell_of(model.id)] -= 10;
            for (const auto& [cell, left] : free_mib)
                RC_ASSERT(left >= 0);
        });
    }

    void rejects_an_unknown_owner()
    {
        schema::deployment_record record;
        auto model = std::make_unique<schema::model_spec_record>();
        model->name = "m";
        model->owner = "nobody";
        record.models.push_back(std::move(model));
        std::shared_ptr<const catalog> built;
        const auto error = catalog::build(record, built);
        CPPUNIT_ASSERT(kind_of(error.code) == errc::invalid_input);
        CPPUNIT_ASSERT(error.detail.find("nobody") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

} // namespace

} // namespace barleyfork::testing
