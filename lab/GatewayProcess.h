// Starts `rattanshunt gateway` as a process of its own, on loopback.
#pragma once

#include <cstdint>
#include <string>

#include <sys/types.h>

namespace rattanshunt::lab {

// Returns a port that is free now and was not returned before. Daemons set SO_REUSEPORT, so a port that was returned
// twice would be shared by two listeners without any error.
uint16_t freePort();

// Starts the gateway with the settings file as its only configuration; its output is appended to `logFile`.
pid_t gatewayProcessStart(const std::string& program, const std::string& settingsFile, const std::string& logFile);

} // namespace rattanshunt::lab
