#include "src/agent/group-transport.h"

#include "src/expertmap/wire.h"

#include <capnp/serialize.h>

#include <boost/asio/buffer.hpp>
#include <fmt/format.h>

namespace swiftloft::agent {

namespace asio = boost::asio;
namespace schema = expertmap::schema;
namespace wire = expertmap::wire;
using asio::ip::udp;

namespace {

/// Writes a message into the union of a `schema::GroupMessage`.
struct MessageBuilder {
    schema::GroupMessage::Builder out;

    void operator()(const expertmap::RankOrder& it) { wire::build(out.initOrder(), it); }
    void operator()(const expertmap::RankReport& it) { wire::build(out.initReport(), it); }
    void operator()(const expertmap::RankHello& it) { wire::build(out.initHello(), it); }
    void operator()(const MapRequest& it) { out.setMapWanted(it.version.value()); }
    void operator()(const expertmap::VersionedMap& it) { wire::build(out.initMap(), it); }
    void operator()(const expertmap::RankLoads& it) { wire::build(out.initLoads(), it); }
    void operator()(const MapDifference& it) { build(out.initDifference(), it); }

    static void build(schema::MapDifference::Builder difference, const MapDifference& it)
    {
        difference.setBase(it.base.value());
        difference.setVersion(it.version.value());
        auto size = static_cast<unsigned>(it.slots.size());
        auto places = difference.initPlaces(size);
        auto experts = difference.initExperts(size);
        for (unsigned n = 0; n < size; ++n) {
            places.set(n, it.slots[n].index);
            experts.set(n, static_cast<std::uint16_t>(it.slots[n].expert.value()));
        }
    }
};

std::optional<GroupMessage> decodeDifference(schema::MapDifference::Reader in)
{
    MapDifference difference { MapVersion(in.getBase()), MapVersion(in.getVersion()), {} };
    auto places = in.getPlaces();
    auto experts = in.getExperts();
    if (places.size() != experts.size())
        return std::nullopt;
    for (unsigned n = 0; n < places.size(); ++n)
        difference.slots.push_back({ places[n], ExpertIndex(experts[n]) });
    return difference;
}

template <typename T>
std::optional<GroupMessage> toGroupMessage(Result<T> parsed)
{
    if (!parsed)
        return std::nullopt;
    return GroupMessage(std::move(*parsed));
}

std::optional<GroupMessage> decodeMessage(schema::GroupMessage::Reader in)
{
    switch (in.which()) {
    case schema::GroupMessage::ORDER:
        return toGroupMessage(wire::parse(in.getOrder()));
    case schema::GroupMessage::REPORT:
        return toGroupMessage(wire::parse(in.getReport()));
    case schema::GroupMessage::HELLO:
        return toGroupMessage(wire::parse(in.getHello()));
    case schema::GroupMessage::MAP_WANTED:
        return MapRequest { MapVersion(in.getMapWanted()) };
    case schema::GroupMessage::MAP:
        return toGroupMessage(wire::parse(in.getMap()));
    case schema::GroupMessage::LOADS:
        return toGroupMessage(wire::parse(in.getLoads()));
    case schema::GroupMessage::DIFFERENCE:
        return decodeDifference(in.getDifference());
    }
    return std::nullopt;
}

} // namespace

GroupTransport::GroupTransport(asio::io_context& ioContext, std::string group, Handler handler)
    : m_socket(ioContext)
    , m_group(std::move(group))
    , m_handler(std::move(handler))
    , m_buffer(maxDatagramBytes / sizeof(std::uint64_t) + 1)
{
}

Result<std::shared_ptr<GroupTransport>> GroupTransport::create(asio::io_context& ioContext, const Endpoint& endpoint, std::string group, Handler handler)
{
    std::shared_ptr<GroupTransport> transport(new GroupTransport(ioContext, std::move(group), std::move(handler)));
    boost::system::error_code ec;
    transport->m_socket.open(endpoint.protocol(), ec);
    if (!ec)
        transport->m_socket.bind(endpoint, ec);
    if (!ec)
        transport->m_socket.non_blocking(true, ec);
    if (ec)
        return Error { ErrorCode::Unavailable, fmt::format("can't bind UDP {}:{}: {}", endpoint.address().to_string(), endpoint.port(), ec.message()) };
    transport->receive();
    return transport;
}

void GroupTransport::send(const Endpoint& to, const GroupMessage& message)
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<schema::GroupMessage>();
    root.setGroup(m_group);
    std::visit(MessageBuilder { root }, message);
    auto words = capnp::messageToFlatArray(builder);
    auto bytes = words.asBytes();
    if (bytes.size() > maxDatagramBytes)
        return;
    boost::system::error_code ec;
    m_socket.send_to(asio::buffer(bytes.begin(), bytes.size()), to, 0, ec);
}

void GroupTransport::stop()
{
    m_handler = nullptr;
    boost::system::error_code ec;
    m_socket.close(ec);
}

void GroupTransport::receive()
{
    auto buffer = asio::buffer(m_buffer.data(), m_buffer.size() * sizeof(std::uint64_t));
    m_socket.async_receive_from(buffer, m_sender, [self = shared_from_this()](boost::system::error_code ec, std::size_t size) {
        if (!self->m_handler || ec == asio::error::operation_aborted)
            return;
        // Any other error only reports that an earlier datagram could not be delivered. The socket remains usable.
        if (!ec)
            self->onDatagram(size);
        if (self->m_handler)
            self->receive();
    });
}

void GroupTransport::onDatagram(std::size_t size)
{
    auto message = decode(size);
    if (!message)
        return;
    // Copied because the handler may stop the transport, which resets `m_handler`.
    auto handler = m_handler;
    handler(m_sender, *message);
}

std::optional<GroupMessage> GroupTransport::decode(std::size_t size) const
{
    try {
        auto* words = reinterpret_cast<const capnp::word*>(m_buffer.data());
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words, size / sizeof(capnp::word)));
        auto root = reader.getRoot<schema::GroupMessage>();
        // After an address has been reassigned, messages of another group may still arrive at it. Their orders are
        // meant for other engines, so they are dropped.
        if (root.getGroup() != m_group.c_str())
            return std::nullopt;
        return decodeMessage(root);
    } catch (const kj::Exception&) {
        return std::nullopt;
    }
}

} // namespace swiftloft::agent
