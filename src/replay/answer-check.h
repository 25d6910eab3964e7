#pragma once

#include "src/replay/http-client.h"
#include "src/replay/record.h"
#include "src/replay/sse-parser.h"

#include <string>
#include <string_view>

namespace swiftloft::replay {

/// Reads one answer as it arrives and says what it is worth: whole, the caller's own, refused, cut or wrong.
class AnswerCheck {
public:
    /// `needsVerdict`: an answer without one counts as lost; not so for a backend server that is asked directly.
    AnswerCheck(const TraceRequest&, std::string body, bool needsVerdict);

    void onBody(std::string_view piece, TimePoint at);
    /// Fills fate, verdict, refusal and the rest of `record` from the end of the exchange.
    void conclude(const ExchangeResult&, Record&);

private:
    void onEvent(const SseEvent&);
    void takeToken(const SseEvent&);
    void takeFinal(const SseEvent&);
    void readHead(const HttpHead&, Record&) const;
    void readRefusal(const std::string& body, Record&) const;
    std::string problemOfAnswer(const ExchangeResult&) const;
    std::string problemOfStream() const;
    std::string problemOfModelBody(const std::string&) const;
    std::string problemOfPlainBody(const std::string&) const;

    const TraceRequest& m_request;
    std::string m_body;
    bool m_needsVerdict;
    std::string m_hash;
    SseParser m_parser;
    TimePoint m_pieceAt;
    std::vector<TimePoint> m_tokensAt;
    std::string m_streamProblem;
    std::int64_t m_nextToken { 0 };
    bool m_isDone { false };
    std::optional<Verdict> m_finalVerdict;
    Refusal m_finalRefusal;
};

} // namespace swiftloft::replay
