#pragma once

// Precompiled headers: large headers that most files of the outer modules include. Only for build time;
// each file still includes what it uses.
#include "mustardrouter/Runtime/error.h"
#include "mustardrouter/Schema/objects.pb.h"
#include "mustardrouter/Schema/wire.pb.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <boost/lockfree/spsc_queue.hpp>
#include <boost/program_options.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>
