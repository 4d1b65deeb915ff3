# Fuzz targets of what comes from outside: packets, objects of the store, messages of other
# instances, settings. Needs clang with its runtime; see scripts/fuzz.
find_package(Boost 1.81 REQUIRED COMPONENTS json)
find_package(PkgConfig REQUIRED)
pkg_check_modules(flatbuffers REQUIRED IMPORTED_TARGET flatbuffers)

file(GLOB FUZZED_SOURCES CONFIGURE_DEPENDS platform/*Codec.cpp src/base/*.cpp src/capacity/*.cpp
     src/coldstart/*.cpp src/directory/*.cpp src/ejection/OutcomeCodec.cpp src/health/*.cpp
     src/outcome/*.cpp src/placement/*.cpp src/reachability/*.cpp src/steering/*.cpp
     src/view/ReplyCompression.cpp src/view/ViewCodec.cpp src/view/ViewObject.cpp)
list(APPEND FUZZED_SOURCES src/service/BalancerSettings.cpp src/service/Fault.cpp
     src/service/Field.cpp src/service/SettingsReader.cpp src/service/SettingsView.cpp
     src/store/CallResult.cpp src/store/ObjectStore.cpp src/store/TolerantParse.cpp)
add_library(bulrushgapFuzzed STATIC ${FUZZED_SOURCES})
target_include_directories(bulrushgapFuzzed PUBLIC src ${CMAKE_CURRENT_SOURCE_DIR})
target_compile_options(bulrushgapFuzzed
                       PUBLIC -g -O1 -fsanitize=fuzzer-no-link,address,undefined
                              -fno-sanitize-recover=undefined)
target_link_libraries(bulrushgapFuzzed PUBLIC Boost::headers Boost::json PkgConfig::flatbuffers
                                              xxhash zstd)

foreach(target IN ITEMS Packet Objects View Settings)
    add_executable(fuzz${target} fuzz/Fuzz${target}.cpp)
    target_link_options(fuzz${target} PRIVATE -fsanitize=fuzzer,address,undefined)
    target_link_libraries(fuzz${target} PRIVATE bulrushgapFuzzed)
endforeach()
