#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "standin/CallerSettings.h"
#include "standin/CallerSummary.h"
#include "standin/DatagramSocket.h"
#include "wire/CoapParser.h"

#include <boost/asio/io_context.hpp>

#include <span>
#include <string>

namespace bulrushgap {

/** \brief One caller with one feed: opens, refreshes, acknowledges, and watches for breaks. */
class FeedCaller
{
public:
    FeedCaller(boost::asio::io_context &context, const CallerSettings &settings,
               const CallerServiceSettings &service, Random &random, CallerSummary &summary);

    /** \brief Sends what is due and notices a stalled feed. */
    void tick(TimePoint now);

    /** \brief Ends the feed. */
    void close();

    [[nodiscard]] bool isOpen() const { return this->open; }

private:
    void reopen(TimePoint now);
    void sendObserve(TimePoint now);
    void handle(std::span<const std::byte> datagram);
    void handleReset(const CoapMessage &message);
    void handleItem(const CoapMessage &message);
    void noteUpstream(const std::string &name);

    const CallerSettings &settings;
    const CallerServiceSettings &service;
    Random &random;
    CallerSummary &summary;
    CoapParser parser;
    Token token;
    std::string upstream;
    bool open = false; //!< The first item has arrived.
    bool stalled = false;
    std::uint16_t nextId;
    std::uint16_t lastId = 0; //!< Of the last message that a reset can refer to.
    Duration retryDelay{};
    TimePoint nextSend;
    TimePoint lastItem;
    DatagramSocket socket;
};

} // namespace bulrushgap
