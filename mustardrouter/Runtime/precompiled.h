#pragma once

// Large headers that nearly every file of the outer modules includes; for build time only, each
// file still includes what it uses.
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
