#pragma once

#include "base/Counters.h"
#include "base/Endpoint.h"
#include "base/Time.h"
#include "standin/DatagramSocket.h"
#include "standin/RunRecord.h"
#include "standin/UpstreamSettings.h"
#include "wire/Bytes.h"
#include "wire/CoapBuilder.h"
#include "wire/CoapParser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace bulrushgap {

/** \brief One upstream: runs requests in slots and sends feeds.
 *
 * The payload of answers and notifications is "UPSTREAM SERVICE ID", with ID the path of a GET,
 * the body of a POST, or "feed".
 */
class UpstreamStandin
{
public:
    /** \param returnAddress of the fabric. */
    UpstreamStandin(boost::asio::io_context &context, UpstreamSettings settings,
                    Endpoint returnAddress, RunRecord &runs);

    [[nodiscard]] Endpoint address() const { return this->socket.local(); }
    [[nodiscard]] const std::string &name() const { return this->settings.name; }
    void setFaults(const UpstreamFaults &faults);
    [[nodiscard]] boost::json::value stats() const;

private:
    struct Flow
    {
        Token token;
        std::uint32_t sequence = 0;
        bool silent = false;
    };

    struct Job
    {
        Endpoint caller;
        CoapIdentity reply;
        std::string id;
        bool booking = false;
        std::optional<TimePoint> deadline;
        std::unique_ptr<boost::asio::steady_timer> timer; //!< Set while it runs.
    };

    struct Recent
    {
        Endpoint caller;
        std::vector<Bytes> messages; //!< Empty while the request has not been answered.
    };

    void handle(std::span<const std::byte> datagram);
    void handleMessage(Endpoint caller, const CoapMessage &message);
    void handleFlowReply(Endpoint caller, const CoapMessage &message);
    void openFlow(Endpoint caller, const CoapMessage &message);
    void handleRequest(Endpoint caller, const CoapMessage &message);
    void cancel(const Token &token);
    void admit(Job job);
    void run(Job job);
    void finish(const Token &token);

    /** \brief Gives up a request at its deadline, as upstreams that accept deadlines do. */
    void abandon(const Token &token);
    void startNext();
    void collapse();
    [[nodiscard]] bool isCold() const { return this->remainingCold > 0; }
    [[nodiscard]] LoadReport load() const;
    [[nodiscard]] std::string payload(std::string_view id) const;
    void sendFeeds();
    void notify(Endpoint caller, Flow &flow, const CoapIdentity &identity);
    void answer(const Job &job);
    void shed(Endpoint caller, const CoapIdentity &reply);
    void send(Endpoint caller, const Bytes &message);

    boost::asio::io_context &context;
    UpstreamSettings settings;
    Endpoint returnAddress;
    RunRecord &runs;
    CoapParser parser;
    Counters counters;
    std::map<Endpoint, Flow> flows;
    std::map<Token, Job> running;
    std::deque<Job> waiting;
    std::map<Token, Recent> recent; //!< Requests seen lately, to answer repeated ones.
    std::deque<Token> recentOrder;
    std::uint32_t remainingCold;
    std::size_t maxConcurrentCold = 0;
    TimePoint collapsedUntil;
    bool hangs = false;
    bool drains = false;
    std::uint32_t lastRun = 0;
    std::uint16_t nextId = 0;
    boost::asio::steady_timer feedTimer;
    DatagramSocket socket;
};

} // namespace bulrushgap
