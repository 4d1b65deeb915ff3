#include "role/PlanStore.h"

#include "plan/PlanJson.h"

#include <boost/leaf/handle_errors.hpp>

#include <utility>

namespace bulrushgap {

namespace internal {

WriteResult::Kind writeKind(PlatformResult result)
{
    switch (result) {
    case PlatformResult::Ok:
        return WriteResult::Kind::Ok;
    case PlatformResult::Conflict:
        return WriteResult::Kind::Conflict;
    case PlatformResult::TooMany:
        return WriteResult::Kind::TooManyRequests;
    case PlatformResult::LostAnswer:
        return WriteResult::Kind::LostAnswer;
    case PlatformResult::NotFound:
    case PlatformResult::Gone:
    case PlatformResult::TooLarge:
    case PlatformResult::Busy:
    case PlatformResult::Unavailable:
        return WriteResult::Kind::Unavailable;
    }
    return WriteResult::Kind::Unavailable;
}

ReadResult readResult(const GetOutcome &outcome)
{
    ReadResult result;
    if (outcome.result == PlatformResult::NotFound)
        result.kind = ReadResult::Kind::Missing;
    if (outcome.result != PlatformResult::Ok)
        return result;
    result.version = outcome.object.version.number;
    result.kind = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<ReadResult::Kind> {
            BOOST_LEAF_AUTO(stored,
                            planFromJson(outcome.object.value, outcome.object.version.number));
            result.plan = std::move(stored.plan);
            result.writeId = stored.writeId;
            return ReadResult::Kind::Found;
        },
        [] { return ReadResult::Kind::Invalid; });
    return result;
}

} // namespace internal

PlanStore::PlanStore(PlatformClient &client, std::string_view scope, OnWritten onWritten,
                     OnRead onRead)
    : client(client)
    , key("plan/" + std::string(scope))
    , onWritten(std::move(onWritten))
    , onRead(std::move(onRead))
{}

PlanStoreHooks PlanStore::hooks()
{
    return {.write = [this](const WritePlan &request) { this->write(request); },
            .read =
                [this] {
                    this->read();
                }};
}

void PlanStore::write(const WritePlan &request)
{
    this->client.put(
        this->key, request.value, request.ifVersion,
        [this, writeId = request.writeId](const WriteOutcome &outcome) {
            this->onWritten(writeId, {internal::writeKind(outcome.result), outcome.version});
        });
}

void PlanStore::read()
{
    this->client.get(this->key, [this](const GetOutcome &outcome) {
        this->onRead(internal::readResult(outcome));
    });
}

} // namespace bulrushgap
