#include "role/ObjectValidation.h"

#include "plan/DomainObject.h"
#include "plan/ObjectFault.h"
#include "plan/ServiceObject.h"
#include "plan/UpstreamObject.h"

#include <boost/leaf/handle_errors.hpp>

namespace bulrushgap {

namespace internal {

constexpr std::string_view valueName = "value";

boost::leaf::result<void> decode(ObjectKind kind, const boost::json::value &value)
{
    switch (kind) {
    case ObjectKind::Service:
        BOOST_LEAF_CHECK(ServiceObject::fromJson(valueName, value));
        break;
    case ObjectKind::Upstream:
        BOOST_LEAF_CHECK(UpstreamObject::fromJson(valueName, value));
        break;
    case ObjectKind::Domain:
        BOOST_LEAF_CHECK(DomainObject::fromJson(valueName, value));
        break;
    }
    return {};
}

} // namespace internal

std::vector<Fault> validateObject(ObjectKind kind, const boost::json::value &value)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::vector<Fault>> {
            BOOST_LEAF_CHECK(internal::decode(kind, value));
            return std::vector<Fault>{};
        },
        [](const ObjectFaults &error) {
            std::vector<Fault> faults;
            for (const auto &fault : error.faults)
                faults.push_back({fault.path, fault.expected, fault.found});
            return faults;
        },
        [] {
            return std::vector<Fault>{{"", "a valid object", "an unknown error"}};
        });
}

} // namespace bulrushgap
