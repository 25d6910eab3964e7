#pragma once

#include "src/entry/exchange.h"

#include <string>

namespace swiftloft::entry {

/// Turns the pieces of one answer into the bytes of an HTTP/1.1 response.
///
/// An answer of unknown length goes out in chunks, and the last chunk only with its end mark, so that a cut answer can't
/// be taken for whole. An event stream carries the verdict in its last event.
class ResponseWriter {
public:
    struct Options {
        unsigned httpVersion { 11 };
        bool isHeadRequest { false };
        bool keepsAlive { true };
        /// The entry is leaving: the client should ask for addresses again.
        bool isEntryLeaving { false };
        std::string requestId;
        std::string entry;
    };

    explicit ResponseWriter(Options options);

    /// Appends the bytes of `piece` to `out`.
    void add(const ResponsePart& part, std::string& out);

    /// True when the answer is complete or cut: nothing more will be written.
    bool isDone() const { return m_isDone; }
    /// False when the connection has to be closed after this answer.
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
