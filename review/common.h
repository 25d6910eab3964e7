#pragma once

/// What the stand-ins of the cases share.
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Options = std::map<std::string, std::string>;

constexpr int httpVersion11 = 11;

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepFor(std::int64_t ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

inline std::string option(const Options& options, const std::string& name, const std::string& fallback = "")
{
    auto it = options.find(name);
    return it == options.end() ? fallback : it->second;
}

inline std::int64_t number(const Options& options, const std::string& name, std::int64_t fallback)
{
    auto it = options.find(name);
    return it == options.end() ? fallback : std::stoll(it->second);
}

inline tcp::endpoint endpointOf(const std::string& text)
{
    auto colon = text.rfind(':');
    return { asio::ip::make_address(text.substr(0, colon)), static_cast<unsigned short>(std::stoi(text.substr(colon + 1))) };
}

/// Appends lines to a file; each line begins with the Unix time in milliseconds.
class Journal {
public:
    explicit Journal(const std::string& path)
        : m_out(path, std::ios::app)
    {
    }

    void write(const std::string& line)
    {
        std::scoped_lock lock(m_mutex);
        m_out << unixMs() << ' ' << line << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
};

/// Accepts connections for ever and serves each on a thread of its own.
inline void listenFor(const std::string& address, const std::function<void(tcp::socket)>& serve)
{
    asio::io_context io;
    tcp::acceptor acceptor(io, endpointOf(address), true);
    for (;;) {
        boost::system::error_code ec;
        auto socket = acceptor.accept(ec);
        if (ec)
            continue;
        std::thread([&serve, connection = std::move(socket)]() mutable {
            try {
                serve(std::move(connection));
            } catch (const std::exception&) {
                // The peer has gone.
            }
        }).detach();
    }
}

/// Sends one request on a connection of its own and returns the response.
inline Response callOnce(const std::string& address, const Request& request)
{
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect(endpointOf(address));
    http::write(socket, request);
    beast::flat_buffer buffer;
    Response response;
    http::read(socket, buffer, response);
    return response;
}

/// Reads `--name value` pairs that follow the first `first` arguments.
inline Options optionsFrom(int argc, char** argv, int first)
{
    Options options;
    for (int n = first; n + 1 < argc; n += 2)
        options[std::string(argv[n]).substr(2)] = argv[n + 1];
    return options;
}

} // namespace review
