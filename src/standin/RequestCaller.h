#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "standin/CallerSettings.h"
#include "standin/CallerSummary.h"
#include "standin/DatagramSocket.h"
#include "wire/Bytes.h"
#include "wire/CoapParser.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <span>
#include <string>

namespace bulrushgap {

/** \brief Sends GET and POST requests to one service from one port and checks the answers. */
class RequestCaller
{
public:
    RequestCaller(boost::asio::io_context &context, const CallerSettings &settings,
                  const CallerServiceSettings &service, Random &random, CallerSummary &summary,
                  TimePoint start);

    /** \brief Starts a request; the id comes back in the answer. */
    void request(const std::string &id, bool booking, TimePoint now);

    /** \brief Retransmits what is due and gives up after the deadline. */
    void tick(TimePoint now);

    [[nodiscard]] std::size_t pending() const { return this->requests.size(); }

private:
    struct Assembly
    {
        std::map<std::uint32_t, std::string> parts;
        std::optional<std::uint32_t> lastPart;
    };

    struct Pending
    {
        std::string id;
        bool booking = false;
        std::uint16_t messageId = 0;
        TimePoint sent;
        TimePoint nextSend;
        Duration retryDelay{};
        Bytes ticket;
        /** A repeated request may be answered by two upstreams; parts with different ETags must
         * not be put together (RFC 7959, section 2.4). */
        std::map<std::string, Assembly> answers;
    };
    using Requests = std::map<Token, Pending>;

    void transmit(const Token &token, Pending &pending, TimePoint now);
    void handle(std::span<const std::byte> datagram);
    void useTicket(Requests::iterator found, const CoapMessage &message);
    void addPart(Requests::iterator found, const CoapMessage &message);
    [[nodiscard]] bool isRight(const Pending &pending, const Assembly &answer) const;
    void finish(Requests::iterator found, std::string verdict, std::string reason);
    void finishRefused(Requests::iterator found, const CoapMessage &message);

    const CallerSettings &settings;
    const CallerServiceSettings &service;
    Random &random;
    CallerSummary &summary;
    TimePoint start;
    CoapParser parser;
    std::uint16_t nextId = 0;
    Requests requests;
    DatagramSocket socket;
};

} // namespace bulrushgap
