#pragma once

#include <cstdint>
#include <string_view>

namespace mustardrouter
{

/// Cause of a failed request or operation. The values are part of the wire protocol and must not change.
enum class failure : std::uint8_t {
    none = 0,
    malformedRequest = 1,
    unknownService = 2,
    badSessionToken = 3,
    notOwner = 4,
    staleTerm = 5,
    noQuorum = 6,
    deadlineExceeded = 7,
    overloaded = 8,
    connectionLost = 9,
    transactionLost = 10,
    duplicateKey = 11,
    shuttingDown = 12,
    statementRejected = 13,
    callerNotAllowed = 14,
    ownerUnreachable = 15,
    keyNotFound = 16,
    platformUnavailable = 17,
    versionConflict = 18,
    invalidSettings = 19,
    invalidConfiguration = 20,
    frameTooLarge = 21,
    malformedFrame = 22,
    addressUnavailable = 23,
    ringFull = 24,
    notAuthorized = 25,
    databaseLeaving = 26,
    notFound = 27,
    ioError = 28,
};

/// Name of a failure as shown to callers and operators.
constexpr std::string_view toString(failure value)
{
    switch (value) {
    case failure::none:
        return "none";
    case failure::malformedRequest:
        return "malformed_request";
    case failure::unknownService:
        return "unknown_service";
    case failure::badSessionToken:
        return "bad_session_token";
    case failure::notOwner:
        return "not_owner";
    case failure::staleTerm:
        return "stale_term";
    case failure::noQuorum:
        return "no_quorum";
    case failure::deadlineExceeded:
        return "deadline_exceeded";
    case failure::overloaded:
        return "overloaded";
    case failure::connectionLost:
        return "connection_lost";
    case failure::transactionLost:
        return "transaction_lost";
    case failure::duplicateKey:
        return "duplicate_key";
    case failure::shuttingDown:
        return "shutting_down";
    case failure::statementRejected:
        return "statement_rejected";
    case failure::callerNotAllowed:
        return "caller_not_allowed";
    case failure::ownerUnreachable:
        return "owner_unreachable";
    case failure::keyNotFound:
        return "key_not_found";
    case failure::platformUnavailable:
        return "platform_unavailable";
    case failure::versionConflict:
        return "version_conflict";
    case failure::invalidSettings:
        return "invalid_settings";
    case failure::invalidConfiguration:
        return "invalid_configuration";
    case failure::frameTooLarge:
        return "frame_too_large";
    case failure::malformedFrame:
        return "malformed_frame";
    case failure::addressUnavailable:
        return "address_unavailable";
    case failure::ringFull:
        return "ring_full";
    case failure::notAuthorized:
        return "not_authorized";
    case failure::databaseLeaving:
        return "database_leaving";
    case failure::notFound:
        return "not_found";
    case failure::ioError:
        return "io_error";
    }
    return "invalid";
}

} // namespace mustardrouter
