/// Round trips of the stored placement lease, and rows that are not leases.

#include "lease_row_codec.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace barleyfork {

class lease_row_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(lease_row_test);
    CPPUNIT_TEST(a_written_lease_is_read_back);
    CPPUNIT_TEST(orders_of_the_holder_are_read_back);
    CPPUNIT_TEST(unreadable_orders_are_unknown);
    CPPUNIT_TEST(a_row_that_is_not_a_lease_is_a_free_lease);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_written_lease_is_read_back()
    {
        const auto read = decode_lease(encode_lease(make()));
        CPPUNIT_ASSERT(read.row.holder == instance_id("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read.row.epoch);
        CPPUNIT_ASSERT_EQUAL(std::string("a-1"), read.row.write_id);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1"), read.holder_address);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5000}, read.sent_ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, read.era);
        CPPUNIT_ASSERT(!read.orders);
    }

    void orders_of_the_holder_are_read_back()
    {
        auto stored = make();
        stored.orders.emplace();
        stored.orders->last_order[server_id("s")] = duration{40};
        stored.orders->store_loads = {duration{40}, duration{900}};
        const auto read = decode_lease(encode_lease(stored));
        CPPUNIT_ASSERT(read.orders.has_value());
        CPPUNIT_ASSERT(read.orders->last_order == stored.orders->last_order);
        CPPUNIT_ASSERT(read.orders->store_loads == stored.orders->store_loads);
    }

    /// Partly decoded orders would let two holders give orders to one server.
    void unreadable_orders_are_unknown()
    {
        for (const char* orders :
             {R"("x")",
              R"({"last_order_ms":{}})",
              R"({"last_order_ms":{"s":"x"},"store_loads_ms":[]})",
              R"({"last_order_ms":{},"store_loads_ms":[null]})"})
        {
            const auto text =
                std::string(R"({"holder":"","epoch":3,"orders":)") + orders +
                "}";
            const auto read = decode_lease(text);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, read.row.epoch);
            CPPUNIT_ASSERT(!read.orders);
        }
    }

    void a_row_that_is_not_a_lease_is_a_free_lease()
    {
        for (const char* text : {"", "[]", "null", R"({"holder":1})"}) {
            const auto read = decode_lease(text);
            CPPUNIT_ASSERT(read.row.holder.empty());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, read.row.epoch);
            CPPUNIT_ASSERT(!read.orders);
        }
    }

private:
    static stored_lease make()
    {
        return {
            {instance_id("a"), 7, "a-1"}, "10.0.0.1", 5000, 3, std::nullopt};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lease_row_test);

} // namespace barleyfork
