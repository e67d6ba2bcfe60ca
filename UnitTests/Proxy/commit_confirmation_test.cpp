#include "mustardrouter/Proxy/commit_confirmation.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;
using namespace std::chrono_literals;

namespace
{

const database_name primaryName("a");
constexpr time_point repliedAt(100s);
constexpr log_entry commit{term_number(3), log_position(50)};

/// A primary "a" with the replicas "b" and "c", both of which have the commit.
struct commit_fixture {
    std::map<database_name, database_state> databases;
    primary_verification verification;
    std::uint32_t syncReplicas = 1;
    bool primaryMayChange = false;

    commit_fixture()
    {
        databases[primaryName];
        setEnd("b", 3, 50);
        setEnd("c", 3, 51);
    }
    void setEnd(const char *name, std::uint64_t term, std::uint64_t number)
    {
        databases[database_name(name)].logEnd = log_entry{term_number(term), log_position(number)};
    }
    void readClaim(const char *successor, std::uint64_t term, std::vector<database_name> unsettled = {}, time_point at = repliedAt)
    {
        verification.claim = {{store_era{}, store_revision(7)}, term_number(term), database_name(successor), std::move(unsettled)};
        verification.claimRequestedAt = at;
    }
    bool isKept() const
    {
        return isCommitKept({&databases, &verification, syncReplicas, primaryMayChange}, primaryName, commit, repliedAt);
    }
};

} // namespace

TEST_GROUP(commit_confirmation){};

TEST(commit_confirmation, aCommitThatAllListedDatabasesHaveNeedsNoClaim)
{
    const commit_fixture group;
    CHECK_TRUE(group.isKept());
}

TEST(commit_confirmation, aCommitThatAReplicaLacksNeedsAClaimReadAfterTheReply)
{
    commit_fixture group;
    group.setEnd("c", 3, 49);
    CHECK_FALSE(group.isKept());
    group.readClaim("a", 2, {}, repliedAt - 1ms);
    CHECK_FALSE(group.isKept());
    group.readClaim("a", 2);
    CHECK_TRUE(group.isKept());
}

TEST(commit_confirmation, aStoreWithoutAnyClaimShowsThatNothingIsOrdered)
{
    commit_fixture group;
    group.setEnd("c", 3, 49);
    group.verification.claimRequestedAt = repliedAt;
    CHECK_TRUE(group.isKept());
    group.verification.claimsCompleteFrom = repliedAt + 1ms;
    CHECK_FALSE(group.isKept());
}

TEST(commit_confirmation, aNamedDatabaseHasToHaveTheCommit)
{
    commit_fixture group;
    group.setEnd("c", 3, 49);
    group.readClaim("c", 3);
    CHECK_FALSE(group.isKept());
    group.readClaim("b", 3);
    CHECK_TRUE(group.isKept());
    group.readClaim("b", 3, {database_name("c")});
    CHECK_FALSE(group.isKept());
}

TEST(commit_confirmation, aNamedDatabaseThatIsNotListedMayLackTheCommit)
{
    commit_fixture group;
    group.primaryMayChange = true;
    group.readClaim("joined", 3);
    CHECK_FALSE(group.isKept());
}

TEST(commit_confirmation, aClaimOfANewerTermTellsOfAnotherPrimary)
{
    commit_fixture group;
    group.primaryMayChange = true;
    group.readClaim("b", 4);
    CHECK_FALSE(group.isKept());
}

TEST(commit_confirmation, anExpectedChangeNeedsTheClaimThoughAllHaveTheCommit)
{
    commit_fixture group;
    group.primaryMayChange = true;
    CHECK_FALSE(group.isKept());
    group.readClaim("b", 3);
    CHECK_TRUE(group.isKept());
}

TEST(commit_confirmation, noClaimReplacesTheLogOfAListedReplica)
{
    commit_fixture group;
    group.setEnd("b", 3, 49);
    group.setEnd("c", 3, 49);
    group.readClaim("a", 2);
    CHECK_FALSE(group.isKept());
}

TEST(commit_confirmation, anEndOfANewerTermDoesNotShowAnOlderCommit)
{
    commit_fixture group;
    group.setEnd("b", 4, 60);
    CHECK_FALSE(hasEntry(group.databases.at(database_name("b")), commit));
    CHECK_FALSE(group.isKept());
}

TEST(commit_confirmation, asManyReplicasAsAreSynchronousHaveTheCommit)
{
    commit_fixture group;
    group.syncReplicas = 2;
    CHECK_TRUE(group.isKept());
    group.setEnd("c", 3, 49);
    group.readClaim("a", 2);
    CHECK_FALSE(group.isKept());
}
