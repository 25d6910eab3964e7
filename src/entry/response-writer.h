#pragma once

#include "src/entry/exchange.h"

#include <string>

namespace swiftloft::entry {

/// Serialises the parts of one response as HTTP/1.1.
///
/// A response of unknown length is sent in chunks, and the last chunk is sent only after the end mark of the agent has
/// arrived. A client therefore can't mistake an aborted response for a complete one. An event stream carries the
/// verdict in its last event.
class ResponseWriter {
public:
    struct Options {
        unsigned httpVersion { 11 };
        bool isHeadRequest { false };
        bool keepsAlive { true };
        /// The entry is leaving, so the client should look up the entry addresses again.
        bool isEntryLeaving { false };
        std::string requestId;
        std::string entry;
    };

    explicit ResponseWriter(Options options);

    /// Appends the bytes of `part` to `out`.
    void add(const ResponsePart& part, std::string& out);

    /// True once the response is complete or aborted; no more bytes follow.
    bool isDone() const { return m_isDone; }
    /// False if the connection must be closed after this response.
    bool keepsAlive() const { return m_keepsAlive; }

private:
    void addHead(const ResponseHead& head, std::string& out);
    void addData(std::string_view bytes, std::string& out) const;
    void addEnd(std::string& out);
    void addAbort(const ResponseAbort& abort, std::string& out);
    void addLocalResponse(const LocalResponse& local, std::string& out);
    void addLastEvent(std::string_view json, std::string_view before, std::string& out) const;

    Options m_options;
    bool m_keepsAlive;
    bool m_isChunked { false };
    bool m_isEventStream { false };
    bool m_isDone { false };
};

} // namespace swiftloft::entry
