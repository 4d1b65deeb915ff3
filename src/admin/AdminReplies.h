#pragma once

#include "admin/AdminTypes.h"
#include "admin/LabelChanger.h"
#include "admin/ObjectWriter.h"
#include "service/HttpMessage.h"
#include "store/ObjectStore.h"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace bulrushgap::internal {

[[nodiscard]] HttpReply adminReply(unsigned status, const boost::json::object &body);

/** \returns the reply to a call of the platform that did not succeed. */
[[nodiscard]] HttpReply failureReply(PlatformResult result, std::uint64_t version);

[[nodiscard]] HttpReply objectReply(const StoredObject &object);
[[nodiscard]] HttpReply listReply(const std::vector<StoredObject> &objects);
[[nodiscard]] HttpReply writeReply(const std::string &key, const WriteReport &report);
[[nodiscard]] HttpReply faultsReply(const std::vector<Fault> &faults);
[[nodiscard]] HttpReply labelsReply(const std::vector<LabelReport> &reports);
[[nodiscard]] HttpReply statusReply(const SystemStatus &status);

/** \returns the reply to a write without If-Match on an existing object. */
[[nodiscard]] HttpReply versionRequiredReply(std::uint64_t version);

} // namespace bulrushgap::internal
