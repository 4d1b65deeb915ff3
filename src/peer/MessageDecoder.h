#pragma once

#include "message/PeerMessage.h"
#include "peer/MessageCodec.h"
#include "peer/MessageLimits.h"
#include "peer/peer_generated.h"

#include <boost/leaf/result.hpp>

#include <span>
#include <string>
#include <vector>

namespace bulrushgap::internal {

/** \brief Decodes one message and checks ranges and limits of what it contains.
 *
 * A wrong value marks the whole message as malformed; decoding goes on, so that the functions
 * below need no error path of their own.
 */
class MessageDecoder
{
public:
    /** \param bytes aligned to 8 bytes. */
    [[nodiscard]] boost::leaf::result<PeerMessage> decode(std::span<const std::byte> bytes);

private:
    template <typename Table>
    using List = flatbuffers::Vector<flatbuffers::Offset<Table>>;

    void require(bool condition) { this->good = this->good && condition; }

    /** \brief Charges \a count elements. \returns false if the message has too many. */
    bool charge(std::size_t count, std::size_t limit = elementLimit);

    std::string text(const flatbuffers::String *value);
    PlanId planId(const peerwire::PlanId *value);
    Endpoint endpoint(const peerwire::Endpoint *value);
    PlanDomain domain(const peerwire::PlanDomain &value);
    PlanInstance instance(const peerwire::PlanInstance &value);
    PlanUpstream upstream(const peerwire::PlanUpstream &value);
    PlanService service(const peerwire::PlanService &value);
    Plan plan(const peerwire::Plan *value);
    ServiceFlows serviceFlows(const peerwire::ServiceFlows &value);
    std::vector<ServiceFlows> flows(const List<peerwire::ServiceFlows> *value);

    Hello body(const peerwire::Hello &value);
    Heartbeat body(const peerwire::Heartbeat &value);
    PlanPush body(const peerwire::PlanPush &value);
    PlanRequest body(const peerwire::PlanRequest &value);
    Digest body(const peerwire::Digest &value);
    Prepared body(const peerwire::Prepared &value);
    Union body(const peerwire::Union &value);
    InForce body(const peerwire::InForce &value);
    UpstreamStatus body(const peerwire::UpstreamStatus &value);
    Snapshot body(const peerwire::Snapshot &value);
    PeerMessage message(const peerwire::PeerMessage &value);

    template <typename Element, typename Table>
    std::vector<Element> list(const List<Table> *source, std::size_t limit,
                              Element (MessageDecoder::*decodeOne)(const Table &))
    {
        std::vector<Element> result;
        if (source == nullptr || !this->charge(source->size(), limit)) {
            this->good = false;
            return result;
        }
        for (const Table *each : *source)
            result.push_back((this->*decodeOne)(*each));
        return result;
    }

    bool good = true;
    std::size_t remainingElements = elementLimit;
};

} // namespace bulrushgap::internal
