# The program with only the commands that run on the users' platform, for deploy/system.toml.
set(Boost_USE_STATIC_LIBS ON)
find_package(Boost 1.81 REQUIRED COMPONENTS program_options json url)
find_package(PkgConfig REQUIRED)
pkg_check_modules(flatbuffers REQUIRED IMPORTED_TARGET flatbuffers)

file(GLOB PLATFORM_SOURCES CONFIGURE_DEPENDS platform/*.cpp src/balancer/*.cpp src/base/*.cpp
     src/capacity/*.cpp src/coldstart/*.cpp src/directory/*.cpp src/ejection/*.cpp
     src/health/*.cpp src/outcome/*.cpp src/placement/*.cpp src/reachability/*.cpp
     src/readiness/*.cpp src/service/*.cpp src/steering/*.cpp src/view/*.cpp)
list(FILTER PLATFORM_SOURCES EXCLUDE REGEX "src/service/(Log4cxxSink|InstanceSettings)\\.cpp$")
add_executable(
    bulrushgap
    ${PLATFORM_SOURCES}
    src/app/main.cpp
    src/app/CheckCommand.cpp
    src/app/Commands.cpp
    src/app/PlatformCommandTable.cpp
    src/role/BalancerCommand.cpp
    src/role/BalancerRole.cpp
    src/role/ConnectionProber.cpp
    src/role/ExplainEndpoint.cpp
    src/role/PacketPort.cpp
    src/role/PeerViewClient.cpp
    src/role/PeerViewServer.cpp
    src/role/ViewFrame.cpp
    src/store/CallResult.cpp
    src/store/ObjectStore.cpp
    src/store/TolerantParse.cpp)
target_include_directories(bulrushgap PRIVATE src ${CMAKE_CURRENT_SOURCE_DIR})
target_compile_definitions(bulrushgap PRIVATE BULRUSHGAP_VERSION="${PROJECT_VERSION}")
target_compile_options(bulrushgap PRIVATE -Wall -Wextra -O2 -ffunction-sections -fdata-sections)
target_link_options(bulrushgap PRIVATE -static-libstdc++ -static-libgcc -Wl,--gc-sections
                    -Wl,-z,now -no-pie)
set_target_properties(bulrushgap PROPERTIES POSITION_INDEPENDENT_CODE OFF)
target_link_libraries(bulrushgap PRIVATE Boost::headers Boost::program_options Boost::json
                                         Boost::url PkgConfig::flatbuffers xxhash
                                         libzstd.a)
