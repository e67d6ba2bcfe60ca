#include "mustardrouter/Proxy/own_commits.h"

#include <CppUTest/TestHarness.h>

using namespace mustardrouter;

namespace
{

const group_name one("one");
const group_name other("other");

log_entry at(std::uint64_t term, std::uint64_t position)
{
    return {term_number(term), log_position(position)};
}

} // namespace

TEST_GROUP(own_commits){};

TEST(own_commits, aPositionOfAnotherGroupChangesNothing)
{
    own_commits commits;
    recordCommit(commits, one, at(3, 1200));
    CHECK_FALSE(floorOf(commits, other).has_value());
    recordCommit(commits, other, at(3, 20));
    CHECK_FALSE(recordVerifiedLog(commits, other, at(3, 20)));
    CHECK_TRUE(recordVerifiedLog(commits, other, at(3, 7)));
    CHECK_TRUE(floorOf(commits, one) == at(3, 1200));
    CHECK_TRUE(floorOf(commits, other) == at(3, 7));
}

TEST(own_commits, onlyALogWithoutTheCommitsOrOfANewerTermReplacesThem)
{
    own_commits commits;
    recordCommit(commits, one, at(3, 10));
    for (const log_entry &later : {at(3, 10), at(3, 11)}) {
        CHECK_FALSE(recordVerifiedLog(commits, one, later));
        CHECK_TRUE(floorOf(commits, one) == at(3, 10));
    }
    CHECK_FALSE(recordVerifiedLog(commits, one, std::nullopt));
    CHECK_TRUE(recordVerifiedLog(commits, one, at(4, 50)));
    CHECK_TRUE(floorOf(commits, one) == at(4, 50));
    CHECK_TRUE(recordVerifiedLog(commits, one, at(4, 8)));
    CHECK_TRUE(floorOf(commits, one) == at(4, 8));
}

TEST(own_commits, aReadOfASessionThatHasCommittedNothingSetsNoFloor)
{
    own_commits commits;
    CHECK_FALSE(recordVerifiedLog(commits, one, at(3, 10)));
    CHECK_TRUE(commits.byGroup.empty());
}

TEST(own_commits, aCommitWithoutAPositionIsNotTakenForOneThatEveryLogHas)
{
    own_commits commits;
    recordCommit(commits, one, at(3, 10));
    recordCommit(commits, one, std::nullopt);
    CHECK_TRUE(floorOf(commits, one) == unknownEntry);
    CHECK_TRUE(lacksCommits(commits, one, at(3, 10)));
    CHECK_TRUE(recordVerifiedLog(commits, one, at(3, 12)));
    CHECK_TRUE(floorOf(commits, one) == at(3, 12));
}
