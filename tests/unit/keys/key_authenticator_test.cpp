#include "flamingoroute/keys/key_authenticator.hpp"
#include "flamingoroute/keys/key_secret.hpp"

#include <gtest/gtest.h>

namespace flamingoroute {

namespace {

class key_authenticator_test : public ::testing::Test {
protected:
    configuration_ptr set(revision number, bool isWithdrawn = false, seconds maxStaleness = seconds { 0 })
    {
        auto objects = std::make_shared<configuration>();
        objects->number = number;
        objects->keys.push_back(
            access_key { key_id("k1"), customer_id("ronda"), m_hasher.hash("secret-1"), isWithdrawn, maxStaleness });
        objects->keys.push_back(access_key { key_id("k2"), customer_id("plaza"), m_hasher.hash("secret-2") });
        return objects;
    }

    refusal_reason reasonFor(const std::string& key)
    {
        const auto result = m_keys.authenticate(key);
        EXPECT_FALSE(result);
        return result ? refusal_reason::not_ready : result.error().reason;
    }

    monotonic_time m_now { seconds { 1000 } };
    key_hasher m_hasher { "a pepper of the fleet" };
    key_authenticator m_keys { m_hasher, [this] { return m_now; } };
};

} // namespace

TEST(key_hasher, computes_the_hmac_sha_256_of_rfc_4231)
{
    EXPECT_EQ(key_hasher("Jefe").hash("what do ya want for nothing?"),
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST(key_secret, generates_distinct_keys)
{
    EXPECT_NE(generateKey(), generateKey());
    EXPECT_EQ(generateKey().size(), 3u + 64u);
}

TEST_F(key_authenticator_test, identifies_the_customer_of_each_key_and_refuses_unknown_keys)
{
    m_keys.adopt(set(1));
    EXPECT_EQ(m_keys.authenticate("secret-1").value(), customer_id("ronda"));
    EXPECT_EQ(m_keys.authenticate("secret-2").value(), customer_id("plaza"));
    EXPECT_EQ(reasonFor("secret-3"), refusal_reason::wrong_key);
    EXPECT_EQ(reasonFor(""), refusal_reason::missing_key);
}

TEST_F(key_authenticator_test, refuses_a_key_that_the_configuration_withdraws)
{
    m_keys.adopt(set(1));
    m_keys.adopt(set(2, true));
    EXPECT_EQ(reasonFor("secret-1"), refusal_reason::wrong_key);
    EXPECT_TRUE(m_keys.authenticate("secret-2"));
}

TEST_F(key_authenticator_test, refuses_a_withdrawn_key_ahead_of_the_configuration_and_after_older_ones)
{
    m_keys.adopt(set(1));
    EXPECT_TRUE(m_keys.withdraw({ "k1", 3 }));
    EXPECT_FALSE(m_keys.withdraw({ "k1", 3 })) << "a known withdrawal is not flooded again";
    EXPECT_EQ(reasonFor("secret-1"), refusal_reason::wrong_key);
    m_keys.adopt(set(2));
    EXPECT_EQ(reasonFor("secret-1"), refusal_reason::wrong_key);
    m_keys.adopt(set(4));
    EXPECT_TRUE(m_keys.authenticate("secret-1")) << "a later configuration reinstates the key";
}

TEST_F(key_authenticator_test, ignores_a_configuration_with_a_lower_revision)
{
    m_keys.adopt(set(5, true));
    m_keys.adopt(set(4));
    EXPECT_EQ(reasonFor("secret-1"), refusal_reason::wrong_key);
}

TEST_F(key_authenticator_test, fails_closed_only_for_keys_with_a_max_staleness)
{
    m_keys.adopt(set(1, false, seconds { 60 }));
    m_keys.confirmFresh(m_now);
    m_now += seconds { 60 };
    EXPECT_TRUE(m_keys.authenticate("secret-1"));
    m_now += milliseconds { 1 };
    EXPECT_EQ(reasonFor("secret-1"), refusal_reason::not_ready);
    EXPECT_TRUE(m_keys.authenticate("secret-2"))
        << "a partitioned failure domain continues to serve with the keys that it has";
}

} // namespace flamingoroute
