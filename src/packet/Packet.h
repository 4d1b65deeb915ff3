#pragma once

#include "base/Endpoint.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <algorithm>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace bulrushgap {

/** \brief Identifies a flow: a caller endpoint and a service address. */
struct FlowKey
{
    Endpoint caller;
    Endpoint service;

    friend constexpr auto operator<=>(const FlowKey &, const FlowKey &) = default;
};

enum class PacketKind : std::uint8_t {
    FlowData,  //!< From a caller: opens, refreshes or continues a flow.
    FlowClose, //!< From a caller: ends a flow.
    Request,   //!< From a caller: a request that any upstream of the service may run.
    Cancel,    //!< From a caller: cancels its request with the same token.
    FeedItem,  //!< From an upstream: an item of a flow.
    Answer,    //!< From an upstream: an answer, or a part of one, to a dispatched request.
    Shed,      //!< From an upstream: states that it did not run a dispatched request.
};

/** \brief Token of 0 to 8 bytes by which a caller matches answers to its requests. */
struct Token
{
    std::array<std::byte, 8> bytes{};
    std::uint8_t size = 0;

    friend constexpr auto operator<=>(const Token &, const Token &) = default;

    [[nodiscard]] static Token from(std::span<const std::byte> source)
    {
        Token token;
        token.size = static_cast<std::uint8_t>(std::min(source.size(), token.bytes.size()));
        std::copy_n(source.begin(), token.size, token.bytes.begin());
        return token;
    }
    [[nodiscard]] std::span<const std::byte> view() const
    {
        return {this->bytes.data(), this->size};
    }
};

/** \brief Identifies one dispatch of a request to an upstream; the upstream echoes it as its token.
 */
struct DispatchId
{
    InstanceId instance;        //!< The dispatcher.
    std::uint16_t bootTag = 0;  //!< Low bits of the dispatcher's boot id.
    std::uint32_t sequence = 0; //!< Unique within the boot of the dispatcher.

    friend constexpr auto operator<=>(const DispatchId &, const DispatchId &) = default;

    [[nodiscard]] Token toToken() const;
    [[nodiscard]] static std::optional<DispatchId> fromToken(const Token &token);
};

/** \brief Load as reported by an upstream in an answer; may be stale or wrong. */
struct LoadReport
{
    std::uint16_t inFlight = 0;    //!< Requests that it runs now.
    std::uint16_t connections = 0; //!< Open flows.
    bool warm = true;

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

/** \brief A parsed packet; its spans point into the datagram and are valid as long as it. */
struct Packet
{
    FlowKey flow;
    PacketKind kind = PacketKind::FlowData;
    Token token;
    bool idempotent = false;            //!< Requests only.
    std::optional<Duration> deadline;   //!< Remaining time for the request.
    std::span<const std::byte> ticket;  //!< Echoed ticket; empty without one.
    std::optional<LoadReport> load;     //!< Packets of upstreams only.
    bool serverError = false;           //!< Answers only: the upstream reports its own failure.
    std::uint32_t part = 0;             //!< Answers only: index of this part, from 0.
    bool lastPart = true;               //!< Answers only: no higher part follows.
    std::span<const std::byte> message; //!< The application message without outer headers.
};

} // namespace bulrushgap
