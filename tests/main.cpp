// Main function of each test program.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
