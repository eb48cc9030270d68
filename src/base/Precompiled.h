// Precompiled header: headers that most files include and that are slow to compile.
#pragma once

#include <boost/asio.hpp>
#include <boost/fiber/all.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>
