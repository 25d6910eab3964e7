/// Stand-ins for the cases under review/: the platform's store, a backend server, a link that can be cut, and a client.
/// Each runs as a process of its own: `standin store|server|link|client --option VALUE...`.
#include "review/common.h"

#include <poll.h>

namespace {

using namespace review;

std::string base64(const std::string& text)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < text.size(); n += 3) {
        std::uint32_t word = 0;
        for (std::size_t k = 0; k < 3; ++k)
            word = (word << 8U) | (n + k < text.size() ? static_cast<unsigned char>(text[n + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += n + k <= text.size() ? digits[(word >> (18U - 6U * k)) & 63U] : '=';
    }
    return out;
}

std::string queryValue(const std::string& target, const std::string& name)
{
    auto begin = target.find(name + "=");
    if (begin == std::string::npos)
        return "";
    begin += name.size() + 1;
    auto text = target.substr(begin, target.find('&', begin) - begin);
    for (auto it = text.find("%2F"); it != std::string::npos; it = text.find("%2F"))
        text.replace(it, 3, "/");
    return text;
}

/// The platform's store. `PUT /standin?key=K` and `DELETE /standin?key=K` are how the operator and the servers write.
class Store {
public:
    void serve(tcp::socket socket)
    {
        beast::flat_buffer buffer;
        for (;;) {
            Request request;
            http::read(socket, buffer, request);
            Response response(http::status::ok, httpVersion11);
            response.set(http::field::content_type, "application/json");
            response.body() = answerTo(request);
            response.prepare_payload();
            http::write(socket, response);
        }
    }

private:
    struct Item {
        std::string value;
        std::uint64_t revision { 0 };
        std::uint64_t created { 0 };
        bool isRemoved { false };
    };

    std::string answerTo(const Request& request)
    {
        std::string target(request.target());
        std::unique_lock lock(m_mutex);
        if (target.starts_with("/standin")) {
            write(queryValue(target, "key"), request.body(), request.method() == http::verb::delete_);
            return "{}";
        }
        auto prefix = queryValue(target, "prefix");
        if (target.starts_with("/v1/kv-range"))
            return R"({"items":[)" + itemsAfter(prefix, 0, false) + R"(],"truncated":false,"asOf":)" + std::to_string(m_revision) + "}";
        auto after = std::stoull(queryValue(target, "after"));
        auto until = std::chrono::steady_clock::now() + milliseconds(std::stoll(queryValue(target, "waitMs")));
        m_changed.wait_until(lock, until, [&] { return !itemsAfter(prefix, after, true).empty(); });
        return R"({"events":[)" + itemsAfter(prefix, after, true) + R"(],"asOf":)" + std::to_string(m_revision) + "}";
    }

    void write(const std::string& key, const std::string& value, bool isRemoved)
    {
        auto& item = m_items[key];
        item.revision = ++m_revision;
        item.created = item.created && !item.isRemoved ? item.created : m_revision;
        item.value = value;
        item.isRemoved = isRemoved;
        m_changed.notify_all();
    }

    std::string itemsAfter(const std::string& prefix, std::uint64_t after, bool withRemoved) const
    {
        std::ostringstream out;
        for (auto& [key, item] : m_items) {
            if (!key.starts_with(prefix) || item.revision <= after || (item.isRemoved && !withRemoved))
                continue;
            out << (out.tellp() > 0 ? "," : "") << R"({"key":")" << key << R"(","revision":)" << item.revision;
            if (item.isRemoved)
                out << R"(,"tombstone":true})";
            else
                out << R"(,"created":)" << item.created << R"(,"lease":0,"value":")" << base64(item.value) << R"("})";
        }
        return out.str();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision { 10 };
};

/// A backend server. Its answers have neither a length nor chunks and end with their connection.
class Server {
public:
    explicit Server(const Options& options)
        : m_options(options)
        , m_id(option(options, "id"))
        , m_journal(option(options, "journal"))
        , m_born(unixMs())
    {
    }

    /// Registers the server and renews its entry at the interval of the deployment.
    void beat()
    {
        constexpr int heartbeatMs = 1200;
        for (int sequence = 1;; ++sequence) {
            std::ostringstream entry;
            entry << R"({"service":")" << option(m_options, "service") << R"(","address":")" << option(m_options, "address") << R"(","zone":")" << option(m_options, "zone")
                  << R"(","version":"v1","slots":)" << option(m_options, "slots", "6") << R"(,"state":"ready","coldRemainingMs":0,"born":)" << m_born << R"(,"sequence":)" << sequence << "}";
            Request request(http::verb::put, "/standin?key=servers/" + m_id, httpVersion11);
            request.body() = entry.str();
            request.prepare_payload();
            callOnce(option(m_options, "store"), request);
            if (sequence == 1)
                m_journal.write("server=" + m_id + " registered born=" + std::to_string(m_born));
            sleepFor(heartbeatMs);
        }
    }

    void serve(tcp::socket socket)
    {
        beast::flat_buffer buffer;
        Request request;
        http::read(socket, buffer, request);
        std::string id(request["X-Request-Id"]);
        Response head(http::status::ok, httpVersion11);
        head.set("X-Instance-Id", m_id);
        if (request["X-Expect-Instance"] != m_id) {
            head.result(misdirected);
            head.keep_alive(false);
            head.prepare_payload();
            http::write(socket, head);
            return;
        }
        m_journal.write("server=" + m_id + " runs id=" + id);
        sleepFor(number(m_options, "work", 60));
        head.set("X-Request-Id", id);
        head.set("X-Response-Stamp", "standin." + m_id + "." + id);
        head.keep_alive(false);
        bool isStream = request.target().starts_with("/stream/");
        head.set(http::field::content_type, isStream ? "text/event-stream" : "text/plain");
        auto pieces = piecesOf(id, isStream);
        std::ostringstream text;
        text << head.base();
        asio::write(socket, asio::buffer(text.str()));
        std::string lastEvent(request["Last-Event-Id"]);
        for (std::size_t n = isStream && !lastEvent.empty() ? std::stoull(lastEvent) : 0; n < pieces.size(); ++n) {
            asio::write(socket, asio::buffer(pieces[n]));
            m_journal.write("server=" + m_id + " sent id=" + id + " piece=" + std::to_string(n + 1) + "/" + std::to_string(pieces.size()));
            sleepFor(number(m_options, "pause", 50));
        }
        socket.shutdown(tcp::socket::shutdown_send);
        m_journal.write("server=" + m_id + " done id=" + id);
    }

    /// The parts of the whole body for this request.
    static std::vector<std::string> piecesOf(const std::string& id, bool isStream)
    {
        constexpr std::size_t events = 26;
        constexpr std::size_t parts = 10;
        std::vector<std::string> pieces;
        for (std::size_t n = 1; n <= (isStream ? events : parts); ++n) {
            auto text = id + " part " + std::to_string(n);
            pieces.push_back(isStream ? "id: " + std::to_string(n) + "\ndata: " + text + "\n\n" : text + std::string(80, '.') + "\n");
        }
        return pieces;
    }

private:
    static constexpr unsigned misdirected = 421;

    Options m_options;
    std::string m_id;
    Journal m_journal;
    std::int64_t m_born;
};

std::atomic<bool> isLinkCut { false };

/// True if the other end of the connection has closed it or is gone.
bool hasEnded(tcp::socket& socket)
{
    pollfd state { socket.native_handle(), POLLRDHUP, 0 };
    return ::poll(&state, 1, 0) > 0;
}

/// Moves bytes from one side to the other. While the link is cut nothing passes. What a side sends while the link is cut
/// waits, and is lost with the end of the connection if that side's host dies meanwhile: the other side hears nothing.
void pump(tcp::socket& from, tcp::socket& to)
{
    std::vector<char> bytes(16384);
    for (;;) {
        boost::system::error_code ec;
        from.wait(tcp::socket::wait_read, ec);
        while (isLinkCut) {
            if (hasEnded(from))
                return;
            sleepFor(1);
        }
        auto n = from.read_some(asio::buffer(bytes), ec);
        if (ec) {
            to.shutdown(tcp::socket::shutdown_send, ec);
            return;
        }
        asio::write(to, asio::buffer(bytes, n), ec);
    }
}

void link(const Options& options)
{
    std::signal(SIGUSR1, [](int) { isLinkCut = true; });
    std::signal(SIGUSR2, [](int) { isLinkCut = false; });
    auto target = endpointOf(option(options, "to"));
    listenFor(option(options, "address"), [target](tcp::socket near) {
        while (isLinkCut)
            sleepFor(1);
        asio::io_context io;
        tcp::socket far(io);
        far.connect(target);
        far.set_option(tcp::no_delay(true));
        near.set_option(tcp::no_delay(true));
        std::thread back([&] { pump(far, near); });
        pump(near, far);
        back.join();
    });
}

/// Sends one request and writes a line: what the client got, and whether that is the server's whole body.
int client(const Options& options)
{
    auto id = option(options, "id");
    auto path = option(options, "path");
    bool isStream = path.starts_with("/stream/");
    Journal journal(option(options, "journal"));
    Request request(http::verb::post, path, httpVersion11);
    request.set(http::field::host, option(options, "host"));
    request.set("X-Request-Id", id);
    request.set("X-Deadline-Ms", option(options, "deadline"));
    request.set("X-Api-Key", option(options, "key"));
    request.body() = "work";
    request.prepare_payload();
    journal.write("client sends id=" + id + " path=" + path);
    http::response_parser<http::string_body> parser;
    bool isWhole = false;
    std::string problem;
    try {
        asio::io_context io;
        beast::tcp_stream stream(io);
        stream.connect(endpointOf(option(options, "entry")));
        // A client gives up at its deadline.
        auto handle = stream.socket().native_handle();
        std::thread([handle, ms = number(options, "deadline", 0)] {
            sleepFor(ms);
            ::shutdown(handle, SHUT_RDWR);
        }).detach();
        http::write(stream, request);
        beast::flat_buffer buffer;
        http::read(stream, buffer, parser);
        isWhole = true;
    } catch (const std::exception& error) {
        problem = error.what();
    }
    std::string expected;
    for (auto& piece : Server::piecesOf(id, isStream))
        expected += piece;
    auto status = parser.is_header_done() ? parser.get().result_int() : 0;
    bool isSuccess = isWhole && status == 200;
    bool isWrong = isSuccess && option(options, "check", "yes") == "yes" && parser.get().body() != expected;
    std::ostringstream line;
    line << "client got id=" << id << " status=" << status << " complete=" << (isWhole ? "yes" : "no") << " bytes=" << (parser.is_header_done() ? parser.get().body().size() : 0) << " of=" << expected.size()
         << " stamp=" << (parser.is_header_done() ? std::string(parser.get()["X-Response-Stamp"]) : "") << " verdict=" << (isWrong ? "BROKEN" : isSuccess ? "served"
                                                                                                                                                          : "not-served")
         << " " << problem;
    journal.write(line.str());
    return isWrong ? 1 : 0;
}

int run(const std::string& role, const Options& options)
{
    auto address = option(options, "address");
    if (role == "store") {
        Store store;
        listenFor(address, [&](tcp::socket socket) { store.serve(std::move(socket)); });
    } else if (role == "server") {
        Server server(options);
        std::thread([&] { server.beat(); }).detach();
        listenFor(option(options, "listen"), [&](tcp::socket socket) { server.serve(std::move(socket)); });
    } else if (role == "link") {
        link(options);
    } else if (role == "client") {
        return client(options);
    }
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return run(argc > 1 ? argv[1] : "", optionsFrom(argc, argv, 2));
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
