#include "service/InstanceSettings.h"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

using namespace bulrushgap;

namespace {

std::string validText()
{
    return R"({"deployment": "sajja", "name": "pattani-1", "domain": "pattani",
      "dataAddress": "127.0.1.1:9000", "peerAddress": "127.0.1.1:9001",
      "adminAddress": "127.0.1.1:9002", "platform": "127.0.9.1:7000",
      "fabricEgress": "127.0.9.2:7100", "hashKey": "0123456789abcdef", "ticketKey": ")"
           + std::string(64, 'a') + "\"}";
}

std::vector<Fault> faultsOf(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::vector<Fault>> {
            BOOST_LEAF_CHECK(InstanceSettings::parse(text));
            return std::vector<Fault>{};
        },
        [](const SettingsFaults &error) { return error.faults; },
        [] {
            return std::vector<Fault>{Fault{"", "", "unknown error"}};
        });
}

std::string withValue(std::string_view path, const boost::json::value &value)
{
    boost::json::object root = boost::json::parse(validText()).as_object();
    const std::size_t dot = path.find('.');
    if (dot == std::string_view::npos)
        root[path] = value;
    else
        root[path.substr(0, dot)] = boost::json::object{{path.substr(dot + 1), value}};
    return boost::json::serialize(root);
}

/** \returns a value that exceeds the upper bound of \a field by one. */
boost::json::value outOfBounds(const Field &field)
{
    switch (field.type) {
    case FieldType::Integer:
        return field.maximum + 1;
    case FieldType::EndpointList:
        return boost::json::array(static_cast<std::size_t>(field.maximum) + 1, "127.0.0.1:1");
    default:
        return boost::json::string(static_cast<std::size_t>(field.maximum) + 1, 'a');
    }
}

bool namesField(const std::vector<Fault> &faults, const Field &field)
{
    return faults.size() == 1 && faults.front().path == field.path
           && faults.front().expected == describe(field);
}

} // namespace

// Guards against a field that is not validated, and against a default outside of its own bounds.
TEST_CASE("each field is validated for presence, type and bounds", "[SettingsReader]")
{
    const SettingsReader reader = InstanceSettings::reader();
    const std::size_t row = GENERATE(range(std::size_t{0}, std::size_t{22}));
    REQUIRE(reader.table().size() == 22);
    const Field &field = reader.table()[row];
    CAPTURE(field.path);

    REQUIRE(namesField(faultsOf(withValue(field.path, nullptr)), field));
    REQUIRE(namesField(faultsOf(withValue(field.path, outOfBounds(field))), field));
    if (field.type == FieldType::Integer)
        REQUIRE(namesField(faultsOf(withValue(field.path, field.minimum - 1)), field));
    boost::json::object root = boost::json::parse(validText()).as_object();
    root.erase(field.path);
    const auto faults = faultsOf(boost::json::serialize(root));
    REQUIRE((field.required() ? namesField(faults, field) : faults.empty()));
    if (!field.required())
        REQUIRE_FALSE(findFault(field, boost::json::parse(field.defaultValue)));
}

// Guards against validation that reports a fault without its path or the wrong value.
TEST_CASE("faults name the path, the expected value and the found value", "[SettingsReader]")
{
    const auto [text, path, found] = GENERATE(table<std::string, std::string, std::string>({
        {"{\n \"a\": 1,\n}", "", "line 3, column 1"},
        {"{\"a\": 1", "", "line 1, column 8"},
        {"{} x", "", "text after the value at line 1, column 4"},
        {"", "", "line 1, column 1"},
        {"[]", "", "[]"},
        {withValue("nmae", "x"), "nmae", "did you mean \"name\""},
        {withValue("limits.queuePerServise", 1), "limits.queuePerServise", "queuePerService"},
        {withValue("limits", 3), "limits", "3"},
        {withValue("ticketKey", "abc"), "ticketKey", "other text of 3 characters"},
        {withValue("seeds", boost::json::array{"127.0.0.1"}), "seeds", "127.0.0.1"},
        {withValue("timers.peerTimeoutMs", 600), "timers.peerTimeoutMs", "600"},
    }));
    const auto faults = faultsOf(text);
    CAPTURE(text, faults.empty() ? "" : faults.front().toString());
    REQUIRE(faults.size() == 1);
    REQUIRE(faults.front().path == path);
    REQUIRE(faults.front().found.find(found) != std::string::npos);
}

// Guards against validation that stops at the first fault, so that users must fix a file fault by
// fault. Here ten required fields are missing, one field is unknown and one value is not a choice.
TEST_CASE("all faults of a file are reported at once", "[SettingsReader]")
{
    REQUIRE(faultsOf(R"({"nmae": 1, "log": {"level": "loud"}})").size() == 12);
}

// Guards against settings or defaults that are lost between the JSON text and InstanceSettings.
TEST_CASE("valid settings are converted to InstanceSettings", "[SettingsReader]")
{
    auto settings = InstanceSettings::parse(withValue("timers.heartbeatMs", 400));
    REQUIRE(settings);
    REQUIRE(settings->scope == "main");
    REQUIRE(settings->hashKey == 0x0123456789abcdefULL);
    REQUIRE(settings->ticketKey.back() == std::byte{0xaa});
    REQUIRE(settings->timers.heartbeat == std::chrono::milliseconds(400));
    REQUIRE(settings->limits.flowTableCapacity == 400'000);
    REQUIRE(settings->peerAddress == Endpoint{0x7f000101, 9001});
}
