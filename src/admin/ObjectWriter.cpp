#include "admin/ObjectWriter.h"

#include <utility>

namespace bulrushgap {

void ObjectWriter::write(const std::string &key, std::optional<boost::json::value> value,
                         std::uint64_t version, const Handler &handler)
{
    const auto onWritten = [this, key, value, version, handler](const WriteOutcome &outcome) {
        if (outcome.result == PlatformResult::LostAnswer)
            this->readBack(key, value, version, handler);
        else
            handler(WriteReport{outcome.result, outcome.version, false, std::nullopt});
    };
    if (value)
        this->store.put(key, *value, version, onWritten);
    else
        this->store.remove(key, version, onWritten);
}

void ObjectWriter::readBack(const std::string &key, const std::optional<boost::json::value> &value,
                            std::uint64_t version, const Handler &handler)
{
    this->store.get(key, [value, version, handler](GetOutcome outcome) {
        WriteReport report{PlatformResult::LostAnswer, outcome.object.version.number, true,
                           std::nullopt};
        const bool found = outcome.result == PlatformResult::Ok;
        const bool gone = outcome.result == PlatformResult::NotFound;
        const bool written = found && value && outcome.object.version.number != version
                             && outcome.object.value == *value;
        if (written || (gone && !value))
            report.result = PlatformResult::Ok;
        else if (found)
            report.current = std::move(outcome.object.value);
        handler(report);
    });
}

} // namespace bulrushgap
