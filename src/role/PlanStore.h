#pragma once

#include "engine/ControlPath.h"
#include "store/PlatformClient.h"

#include <functional>
#include <memory>
#include <string>

namespace bulrushgap {

/** \brief Reads and writes the plan object of a scope in the platform's store. */
class PlanStore
{
public:
    using OnWritten = std::function<void(std::uint64_t writeId, const WriteResult &result)>;
    using OnRead = std::function<void(const ReadResult &result)>;

    PlanStore(PlatformClient &client, std::string_view scope, OnWritten onWritten, OnRead onRead);

    [[nodiscard]] PlanStoreHooks hooks();

private:
    void write(const WritePlan &request);
    void read();

    PlatformClient &client;
    std::string key;
    OnWritten onWritten;
    OnRead onRead;
};

} // namespace bulrushgap
