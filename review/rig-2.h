#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// Stand-ins of the platform's store, its engines and its clients, and real entry processes. All addresses are loopback
/// addresses.
namespace swiftloft::review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Exit codes of a case.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

inline const TimePoint startedAt = Clock::now();

inline void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/// Writes one line for each event, with the time since the start, to a file and to the standard output.
class Record {
public:
    explicit Record(const std::string& file)
        : m_out(file)
    {
    }

    void line(const std::string& text)
    {
        std::scoped_lock lock(m_mutex);
        auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - startedAt).count();
        m_out << ms << " ms: " << text << std::endl;
        std::cout << ms << " ms: " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

/// Address of a machine: 127.0.0.1 for machine 1, 127.0.0.2 for machine 2, and so on.
inline sockaddr_in loopback(unsigned short port, unsigned machine = 1)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl((INADDR_LOOPBACK & 0xffffff00U) + machine);
    address.sin_port = htons(port);
    return address;
}

/// Port that neither TCP nor UDP uses now. Ports are not given out twice.
inline unsigned short freePort()
{
    static std::set<unsigned short> given;
    for (;;) {
        int tcp = ::socket(AF_INET, SOCK_STREAM, 0);
        int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
        auto address = loopback(0);
        socklen_t size = sizeof address;
        bool isFree = ::bind(tcp, reinterpret_cast<sockaddr*>(&address), size) == 0 && ::getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &size) == 0
            && ::bind(udp, reinterpret_cast<sockaddr*>(&address), size) == 0;
        ::close(tcp);
        ::close(udp);
        auto port = ntohs(address.sin_port);
        if (isFree && given.insert(port).second)
            return port;
    }
}

inline std::string addressOf(unsigned short port, unsigned machine = 1)
{
    return "127.0.0." + std::to_string(machine) + ":" + std::to_string(port);
}

inline std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// A request or a response. The first line is split at its first two spaces.
struct Message {
    std::string first;
    std::string second;
    std::string third;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        auto it = headers.find(lowerCase(name));
        return it == headers.end() ? std::string() : it->second;
    }
    int status() const { return std::atoi(second.c_str()); }
    /// Path of a request without its query.
    std::string path() const { return second.substr(0, second.find('?')); }
    std::string query(const std::string& name) const
    {
        auto begin = second.find('?');
        while (begin != std::string::npos) {
            auto end = second.find('&', begin + 1);
            auto part = second.substr(begin + 1, end == std::string::npos ? std::string::npos : end - begin - 1);
            if (part.starts_with(name + "="))
                return part.substr(name.size() + 1);
            begin = end;
        }
        return {};
    }
};

/// One connection, with the bytes that were received and not used yet.
class Connection {
public:
    explicit Connection(int socket)
        : m_socket(socket)
    {
        int on = 1;
        ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    static std::unique_ptr<Connection> open(unsigned short port)
    {
        int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        auto address = loopback(port);
        if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            ::close(socket);
            return nullptr;
        }
        return std::make_unique<Connection>(socket);
    }

    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            auto n = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /// Receives more bytes; false if the peer has closed the connection, or after `until`.
    bool receive(TimePoint until)
    {
        pollfd it { m_socket, POLLIN, 0 };
        auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        if (left < 0 || ::poll(&it, 1, static_cast<int>(left) + 1) <= 0)
            return false;
        char bytes[16384];
        auto n = ::recv(m_socket, bytes, sizeof bytes, 0);
        m_hasEnded = n <= 0;
        if (n > 0)
            m_buffer.append(bytes, static_cast<std::size_t>(n));
        return n > 0;
    }

    /// Reads one message; unset if the connection ends first, or after `until`. A response without a body is read for a
    /// request of the method HEAD.
    std::optional<Message> read(TimePoint until, bool isForHead = false)
    {
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(until))
                return std::nullopt;
        }
        auto message = parseHead(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        bool isResponse = message.first.starts_with("HTTP/");
        if (isForHead)
            return message;
        if (lowerCase(message.header("Transfer-Encoding")) == "chunked")
            return readChunks(std::move(message), until);
        auto length = message.header("Content-Length");
        if (length.empty() && isResponse) {
            while (receive(until)) { }
            message.body = std::exchange(m_buffer, {});
            return message;
        }
        auto size = static_cast<std::size_t>(std::atoll(length.c_str()));
        while (m_buffer.size() < size) {
            if (!receive(until))
                return std::nullopt;
        }
        message.body = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return message;
    }

    /// Bytes that follow the last message that was read.
    const std::string& unread() const { return m_buffer; }
    bool hasEnded() const { return m_hasEnded; }
    void close()
    {
        if (m_socket >= 0)
            ::close(std::exchange(m_socket, -1));
    }
    void shutDown() const { ::shutdown(m_socket, SHUT_RDWR); }

private:
    static Message parseHead(const std::string& head)
    {
        Message message;
        std::istringstream in(head);
        std::string line;
        std::getline(in, line);
        std::istringstream firstLine(line);
        firstLine >> message.first >> message.second >> message.third;
        while (std::getline(in, line)) {
            auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto begin = std::min(line.find_first_not_of(" \t", colon + 1), line.size());
            auto value = line.substr(begin);
            if (!value.empty() && value.back() == '\r')
                value.pop_back();
            message.headers.emplace(lowerCase(line.substr(0, colon)), value);
        }
        return message;
    }

    std::optional<Message> readChunks(Message message, TimePoint until)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!receive(until))
                    return std::nullopt;
            }
            auto size = static_cast<std::size_t>(std::strtoull(m_buffer.c_str(), nullptr, 16));
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!receive(until))
                    return std::nullopt;
            }
            message.body += m_buffer.substr(end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return message;
        }
    }

    int m_socket;
    std::string m_buffer;
    bool m_hasEnded { false };
};

/// Serves each connection on a thread of its own. The handler returns false to close the connection.
class Server {
public:
    using Handler = std::function<bool(Connection& connection, const Message& request)>;

    explicit Server(Handler handler, unsigned machine = 1)
        : m_handler(std::move(handler))
        , m_port(freePort())
        , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = loopback(m_port, machine);
        constexpr int backlog = 256;
        m_isListening = ::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 && ::listen(m_listener, backlog) == 0;
        m_acceptor = std::thread([this] { accept(); });
    }

    ~Server()
    {
        m_isStopped = true;
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        {
            std::scoped_lock lock(m_mutex);
            for (auto& it : m_connections)
                it->shutDown();
        }
        for (auto& it : m_threads)
            it.join();
    }
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    unsigned short port() const { return m_port; }
    bool isListening() const { return m_isListening; }
    bool isStopped() const { return m_isStopped; }

private:
    void accept()
    {
        for (;;) {
            int socket = ::accept(m_listener, nullptr, nullptr);
            if (socket < 0)
                return;
            std::scoped_lock lock(m_mutex);
            auto connection = std::make_shared<Connection>(socket);
            m_connections.push_back(connection);
            m_threads.emplace_back([this, connection] { serve(*connection); });
        }
    }

    void serve(Connection& connection)
    {
        constexpr seconds idleTime { 120 };
        while (!m_isStopped) {
            auto request = connection.read(Clock::now() + idleTime);
            if (!request || !m_handler(connection, *request))
                break;
        }
        connection.shutDown();
    }

    Handler m_handler;
    unsigned short m_port;
    int m_listener;
    std::atomic<bool> m_isListening { false };
    std::atomic<bool> m_isStopped { false };
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::vector<std::thread> m_threads;
};

inline std::string response(int status, const std::string& reason, const std::string& headers, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string toBase64(const std::string& bytes)
{
    static constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        auto at = [&](std::size_t k) { return n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U; };
        auto group = at(0) << 16U | at(1) << 8U | at(2);
        for (unsigned k = 0; k < 4; ++k)
            out += n + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63U];
    }
    return out;
}

/// The platform's store: the items, and changes of them.
class Store {
public:
    Store()
        : m_server([this](auto& connection, auto& request) { return answer(connection, request); })
    {
    }

    void put(const std::string& key, const std::string& value)
    {
        std::scoped_lock lock(m_mutex);
        m_items[key] = { value, ++m_revision, false };
    }
    void remove(const std::string& key)
    {
        std::scoped_lock lock(m_mutex);
        m_items[key] = { "", ++m_revision, true };
    }
    unsigned short port() const { return m_server.port(); }

private:
    struct Item {
        std::string value;
        std::uint64_t revision { 0 };
        bool isRemoved { false };
    };

    /// Items below the prefix that changed after the revision; empty if there are none.
    std::string items(const std::string& prefix, std::uint64_t after, bool withRemoved) const
    {
        std::string out;
        for (auto& [key, item] : m_items) {
            if (!key.starts_with(prefix) || item.revision <= after || (item.isRemoved && !withRemoved))
                continue;
            auto end = item.isRemoved ? std::string("\"tombstone\":true}") : "\"created\":1,\"lease\":0,\"value\":\"" + toBase64(item.value) + "\"}";
            out += (out.empty() ? "" : ",") + ("{\"key\":\"" + key + "\",\"revision\":" + std::to_string(item.revision)) + "," + end;
        }
        return out;
    }

    bool answer(Connection& connection, const Message& request)
    {
        const std::string json = "Content-Type: application/json\r\n";
        auto prefix = request.query("prefix");
        if (request.path() == "/v1/kv-range") {
            std::scoped_lock lock(m_mutex);
            auto body = "{\"items\":[" + items(prefix, 0, false) + "],\"truncated\":false,\"asOf\":" + std::to_string(m_revision) + "}";
            return connection.send(response(200, "OK", json, body));
        }
        if (request.path() != "/v1/kv-watch")
            return connection.send(response(404, "Not Found", json, "{}"));
        auto after = std::strtoull(request.query("after").c_str(), nullptr, 10);
        auto until = Clock::now() + milliseconds(std::atoi(request.query("waitMs").c_str()));
        for (;;) {
            {
                std::scoped_lock lock(m_mutex);
                auto events = items(prefix, after, true);
                if (!events.empty() || Clock::now() >= until || m_server.isStopped())
                    return connection.send(response(200, "OK", json, "{\"events\":[" + events + "],\"asOf\":" + std::to_string(m_revision) + "}"));
            }
            constexpr milliseconds pollInterval { 5 };
            sleepFor(pollInterval);
        }
    }

    mutable std::mutex m_mutex;
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision { 1 };
    Server m_server;
};

/// Folder that is removed at the end.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        std::string name = std::filesystem::temp_directory_path() / "swiftloft-review-XXXXXX";
        m_path = ::mkdtemp(name.data());
    }
    ~TemporaryFolder()
    {
        std::error_code ec;
        std::filesystem::remove_all(m_path, ec);
    }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

/// A process of the project, started with a settings file as the deploy file says. Its output goes to a file.
class Process {
public:
    Process(const std::string& program, const std::string& settingsFile, const std::string& logFile)
    {
        m_id = ::fork();
        if (m_id != 0)
            return;
        int out = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        for (int n = 3; n < 1024; ++n)
            ::close(n);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("SWIFTLOFT_CONFIG", settingsFile.c_str(), 1);
        ::execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    ~Process()
    {
        if (!isRunning())
            return;
        signal(SIGCONT);
        signal(SIGKILL);
        ::waitpid(m_id, nullptr, 0);
    }
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number) const { ::kill(m_id, number); }
    bool isRunning()
    {
        if (!m_hasEnded)
            m_hasEnded = ::waitpid(m_id, &m_status, WNOHANG) == m_id;
        return !m_hasEnded;
    }
    bool waitForExit(milliseconds time)
    {
        auto until = Clock::now() + time;
        while (isRunning() && Clock::now() < until)
            sleepFor(milliseconds(5));
        return m_hasEnded;
    }
    /// Status as `waitpid` returns it.
    int status() const { return m_status; }

private:
    pid_t m_id { -1 };
    bool m_hasEnded { false };
    int m_status { 0 };
};

/// An entry with settings like those that the template of the deploy file gives to a machine of a small deployment.
class Entry {
public:
    Entry(const std::string& name, const std::string& folder, unsigned short storePort)
        : clients(freePort())
        , ready(freePort())
        , directory(freePort())
        , peers(freePort())
        , agentPort(freePort())
        , m_settingsFile(folder + "/" + name + ".ini")
        , m_logFile(folder + "/" + name + ".log")
    {
        std::ofstream(m_settingsFile) << "[entry]\nid = " << name << "\ndata-centre = hall-1\nregion.hall-1 = west\nclients = " << addressOf(clients) << "\nready = " << addressOf(ready)
                                      << "\ndirectory = " << addressOf(directory) << "\npeers = " << addressOf(peers) << "\nload = " << addressOf(freePort()) << "\nagent-port = " << agentPort
                                      << "\nstore = " << addressOf(storePort)
                                      << "\nretry-ratio = 0.2\nretry-slack = 90\nretry-window-seconds = 10\napply-within-ms = 2000\nstop-within-seconds = 8\ndirectory-kept-seconds = 1\nleast-entries = 9\nmemory-mb = 260\ndescriptors = 4100\nmetrics = "
                                      << addressOf(freePort()) << "\n";
    }

    void start() { process = std::make_unique<Process>("target/platform/swiftloft-platform-entry", m_settingsFile, m_logFile); }
    bool waitUntilReady() const
    {
        constexpr seconds startTime { 15 };
        auto until = Clock::now() + startTime;
        while (Clock::now() < until) {
            auto connection = Connection::open(ready);
            if (connection && connection->send("GET /v1/ready HTTP/1.1\r\nHost: ready.example\r\nConnection: close\r\n\r\n")) {
                auto answer = connection->read(Clock::now() + seconds(1));
                if (answer && answer->status() == 200)
                    return true;
            }
            sleepFor(milliseconds(50));
        }
        return false;
    }
    std::string log() const
    {
        std::ifstream in(m_logFile);
        std::ostringstream out;
        out << in.rdbuf();
        return out.str();
    }

    const unsigned short clients;
    const unsigned short ready;
    const unsigned short directory;
    const unsigned short peers;
    const unsigned short agentPort;
    std::unique_ptr<Process> process;

private:
    std::string m_settingsFile;
    std::string m_logFile;
};

/// The list entry of a server in the store.
inline std::string serverEntry(const std::string& service, unsigned short port, int slots, unsigned machine = 1)
{
    return R"({"service":")" + service + R"(","address":")" + addressOf(port, machine) + R"(","zone":"hall-1","version":"v1","slots":)" + std::to_string(slots) + R"(,"state":"ready","coldRemainingMs":0,"sequence":4})";
}

/// True unless the environment asks for a run without the disruption.
inline bool hasTrouble()
{
    auto* text = std::getenv("TROUBLE");
    return !text || std::string_view(text) != "0";
}

} // namespace swiftloft::review
