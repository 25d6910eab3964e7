#include "src/entry/lending-message.h"

#include "src/entry/loan.capnp.h"
#include "src/rpc/convert.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <cmath>

namespace swiftloft::entry {

namespace {

constexpr std::uint64_t traversalLimitWords = 1024;
constexpr int nestingLimit = 4;

void write(schema::LendRequest::Builder to, const policy::LendRequest& from)
{
    to.setBorrower(rpc::toText(from.borrower.value()));
    to.setBorrowerIncarnation(from.borrowerIncarnation.value());
    to.setSerial(from.serial);
    to.setSpentUpTo(from.spentUpTo);
    to.setOrganisation(rpc::toText(from.organisation.value()));
    to.setRequests(from.requests);
    to.setTokens(from.tokens);
}

void write(schema::LendGrant::Builder to, const policy::LendGrant& from)
{
    to.setLender(rpc::toText(from.lender.value()));
    to.setBorrowerIncarnation(from.borrowerIncarnation.value());
    to.setSerial(from.serial);
    to.setOrganisation(rpc::toText(from.organisation.value()));
    to.setRequests(from.requests);
    to.setTokens(from.tokens);
    to.setLeaseMs(static_cast<std::uint32_t>(from.lease.count()));
}

policy::LendRequest read(schema::LendRequest::Reader from)
{
    policy::LendRequest request;
    request.borrower = InstanceId(rpc::toString(from.getBorrower()));
    request.borrowerIncarnation = Incarnation(from.getBorrowerIncarnation());
    request.serial = from.getSerial();
    request.spentUpTo = from.getSpentUpTo();
    request.organisation = OrganisationName(rpc::toString(from.getOrganisation()));
    request.requests = from.getRequests();
    request.tokens = from.getTokens();
    return request;
}

policy::LendGrant read(schema::LendGrant::Reader from)
{
    policy::LendGrant grant;
    grant.lender = InstanceId(rpc::toString(from.getLender()));
    grant.borrowerIncarnation = Incarnation(from.getBorrowerIncarnation());
    grant.serial = from.getSerial();
    grant.organisation = OrganisationName(rpc::toString(from.getOrganisation()));
    grant.requests = from.getRequests();
    grant.tokens = from.getTokens();
    grant.lease = milliseconds(from.getLeaseMs());
    return grant;
}

Error malformed(std::string_view what)
{
    return { ErrorCode::MalformedInput, "invalid lending message: " + std::string(what) };
}

bool isAmount(double value)
{
    return std::isfinite(value) && value >= 0;
}

Result<LendingMessage> read(schema::Loan::Reader from)
{
    LendingMessage message;
    if (from.isRequest())
        message = read(from.getRequest());
    else if (from.isGrant())
        message = read(from.getGrant());
    else
        return malformed("unknown kind; expected a request or a grant");
    auto hasAmounts = std::visit([](auto& it) { return isAmount(it.requests) && isAmount(it.tokens); }, message);
    if (!hasAmounts)
        return malformed("an amount is negative or not finite");
    return message;
}

} // namespace

std::string encode(const LendingMessage& message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<schema::Loan>();
    if (auto request = std::get_if<policy::LendRequest>(&message))
        write(root.initRequest(), *request);
    else
        write(root.initGrant(), std::get<policy::LendGrant>(message));
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    auto bytes = out.getArray();
    return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

Result<LendingMessage> decodeLendingMessage(std::string_view bytes)
{
    Result<LendingMessage> result = malformed("not a Cap'n Proto message");
    auto failure = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream in(kj::ArrayPtr<const kj::byte>(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = traversalLimitWords;
        options.nestingLimit = nestingLimit;
        capnp::PackedMessageReader reader(in, options);
        result = read(reader.getRoot<schema::Loan>());
    });
    if (failure != nullptr)
        return malformed("can't be decoded");
    return result;
}

} // namespace swiftloft::entry
