#include "ejection/OutcomeCodec.h"

#include "view/view_generated.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace bulrushgap::balance {

namespace internal {

/** No kind of object: an instance that does not exchange reports refuses the request. */
constexpr std::uint8_t outcomeRequestKind = 255;

using WireReports = flatbuffers::Vector<const viewwire::OutcomeReport *>;

flatbuffers::Offset<WireReports> encodeReports(flatbuffers::FlatBufferBuilder &builder,
                                               const OutcomeReports &reports)
{
    std::vector<viewwire::OutcomeReport> wire;
    for (const OutcomeReport &report : reports) {
        if (wire.size() < maxOutcomeReports)
            wire.emplace_back(report.flowTag, report.failures, report.requests, report.ejectedMs,
                              report.reinstated);
    }
    return builder.CreateVectorOfStructs(wire);
}

std::optional<OutcomeReports> decodeReports(const WireReports *wire)
{
    OutcomeReports reports;
    if (wire == nullptr)
        return reports;
    if (wire->size() > maxOutcomeReports)
        return std::nullopt;
    for (const auto *report : *wire) {
        if (report->flowTag() == 0 || report->failures() > report->requests())
            return std::nullopt;
        reports.push_back({report->flowTag(), report->failures(), report->requests(),
                           report->ejectedMs(), report->reinstated()});
    }
    return reports;
}

Bytes finish(flatbuffers::FlatBufferBuilder &builder)
{
    const auto *data = reinterpret_cast<const std::byte *>(builder.GetBufferPointer());
    return Bytes(data, data + builder.GetSize());
}

/** \returns the table, or nullptr if \a message is not a valid one; \a copy holds its bytes,
 * aligned. */
template <typename Table>
const Table *parseTable(std::span<const std::byte> message, std::vector<std::uint64_t> &copy)
{
    copy.resize((message.size() + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t));
    std::ranges::copy(message, reinterpret_cast<std::byte *>(copy.data()));
    const auto *data = reinterpret_cast<const std::uint8_t *>(copy.data());
    flatbuffers::Verifier verifier(data, message.size());
    return verifier.VerifyBuffer<Table>() ? flatbuffers::GetRoot<Table>(data) : nullptr;
}

} // namespace internal

Bytes encodeOutcomeRequest(const OutcomeRequest &request)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto reports = internal::encodeReports(builder, request.reports);
    const auto waitMs = static_cast<std::uint32_t>(request.wait.count());
    builder.Finish(viewwire::CreateRequest(builder, internal::outcomeRequestKind, request.poll, 0,
                                           waitMs, false, reports));
    return internal::finish(builder);
}

std::optional<OutcomeRequest> decodeOutcomeRequest(std::span<const std::byte> message)
{
    std::vector<std::uint64_t> copy;
    const auto *wire = internal::parseTable<viewwire::Request>(message, copy);
    if (wire == nullptr || wire->kind() != internal::outcomeRequestKind)
        return std::nullopt;
    auto reports = internal::decodeReports(wire->outcomes());
    if (!reports)
        return std::nullopt;
    return OutcomeRequest{std::move(*reports), std::chrono::milliseconds(wire->waitMs()),
                          wire->watch()};
}

Bytes encodeOutcomeReply(const OutcomeReports &reports)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto wire = internal::encodeReports(builder, reports);
    viewwire::ReplyBuilder reply(builder);
    reply.add_outcomes(wire);
    builder.Finish(reply.Finish());
    return internal::finish(builder);
}

std::optional<OutcomeReports> decodeOutcomeReply(std::span<const std::byte> message)
{
    std::vector<std::uint64_t> copy;
    const auto *reply = internal::parseTable<viewwire::Reply>(message, copy);
    // A reply to another kind of request has no such vector.
    if (reply == nullptr || reply->outcomes() == nullptr)
        return std::nullopt;
    return internal::decodeReports(reply->outcomes());
}

} // namespace bulrushgap::balance
