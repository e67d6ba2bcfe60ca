#include "platform/line_codec.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace mustardrouter;
using namespace mustardrouter::platform;

namespace
{

client_statement statementOf(const char *line)
{
    const client_message message = decodeClientLine(line);
    CHECK_TRUE(std::holds_alternative<client_statement>(message));
    return std::get<client_statement>(message);
}

std::optional<database_reply> assembleAll(std::initializer_list<const char *> lines)
{
    reply_assembler assembler;
    std::optional<database_reply> reply;
    for (const char *line : lines) {
        reply = assemble(assembler, line);
    }
    return reply;
}

std::string encoded(const database_command &command)
{
    std::string out;
    encodeCommand(out, command);
    return out;
}

} // namespace

TEST_GROUP(line_codec){};

TEST(line_codec, everyStatementVerbIsDecoded)
{
    CHECK_TRUE(statementOf("QUERY 1 BEGIN").verb == client_verb::begin);
    CHECK_TRUE(statementOf("QUERY 1 BEGIN READ").verb == client_verb::beginRead);
    CHECK_TRUE(statementOf("QUERY 1 COMMIT").verb == client_verb::commit);
    CHECK_TRUE(statementOf("QUERY 1 ROLLBACK").verb == client_verb::rollback);
    CHECK_TRUE(statementOf("QUERY 1 READ 1a4").verb == client_verb::read);
    const client_statement write = statementOf("QUERY 5c0e WRITE 1a4 some data");
    CHECK_TRUE(write.verb == client_verb::write);
    CHECK_EQUAL(std::string("5c0e"), write.id);
    CHECK_EQUAL(std::string("WRITE 1a4 some data"), write.text);
    const client_statement set = statementOf("QUERY 1 SET zone a b c");
    CHECK_EQUAL(std::string("a b c"), set.value);
    const client_statement prepare = statementOf("QUERY 1 PREPARE s1 WRITE q2c");
    CHECK_TRUE(prepare.verb == client_verb::prepare && prepare.writes);
    CHECK_EQUAL(std::string("q2c"), prepare.value);
    const client_statement execute = statementOf("QUERY 1 EXECUTE s1 1a4 xkq");
    CHECK_EQUAL(std::string("1a4 xkq"), execute.value);
    CHECK_TRUE(statementOf("QUERY 1 DEALLOCATE s1").verb == client_verb::deallocate);
}

TEST(line_codec, invalidLinesAreMalformed)
{
    for (const char *line : {"QUERY 1 ",
                             "QUERY 1 DROP x",
                             "QUERY 1 BEGIN WRITE",
                             "QUERY 1 READ",
                             "QUERY 1 PREPARE s X q",
                             "QUERY 1 AFTER 1.2 READ x",
                             "QUERY 1 STATUS"}) {
        CHECK_TRUE(statementOf(line).verb == client_verb::malformed);
    }
    for (const char *line : {"", " ", "STARTUP", "QUERY", "GET / HTTP/1.1", "query 1 READ x"}) {
        CHECK_TRUE(std::holds_alternative<malformed_line>(decodeClientLine(line)));
    }
}

TEST(line_codec, theKeyOfAClientIsTheRestOfItsFirstLine)
{
    const auto startOf = [](const std::string &line) {
        return std::get<client_start>(decodeClientLine(line));
    };
    CHECK_EQUAL(std::string("lepu270"), startOf("STARTUP lepu270 u3f1").database);
    CHECK_EQUAL(std::string("u3f1"), startOf("STARTUP lepu270 u3f1").key.value());
    CHECK_EQUAL(std::string("a b"), startOf("STARTUP lepu270 a b").key.value());
    CHECK_EQUAL(std::string("\xff\x01"), startOf("STARTUP lepu270 \xff\x01").key.value());
    CHECK_EQUAL(std::string(), startOf("STARTUP lepu270").key.value());
    CHECK_EQUAL(std::string(), startOf("STARTUP lepu270 ").key.value());
    std::string out;
    encodeSessionRefused(out, reply_code::unauthorized, "the key is not known");
    CHECK_EQUAL(std::string("ERROR NOAUTH the key is not known\r\n"), out);
    CHECK_TRUE(assembleAll({"ERROR NOAUTH x", "READY I -"})->code == reply_code::unauthorized);
}

TEST(line_codec, startupAndCommandsAreEncodedAsSpecified)
{
    std::string out;
    encodeDatabaseStart(out, group_name("huvo11a"), "tenant", database_name("i-7f3a91c2"));
    CHECK_EQUAL(std::string("STARTUP huvo11a tenant i-7f3a91c2\r\n"), out);
    database_command read;
    read.kind = command_kind::forward;
    read.id = "5c0e";
    read.floor = log_entry{term_number(3), log_position(1207)};
    read.text = "READ 1a4";
    CHECK_EQUAL(std::string("QUERY 5c0e AFTER 3.1207 READ 1a4\r\n"), encoded(read));
    database_command status;
    CHECK_EQUAL(std::string("QUERY - STATUS\r\n"), encoded(status));
    database_command stepDown;
    stepDown.kind = command_kind::stepDown;
    stepDown.term = term_number(4);
    CHECK_EQUAL(std::string("QUERY - STEPDOWN 4\r\n"), encoded(stepDown));
}

TEST(line_codec, repliesAreAssembledFromTheirLines)
{
    const auto read = assembleAll({"DATAROW qhzk wm", "DATAROW second", "COMPLETE 7.1f3.c", "READY I 3.1209"});
    CHECK_EQUAL(2, read->rows.size());
    CHECK_EQUAL(std::string("7.1f3.c"), read->signature);
    CHECK_EQUAL(1209, read->position->position.value());
    const auto refused = assembleAll({"ERROR READONLY i-7f3a91c2", "READY E 3.1209"});
    CHECK_TRUE(refused->code == reply_code::readOnly && refused->state == transaction_state::failed);
    const auto own = assembleAll({"COMPLETE -", "READY T -"});
    CHECK_TRUE(own->signature.empty() && own->state == transaction_state::open && !own->position);
    CHECK_TRUE(assembleAll({"ERROR SOMETHINGNEW x", "READY I -"})->code == reply_code::other);
}

TEST(line_codec, statusRowIsDecoded)
{
    const auto reply = assembleAll({"DATAROW replica 3 3.1209 0 12 2 17", "COMPLETE -", "READY I 3.1204"});
    CHECK_TRUE(reply->status.has_value());
    CHECK_FALSE(reply->status->primary);
    CHECK_EQUAL(1209, reply->status->received.position.value());
    CHECK_EQUAL(17, reply->status->connections);
    CHECK_TRUE(reply->status->lag == std::chrono::milliseconds(12));
    CHECK_FALSE(assembleAll({"DATAROW replica 3 x 0 12 2 17", "COMPLETE -", "READY I -"})->status.has_value());
}

TEST(line_codec, errorReplyCarriesTheRetryDelay)
{
    client_reply reply;
    reply.code = reply_code::busy;
    reply.detail = "no room";
    reply.retryAfter = std::chrono::milliseconds(150);
    std::string out;
    encodeClientReply(out, reply);
    CHECK_EQUAL(std::string("ERROR BUSY no room, retry after 150 ms\r\nREADY I -\r\n"), out);
}

TEST(line_codec, arbitraryBytesDoNotCrashTheDecoder)
{
    std::mt19937_64 random(5);
    const char letters[] = "QUERY STARTUP READ 1.2 -\r\t\"\xff\x01";
    for (int times = 0; times < 20000; ++times) {
        std::string line;
        for (std::size_t left = random() % 40; left > 0; --left) {
            line += letters[random() % (sizeof letters - 1)];
        }
        decodeClientLine(line);
        reply_assembler assembler;
        assemble(assembler, line);
    }
}

TEST(line_codec, relayedLinesAreDecodedAsTheyWereEncoded)
{
    database_command command;
    command.kind = command_kind::beginRead;
    command.id = "5c0e";
    command.floor = log_entry{term_number(3), log_position(7)};
    std::string line = encoded(command);
    line.resize(line.size() - 2);
    const relayed_statement begin = decodeRelayedLine(line);
    CHECK_TRUE(begin.statement.verb == client_verb::beginRead);
    CHECK_EQUAL(std::string("5c0e"), begin.statement.id);
    CHECK_TRUE(begin.floor == command.floor);
    CHECK_TRUE(decodeRelayedLine("QUERY - DISCARD").statement.verb == client_verb::discard);
    CHECK_TRUE(decodeRelayedLine("QUERY - STATUS").statement.verb == client_verb::ping);
    CHECK_TRUE(decodeRelayedLine("QUERY - SET a b").statement.verb == client_verb::setValue);
    CHECK_TRUE(decodeRelayedLine("STARTUP x").statement.verb == client_verb::malformed);
    CHECK_FALSE(decodeRelayedLine("QUERY 1 AFTER x READ y").floor.has_value());
}
