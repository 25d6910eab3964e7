#include "src/entry/refusal.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace swiftloft::entry {

namespace {

constexpr RefusalInfo infos[] = {
    { RefusalReason::BadRequest, "bad-request", 400, "the request can't be read" },
    { RefusalReason::UnknownService, "unknown-service", 404, "no such service in the settings; name one in Swiftloft-Service" },
    { RefusalReason::UnknownOrganisation, "unknown-organisation", 403, "no such organisation in the settings; name one in Swiftloft-Organisation" },
    { RefusalReason::NotAuthorised, "not-authorised", 401, "the organisation's key is missing or wrong" },
    { RefusalReason::RequestLimit, "request-limit", 429, "the organisation's requests a second are used up" },
    { RefusalReason::TokenLimit, "token-limit", 429, "the organisation's tokens a second are used up" },
    { RefusalReason::Overloaded, "overloaded", 503, "the answer would come after the deadline" },
    { RefusalReason::NoBackendServer, "no-backend-server", 503, "no backend server of the service can take the request" },
    { RefusalReason::DeadlinePassed, "deadline-passed", 504, "the deadline passed before the answer came" },
    { RefusalReason::BackendServerFailed, "backend-server-failed", 502, "the backend server broke off" },
    { RefusalReason::Quarantined, "quarantined", 422, "this request has crashed backend servers and is refused for a time" },
    { RefusalReason::NotReady, "not-ready", 503, "this entry has no settings yet; ask another" },
    { RefusalReason::HomeUnreachable, "home-unreachable", 503, "the backend server that knows this key can't be reached" },
    { RefusalReason::AnswerNotHeld, "answer-not-held", 410, "the request ran, but its answer is no longer buffered" },
    { RefusalReason::AnswerDamaged, "answer-damaged", 502, "the answer did not arrive whole" },
    { RefusalReason::InFlightLimit, "in-flight-limit", 429, "the organisation has its most requests in progress" },
};

} // namespace

const RefusalInfo& infoOf(RefusalReason reason)
{
    for (auto& info : infos) {
        if (info.reason == reason)
            return info;
    }
    return infos[0];
}

std::string toJson(const Refusal& refusal)
{
    auto& info = infoOf(refusal.reason);
    auto view = [](std::string_view text) { return boost::json::string_view(text.data(), text.size()); };
    boost::json::object body;
    body["reason"] = static_cast<unsigned>(refusal.reason);
    body["name"] = view(info.name);
    body["verdict"] = view(toString(refusal.verdict));
    body["message"] = view(refusal.details.empty() ? info.text : std::string_view(refusal.details));
    if (refusal.retryAfter)
        body["retry_after_seconds"] = refusal.retryAfter->count();
    return boost::json::serialize(body) + "\n";
}

} // namespace swiftloft::entry
