#include "mustardrouter/Edge/limit_codec.h"

#include <algorithm>

namespace mustardrouter
{

namespace
{

/// Longest time to the next token that is believed.
constexpr std::uint64_t maxRetryAfterMicros = 60'000'000;

std::uint64_t toMicros(time_point time)
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

time_point toTime(std::uint64_t micros)
{
    return time_point(duration(static_cast<std::int64_t>(micros)));
}

void encode(relay::limit_message &encoded, const limit_poll &poll)
{
    encoded.mutable_poll()->set_stamp(toMicros(poll.stamp));
    encoded.mutable_poll()->set_slots(poll.slots);
}

void encode(relay::limit_message &encoded, const limit_loans &loans)
{
    encoded.mutable_loans()->set_stamp(toMicros(loans.stamp));
    for (const limit_loan &loan : loans.loans) {
        relay::limit_loan &added = *encoded.mutable_loans()->add_loans();
        added.set_slot(loan.slot);
        added.set_members(loan.members);
        added.set_unit(loan.unit);
        added.set_tokens(static_cast<std::uint32_t>(loan.tokens));
    }
}

void encode(relay::limit_message &encoded, const limit_return &returned)
{
    encoded.mutable_returned()->set_stamp(toMicros(returned.stamp));
    encoded.mutable_returned()->set_slots(returned.slots);
}

void encode(relay::limit_message &encoded, const limit_request &request)
{
    encoded.mutable_request()->set_stamp(toMicros(request.stamp));
    for (const limit_ask &ask : request.asks) {
        relay::limit_ask &added = *encoded.mutable_request()->add_asks();
        added.set_workspace(ask.workspace.value());
        added.set_needed(ask.needed);
        added.set_ahead(ask.ahead);
        added.set_spare(ask.spare);
        if (ask.spareUsed > 0 || ask.spareReturned > 0) {
            added.set_spare_used(ask.spareUsed);
            added.set_spare_returned(ask.spareReturned);
            added.set_tenure(ask.tenure);
        }
    }
}

void encode(relay::limit_message &encoded, const limit_grants &grants)
{
    encoded.mutable_grants()->set_stamp(toMicros(grants.stamp));
    encoded.mutable_grants()->set_tenure(grants.tenure);
    for (const limit_grant &grant : grants.grants) {
        relay::limit_grant &added = *encoded.mutable_grants()->add_grants();
        added.set_workspace(grant.workspace.value());
        added.set_status(static_cast<std::uint32_t>(grant.status));
        added.set_tokens(grant.tokens);
        added.set_spare(grant.spare);
        added.set_retry_after_us(static_cast<std::uint64_t>(std::max<std::int64_t>(0, grant.retryAfter.count())));
    }
}

void encode(relay::limit_message &encoded, const limit_join &)
{
    encoded.set_join_known(false);
}

void encode(relay::limit_message &encoded, const limit_join_known &)
{
    encoded.set_join_known(true);
}

limit_loans decode(const relay::limit_loans &encoded)
{
    limit_loans loans;
    loans.stamp = toTime(encoded.stamp());
    for (const relay::limit_loan &loan : encoded.loans()) {
        const auto tokens = static_cast<loan_tokens>(std::min(loan.tokens(), static_cast<std::uint32_t>(loan_tokens::burst)));
        loans.loans.push_back({loan.slot(), loan.members(), loan.unit(), tokens});
    }
    return loans;
}

limit_request decode(const relay::limit_request &encoded)
{
    limit_request request;
    request.stamp = toTime(encoded.stamp());
    for (const relay::limit_ask &ask : encoded.asks()) {
        request.asks.push_back({workspace_name(ask.workspace()),
                                ask.needed(),
                                ask.ahead(),
                                ask.spare(),
                                ask.spare_used(),
                                ask.spare_returned(),
                                ask.tenure()});
    }
    return request;
}

limit_grants decode(const relay::limit_grants &encoded)
{
    limit_grants grants;
    grants.stamp = toTime(encoded.stamp());
    grants.tenure = encoded.tenure();
    for (const relay::limit_grant &grant : encoded.grants()) {
        // An unknown status of a later build is taken for an instance that can't decide.
        const bool known = grant.status() <= static_cast<std::uint32_t>(grant_status::unknownWorkspace);
        const duration retryAfter(static_cast<std::int64_t>(std::min(grant.retry_after_us(), maxRetryAfterMicros)));
        grants.grants.push_back({workspace_name(grant.workspace()),
                                 known ? static_cast<grant_status>(grant.status()) : grant_status::noPool,
                                 grant.tokens(),
                                 grant.spare(),
                                 retryAfter});
    }
    return grants;
}

} // namespace

relay::relay_message encodeLimitMessage(const limit_message &message)
{
    relay::relay_message encoded;
    encoded.mutable_limit()->set_from(message.from.value());
    std::visit(
        [&](const auto &content) {
            encode(*encoded.mutable_limit(), content);
        },
        message.content);
    return encoded;
}

std::optional<limit_message> decodeLimitMessage(const relay::limit_message &encoded)
{
    limit_message message;
    message.from = instance_name(encoded.from());
    switch (encoded.content_case()) {
    case relay::limit_message::kPoll:
        message.content = limit_poll{toTime(encoded.poll().stamp()), encoded.poll().slots()};
        return message;
    case relay::limit_message::kLoans:
        message.content = decode(encoded.loans());
        return message;
    case relay::limit_message::kReturned:
        message.content = limit_return{toTime(encoded.returned().stamp()), encoded.returned().slots()};
        return message;
    case relay::limit_message::kRequest:
        message.content = decode(encoded.request());
        return message;
    case relay::limit_message::kGrants:
        message.content = decode(encoded.grants());
        return message;
    case relay::limit_message::kJoinKnown:
        if (encoded.join_known()) {
            message.content = limit_join_known{};
        } else {
            message.content = limit_join{};
        }
        return message;
    case relay::limit_message::CONTENT_NOT_SET:
        break;
    }
    return std::nullopt;
}

} // namespace mustardrouter
